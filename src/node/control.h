// Runs the coordination core of a node: carries its effects out, feeds the results back, and
// publishes what it decides to the request path.
//
// The core lives on worker 0 alone, so it needs no lock. What the request path needs is published
// as an immutable view; requests in flight keep the view they began with.
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

// What requests see. Immutable; shared, because requests outlive the view that replaced theirs.
struct node_view {
  std::shared_ptr<const configuration> config;  // null until one is known
  routing_snapshot routes;
  std::uint32_t live_nodes = 1;  // of this data centre, this one included
  std::uint64_t revision{};      // of the view, rises by one with each
};

// Table and object store calls are given up after this; the core then treats them as unknown.
inline constexpr duration platform_timeout = 1500ms;
// A probe that was not answered by then counts as failed. Well under the time in which a lost
// member has to be noticed, well over a slow answer of a busy VM.
inline constexpr duration probe_timeout = 600ms;
// Load and permissions are published at most this often; a change of who may be routed to is
// published at once.
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

  // Starts the core. Returns at once.
  void start();
  // Ends the loop on worker 0 and waits for it.
  void stop();

  [[nodiscard]] std::shared_ptr<const node_view> view() const;

  // Runs `work` with the core on worker 0, soon; effects it returns are carried out. From any
  // thread.
  void post(std::function<effects(time_point, coordinator&)> work);
  // The same, waiting for the end.
  void call(const std::function<effects(time_point, coordinator&)>& work);

  void feed(input in);  // from any thread

 private:
  struct state;
  std::shared_ptr<state> state_;  // shared with the fibers that carry out effects
};

}  // namespace arbutus
