// Parses the body of a model call.
#include "node/model_request.h"

#include <nlohmann/json.hpp>

namespace arbutus {

namespace {

using json = nlohmann::json;

constexpr std::uint32_t max_accepted_tokens = 1'000'000;

std::optional<call_error> read_prompt(model_api api, const json& body, std::string& prompt) {
  if (api == model_api::completions) {
    const auto found = body.find("prompt");
    if (found == body.end() || !found->is_string()) {
      return invalid_request("invalid_prompt", "'prompt' has to be a string");
    }
    prompt = found->get<std::string>();
    return std::nullopt;
  }
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    return invalid_request("invalid_messages", "'messages' has to be a list that is not empty");
  }
  for (const json& message : *messages) {
    if (!message.is_object() || !message.contains("role") || !message["role"].is_string() ||
        !message.contains("content") || !message["content"].is_string()) {
      return invalid_request("invalid_messages",
                             "each message has a 'role' and a 'content' as strings");
    }
    prompt += message["role"].get<std::string>() + ": " + message["content"].get<std::string>();
    prompt += '\n';
  }
  return std::nullopt;
}

}  // namespace

std::optional<call_error> parse_model_request(model_api api, const std::string& text,
                                              model_request& parsed) {
  const json body = json::parse(text, nullptr, false);
  if (!body.is_object()) {
    return invalid_request("invalid_json", "the body has to be a JSON object");
  }
  const auto model = body.find("model");
  if (model == body.end() || !model->is_string()) {
    return invalid_request("invalid_model", "'model' has to be a string");
  }
  parsed.model = model_id{model->get<std::string>()};
  if (const auto tokens = body.find("max_tokens"); tokens != body.end()) {
    if (!tokens->is_number_unsigned() || *tokens == 0 || *tokens > max_accepted_tokens) {
      return invalid_request("invalid_max_tokens", "'max_tokens' has to be a whole number from 1");
    }
    parsed.max_tokens = tokens->get<std::uint32_t>();
  }
  if (const auto stream = body.find("stream"); stream != body.end()) {
    if (!stream->is_boolean()) {
      return invalid_request("invalid_stream", "'stream' has to be true or false");
    }
    parsed.stream = stream->get<bool>();
  }
  return read_prompt(api, body, parsed.prompt);
}

call_error invalid_request(std::string code, std::string message, int status) {
  call_error error;
  error.status = status;
  error.code = std::move(code);
  error.message = std::move(message);
  return error;
}

}  // namespace arbutus
