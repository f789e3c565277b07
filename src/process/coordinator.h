// The coordination core of a node: a state machine that takes (now, input) and returns effects.
//
// It holds the node's state (peers, observations of target VMs, configuration, assignment row) and
// decides which VMs to probe, what to gossip, which row to propose, which standbys to activate,
// which orders to send and which replicas may be routed to. It uses no clock, thread or socket.
// Not thread-safe: one thread at a time may call a coordinator. `routes` returns a copy that may
// be shared between threads.
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

// Key of the configuration's head row in the table. The key of the assignment row is row_key().
inline constexpr const char* config_head_key = "config/head";

struct coordinator_settings {
  node_id self;
  data_centre_id data_centre;
  std::uint64_t incarnation{};  // a number that differs at every start of this node's process
  std::uint64_t seed{};
  std::vector<node_record> bootstrap_peers;  // used until a configuration lists the nodes
};

class coordinator {
 public:
  explicit coordinator(coordinator_settings settings);
  coordinator(const coordinator&) = delete;
  coordinator& operator=(const coordinator&) = delete;
  coordinator(coordinator&&) noexcept;
  coordinator& operator=(coordinator&&) noexcept;
  ~coordinator();

  // Returns the first effects after the process has started. Call once, before anything else.
  [[nodiscard]] effects start(time_point now);
  // Performs the periodic work that is due. Call at next_tick(); calling earlier or more often is
  // harmless.
  [[nodiscard]] effects tick(time_point now);
  [[nodiscard]] effects on(time_point now, const input& in);
  // Time at which tick() is due; until then there is nothing to do unless an input arrives.
  [[nodiscard]] time_point next_tick() const;

  // Call directly before the bytes of an order are sent to its target. False: the order is out of
  // date; do not send it, and report it back as `refused`. A target that does not check fencing
  // tokens would obey an order that was superseded while it waited for a connection.
  [[nodiscard]] bool may_send(time_point now, const order& o);

  // A number that increases whenever routes() may differ in more than the reported load, so that
  // the embedding program can publish a new snapshot immediately instead of polling.
  [[nodiscard]] std::uint64_t routes_revision() const;
  [[nodiscard]] routing_snapshot routes(time_point now) const;

  [[nodiscard]] const configuration* config() const;  // configuration in force; nullptr until known
  [[nodiscard]] const assignment& row() const;  // newest assignment row; version 0 until known
  [[nodiscard]] status_view status(time_point now) const;

  // Call when this node is about to stop: peers then no longer rely on it, and requests that run
  // through it may finish.
  void begin_drain(time_point now);
  // Called by the request path whenever the number of requests changes that this node has sent to a
  // replica under one fencing generation and that are still running. A draining replica does not
  // count as empty while this number is positive.
  void report_in_flight(const replica_id& replica, generation fencing_generation,
                        std::uint32_t count);
  // Called by the request path with the rate at which this node admits requests of the workspace.
  // The rate is gossiped so that the nodes share the workspace's limit.
  void report_usage(const workspace_id& workspace, double requests_per_second);
  // The requests per second that the other nodes recently reported for the workspace, summed.
  [[nodiscard]] double usage_elsewhere(time_point now, const workspace_id& workspace) const;

 private:
  struct parts;
  std::unique_ptr<parts> parts_;
};

}  // namespace arbutus
