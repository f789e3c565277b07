// Makes one call of a load run: sends the request, parses the answer and records the times.
#pragma once

#include <string>
#include <string_view>

#include "connection/http_client.h"
#include "load/checker.h"
#include "load/schedule.h"

namespace arbutus {

struct timed_answer {
  raw_answer raw;
  // When the first token of a stream arrived; min: none arrived.
  time_point first_token = time_point::min();
  time_point ended;
  std::uint32_t tokens{};  // number of server-sent events with text
};

struct call_address {
  socket_address target;
  std::string workspace_key;  // API key of the calling workspace
  std::string request_class;  // class that the call names in its header; empty: header not sent
  // Sent to stand-ins called directly, which need one; nodes assign their own.
  std::string request_id;
};

// Makes the call and returns its answer with the times. Must run in a fiber of the client's
// runtime.
[[nodiscard]] timed_answer make_call(http_client& client, const call_address& to,
                                     const model_id& model, const std::string& booking_path,
                                     const planned_call& call, time_point deadline);

}  // namespace arbutus
