// Wire format of completion and chat requests and responses of the stand-in engines.
#pragma once

#include <cstdint>
#include <span>
#include <string>

#include "base/outcome.h"
#include "connection/http_message.h"
#include "standin/standin_answer.h"

namespace arbutus::standin {

enum class completion_kind { text, chat };

struct completion_call {
  completion_kind kind = completion_kind::text;
  bool stream = false;
  generation_request request;
};

// Parses the body and the headers x-request-id, x-replica, x-generation, x-priority,
// x-resume-offset, x-deadline-ms (time left, measured from arrival).
[[nodiscard]] outcome<completion_call> parse_completion(completion_kind kind,
                                                        const http_request& request);

// Writes the parts of the response to one completion request. `id` is the request id that the
// response carries.
class completion_writer {
 public:
  completion_writer(const completion_call& call, const request_id& id);

  // Returns one server-sent event for each token.
  [[nodiscard]] std::string frames(std::span<const standin_token> tokens) const;
  // Returns the end of a stream, sent after the last token: an event without text that carries the
  // finish reason and, as its offset, the number of tokens of the complete answer; then `data:
  // [DONE]`.
  [[nodiscard]] std::string end() const;

  // Returns the complete answer as one JSON body, for requests without streaming.
  [[nodiscard]] std::string body(std::span<const standin_token> tokens) const;

 private:
  [[nodiscard]] std::string frame(const standin_token& token, bool finish) const;

  completion_kind kind_;
  model_id model_;
  std::uint32_t prompt_tokens_;
  std::uint32_t max_tokens_;
  std::string id_;  // request id, quoted as a JSON string
};

}  // namespace arbutus::standin
