// Splits a stream of server-sent events and checks their order.
#include "request/event_relay.h"

#include <charconv>

namespace arbutus {

namespace {

constexpr std::string_view event_end = "\n\n";
constexpr std::string_view event_end_crlf = "\r\n\r\n";

// Position after the first event in `bytes`, or npos.
std::size_t end_of_event(std::string_view bytes) {
  const auto plain = bytes.find(event_end);
  const auto crlf = bytes.find(event_end_crlf);
  if (plain == std::string_view::npos && crlf == std::string_view::npos) {
    return std::string_view::npos;
  }
  return plain < crlf ? plain + event_end.size() : crlf + event_end_crlf.size();
}

std::optional<std::uint64_t> number_of(std::string_view text) {
  std::uint64_t value = 0;
  const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || result.ec != std::errc{} || result.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

// The value of an event's `id` field; empty if there is none.
std::string_view id_of(std::string_view event) {
  std::string_view id;
  while (!event.empty()) {
    const auto line_end = event.find('\n');
    std::string_view line = event.substr(0, line_end);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (line.starts_with("id:")) {
      id = line.substr(3);
      if (id.starts_with(' ')) {
        id.remove_prefix(1);
      }
    }
    if (line_end == std::string_view::npos) {
      break;
    }
    event.remove_prefix(line_end + 1);
  }
  return id;
}

}  // namespace

std::string_view event_relay::take(std::string_view bytes) {
  pending_.append(bytes);
  forwarded_.clear();
  for (;;) {
    const auto end = end_of_event(pending_);
    if (end == std::string_view::npos || out_of_order_) {
      return forwarded_;
    }
    const std::string_view event = std::string_view(pending_).substr(0, end);
    note_event(event);
    if (out_of_order_) {
      return forwarded_;
    }
    forwarded_.append(event);
    pending_.erase(0, end);
  }
}

void event_relay::note_event(std::string_view event) {
  const std::string_view id = id_of(event);
  if (id.empty()) {
    return;
  }
  const auto before = number_of(last_id_);
  const auto now = number_of(id);
  if (before && now && *now <= *before) {
    out_of_order_ = true;
    return;
  }
  last_id_ = std::string(id);
  ++forwarded_events_;
}

void event_relay::restart() {
  pending_.clear();
  out_of_order_ = false;
}

}  // namespace arbutus
