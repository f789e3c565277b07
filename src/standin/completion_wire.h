// Completion and chat requests and answers as stand-in engines put them on the wire.
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

// Body and headers x-request-id, x-replica, x-generation, x-priority, x-resume-offset,
// x-deadline-ms (time left, from arrival).
[[nodiscard]] outcome<completion_call> parse_completion(completion_kind kind,
                                                        const http_request& request);

// Writes the parts of one answer. `id` is the id shown.
class completion_writer {
 public:
  completion_writer(const completion_call& call, const request_id& id);

  // One server-sent event per token.
  [[nodiscard]] std::string frames(std::span<const standin_token> tokens) const;
  // What follows the last token: an event without text that carries the finish reason and, as its
  // offset, the number of tokens of the whole answer; then the end mark.
  [[nodiscard]] std::string end() const;

  // The whole answer as one JSON body.
  [[nodiscard]] std::string body(std::span<const standin_token> tokens) const;

 private:
  [[nodiscard]] std::string frame(const standin_token& token, bool finish) const;

  completion_kind kind_;
  model_id model_;
  std::uint32_t prompt_tokens_;
  std::uint32_t max_tokens_;
  std::string id_;  // as a JSON string
};

}  // namespace arbutus::standin
