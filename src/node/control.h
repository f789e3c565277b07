// Runs the coordination core of a node: executes its effects, feeds the results back, and
// publishes its decisions to the request path.
//
// The core runs on worker 0 only, so it needs no lock. What the request path needs is published
// as an immutable view; requests in flight keep the view they started with.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "connection/fiber_runtime.h"
#include "node/engine_client.h"
#include "node/platform_client.h"
#include "process/coordinator.h"

namespace arbutus {

// The state that requests use. Immutable; shared, because a request may still use a view after a
// newer one was published.
struct node_view {
  std::shared_ptr<const configuration> config;  // null until one is known
  routing_snapshot routes;
  std::uint32_t live_nodes = 1;  // of this data centre, this one included
  std::uint64_t revision{};      // increases by one with each view
};

// Timeout of table and object store calls; the core then treats their outcome as unknown.
inline constexpr duration platform_timeout = 1500ms;
// A probe without an answer after this time counts as failed. Well below the time in which a lost
// member has to be detected, and well above the response time of a busy VM.
inline constexpr duration probe_timeout = 600ms;
// Minimum time between two views of the cluster that differ only in load or permissions; a change
// of the usable routes is published immediately.
inline constexpr duration publish_interval = 50ms;

class control {
 public:
  using send_to_peer = std::function<void(const peer_send&)>;
  using on_view = std::function<void(const std::shared_ptr<const node_view>&)>;
  using on_notice = std::function<void(const notice&)>;

  // All references outlive this object.
  control(fiber_runtime& runtime, platform_client& platform, engine_client& engines,
          coordinator_settings settings);
  ~control();
  control(const control&) = delete;
  control& operator=(const control&) = delete;

  void set_peer_sender(send_to_peer send);
  void set_view_listener(on_view listener);  // called on worker 0
  void set_notice_listener(on_notice listener);

  // Starts the core. Returns immediately.
  void start();
  // Stops the loop on worker 0 and waits until it has ended.
  void stop();

  [[nodiscard]] std::shared_ptr<const node_view> view() const;

  // Schedules `work` on worker 0 with the core and returns; the effects that it returns are
  // executed. May be called from any thread.
  void post(std::function<effects(time_point, coordinator&)> work);
  // Like post(), but returns when `work` has run.
  void call(const std::function<effects(time_point, coordinator&)>& work);

  void post_input(input in);  // from any thread

 private:
  struct state;
  std::shared_ptr<state> state_;  // shared with the fibers that execute effects
};

}  // namespace arbutus
