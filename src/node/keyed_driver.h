// Executes the effects of one non-repeatable call (request/keyed.h) in the caller's fiber.
#pragma once

#include <functional>

#include "connection/http_client.h"
#include "node/planned_stop.h"
#include "node/platform_client.h"
#include "request/keyed.h"

namespace arbutus {

// Sends the call once; checks the permit directly before the first byte.
using keyed_sender = std::function<call_result(const send_permit& permit)>;
// Answers the caller; called exactly once.
using keyed_replier = std::function<void(const keyed_reply& reply)>;

// Returns when the call's record in the table has its final state, which may be after the reply to
// the caller; or, if the node stops before, when the caller has the reply.
void drive_keyed_call(platform_client& platform, const planned_stop& stop,
                      const keyed_call_facts& facts, const keyed_sender& send,
                      const keyed_replier& reply);

}  // namespace arbutus
