// Parsing of an engine's event stream.
#include "node/sse.h"

#include <nlohmann/json.hpp>

namespace arbutus {

namespace {

using json = nlohmann::json;

constexpr std::string_view frame_end = "\n\n";
constexpr std::string_view data_prefix = "data: ";

bool has_text(const json& choice) {
  if (choice.contains("text")) {
    return choice["text"].is_string() && !choice["text"].get_ref<const std::string&>().empty();
  }
  const auto delta = choice.find("delta");
  return delta != choice.end() && delta->is_object() && delta->contains("content") &&
         (*delta)["content"].is_string() &&
         !(*delta)["content"].get_ref<const std::string&>().empty();
}

bool is_finish(const json& choice) {
  const auto reason = choice.find("finish_reason");
  return reason != choice.end() && reason->is_string();
}

engine_frame parse_object(const json& body) {
  engine_frame frame;
  const auto choices = body.find("choices");
  if (choices == body.end() || !choices->is_array() || choices->empty() ||
      !choices->front().is_object()) {
    frame.kind = frame_kind::other;
    return frame;
  }
  const auto id = body.find("id");
  const auto offset = body.find("offset");
  if (id == body.end() || !id->is_string() || offset == body.end() ||
      !offset->is_number_unsigned()) {
    return frame;
  }
  frame.id = request_id{id->get<std::string>()};
  frame.offset = offset->get<std::uint64_t>();
  const json& choice = choices->front();
  if (has_text(choice)) {
    frame.kind = frame_kind::token;
    frame.completes_answer = is_finish(choice);
  } else if (is_finish(choice)) {
    frame.kind = frame_kind::finish;
  } else {
    frame.kind = frame_kind::other;
  }
  return frame;
}

}  // namespace

std::optional<std::string_view> sse_splitter::next() {
  const std::size_t end = buffer_.find(frame_end, returned_bytes_);
  if (end == std::string::npos) {
    buffer_.erase(0, returned_bytes_);
    returned_bytes_ = 0;
    return std::nullopt;
  }
  const std::size_t begin = returned_bytes_;
  returned_bytes_ = end + frame_end.size();
  return std::string_view(buffer_).substr(begin, returned_bytes_ - begin);
}

engine_frame parse_frame(std::string_view frame) {
  engine_frame result;
  if (!frame.starts_with(data_prefix)) {
    result.kind = frame.starts_with(":") ? frame_kind::other : frame_kind::malformed;
    return result;
  }
  frame.remove_prefix(data_prefix.size());
  while (frame.ends_with('\n')) {
    frame.remove_suffix(1);
  }
  if (frame == "[DONE]") {
    result.kind = frame_kind::done;
    return result;
  }
  const json body = json::parse(frame, nullptr, false);
  if (!body.is_object()) {
    return result;
  }
  return parse_object(body);
}

}  // namespace arbutus
