// The coordination core of a node: a value that is fed with (now, input) and returns effects.
//
// It holds what the node knows (peers, observations of target VMs, configuration, assignment row)
// and decides what follows: whom to probe, what to gossip, which row to propose, which standby to
// activate, which orders to send, and who may be routed to. It knows no clock, thread or socket.
// All functions of one coordinator are called by one thread at a time; `routes` returns a copy
// that may then be shared.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "base/id.h"
#include "base/units.h"
#include "process/effects.h"
#include "process/routes.h"
#include "process/status_view.h"
#include "version/assignment.h"
#include "version/configuration.h"
#include "version/inventory.h"

namespace arbutus {

// The table's key of the configuration's head row. That of the assignment is row_key().
inline constexpr const char* config_head_key = "config/head";

struct coordinator_settings {
  node_id self;
  data_centre_id data_centre;
  std::uint64_t incarnation{};  // differs after every start of this node
  std::uint64_t seed{};
  std::vector<node_record> bootstrap_peers;  // until a configuration names the nodes
};

class coordinator {
 public:
  explicit coordinator(coordinator_settings settings);
  coordinator(const coordinator&) = delete;
  coordinator& operator=(const coordinator&) = delete;
  coordinator(coordinator&&) noexcept;
  coordinator& operator=(coordinator&&) noexcept;
  ~coordinator();

  // The first effects of the process's life. Call once, before anything else.
  [[nodiscard]] effects start(time_point now);
  // Call at next_tick(); earlier or more often does no harm.
  [[nodiscard]] effects tick(time_point now);
  [[nodiscard]] effects on(time_point now, const input& in);
  // Nothing is to be done before this moment unless an input comes.
  [[nodiscard]] time_point next_tick() const;

  // Call directly before the bytes of an order go out. False: the order is out of date, do not
  // send it and report it back as `refused`. A target that does not check fencing tokens would
  // obey an order that was overtaken while it waited for a connection.
  [[nodiscard]] bool may_send(time_point now, const order& o);

  // Changes whenever routes() may give something else than the load it last gave; lets the shell
  // publish a new snapshot at once instead of polling.
  [[nodiscard]] std::uint64_t routes_revision() const;
  [[nodiscard]] routing_snapshot routes(time_point now) const;

  [[nodiscard]] const configuration* config() const;  // in force; nullptr until known
  [[nodiscard]] const assignment& row() const;        // version 0 until known
  [[nodiscard]] status_view status(time_point now) const;

  // This node is stopping: peers stop counting on it; what runs here may finish.
  void begin_drain(time_point now);
  // From the request path, on every change: requests this node has at the replica, in the
  // composition they were sent to. A draining replica is not emptied while the count is positive.
  void report_in_flight(const replica_id& replica, generation gen, std::uint32_t count);
  // From the request path: this workspace's admitted requests a second here; gossiped so that
  // limits are shared.
  void report_usage(const workspace_id& workspace, double requests_per_second);
  // The same, summed over the other live nodes.
  [[nodiscard]] double usage_elsewhere(time_point now, const workspace_id& workspace) const;

 private:
  struct parts;
  std::unique_ptr<parts> parts_;
};

}  // namespace arbutus
