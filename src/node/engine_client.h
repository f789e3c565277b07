// Sends probes and orders to target VMs over HTTP.
#pragma once

#include <functional>

#include "base/outcome.h"
#include "connection/http_client.h"
#include "process/effects.h"

namespace arbutus {

class engine_client {
 public:
  // The client outlives this object.
  explicit engine_client(http_client& client) : client_(client) {}

  outcome<engine_report> probe(const socket_address& target, time_point deadline);

  // `order_still_valid` is called directly before the first byte is sent. Refused: the target
  // rejected the order, or `order_still_valid` returned false.
  outcome<engine_report> send(const socket_address& target, const order& o, time_point deadline,
                              const send_permit& order_still_valid);

  // Best effort; a request that the target no longer has is not an error.
  void cancel(const socket_address& target, const request_id& id, time_point deadline);

 private:
  http_client& client_;
};

}  // namespace arbutus
