// Parses requests for completions and writes JSON bodies and server-sent events. Events are
// assembled as strings without a JSON library: they are most of a stand-in engine's work, and the
// words of an answer need no escaping.
#include "standin/completion_wire.h"

#include <nlohmann/json.hpp>

#include "standin/expected_answer.h"
#include "standin/standin_http.h"

namespace arbutus::standin {

namespace {

using json = nlohmann::json;

constexpr std::uint32_t default_max_tokens = 16;

std::string prompt_of(completion_kind kind, const json& body) {
  if (kind == completion_kind::text) {
    return body.at("prompt").get<std::string>();
  }
  std::vector<chat_message> messages;
  for (const json& m : body.at("messages")) {
    messages.push_back({m.at("role").get<std::string>(), m.at("content").get<std::string>()});
  }
  return chat_prompt(messages);
}

generation_request parse_request_headers(const http_request& request) {
  generation_request r;
  r.id = request_id{header_text(request, "x-request-id")};
  r.replica = replica_id{header_text(request, "x-replica")};
  r.fencing_generation = header_text(request, "x-generation");
  r.priority = static_cast<std::uint32_t>(header_number(request, "x-priority", 0));
  r.resume_offset = static_cast<std::uint32_t>(header_number(request, "x-resume-offset", 0));
  if (const std::uint64_t left = header_number(request, "x-deadline-ms", 0); left != 0) {
    r.expiry = std::chrono::milliseconds(left);
  }
  return r;
}

std::string quoted(const std::string& text) {
  return json(text).dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace

outcome<completion_call> parse_completion(completion_kind kind, const http_request& request) {
  try {
    const json body = json::parse(request.body);
    completion_call call;
    call.kind = kind;
    call.stream = body.value("stream", false);
    call.request = parse_request_headers(request);
    call.request.model = model_id{body.at("model").get<std::string>()};
    call.request.prompt = prompt_of(kind, body);
    call.request.max_tokens = body.value("max_tokens", default_max_tokens);
    return call;
  } catch (const std::exception& e) {
    return refused{e.what()};
  }
}

completion_writer::completion_writer(const completion_call& call, const request_id& id)
    : kind_(call.kind),
      model_(call.request.model),
      prompt_tokens_(count_tokens(call.request.prompt)),
      max_tokens_(call.request.max_tokens),
      id_(quoted(id.str())) {}

std::string completion_writer::frame(const standin_token& token, bool finish) const {
  const bool chat = kind_ == completion_kind::chat;
  std::string text = "data: {\"id\":" + id_ + ",\"object\":";
  text += chat ? "\"chat.completion.chunk\"" : "\"text_completion\"";
  text += ",\"choices\":[{\"index\":0,";
  text += chat ? "\"delta\":{\"content\":\"" : "\"text\":\"";
  text += token.text;
  text += chat ? "\"}" : "\"";
  if (finish) {
    text += ",\"finish_reason\":\"stop\"";
  }
  text += "}],\"offset\":" + std::to_string(token.offset) + "}\n\n";
  return text;
}

std::string completion_writer::frames(std::span<const standin_token> tokens) const {
  std::string text;
  for (const standin_token& t : tokens) {
    text += frame(t, false);
  }
  return text;
}

std::string completion_writer::end() const {
  return frame({max_tokens_, ""}, true) + "data: [DONE]\n\n";
}

std::string completion_writer::body(std::span<const standin_token> tokens) const {
  std::string answer;
  for (const standin_token& t : tokens) {
    answer += t.text;
  }
  const bool chat = kind_ == completion_kind::chat;
  std::string text = "{\"id\":" + id_ + ",\"object\":";
  text += chat ? "\"chat.completion\"" : "\"text_completion\"";
  text += ",\"model\":" + quoted(model_.str()) + ",\"choices\":[{\"index\":0,";
  text += chat ? "\"message\":{\"role\":\"assistant\",\"content\":\"" : "\"text\":\"";
  text += answer;
  text += chat ? "\"}" : "\"";
  text += ",\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":";
  text += std::to_string(prompt_tokens_) + ",\"completion_tokens\":";
  text += std::to_string(tokens.size()) + "}}";
  return text;
}

}  // namespace arbutus::standin
