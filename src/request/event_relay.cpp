// Splits a stream of server-sent events and checks their order.
#include "request/event_relay.h"

#include <charconv>

namespace arbutus {

namespace {

// Whether the line break at `line_break` ends the event that begins at `begin`.
bool ends_event(std::string_view bytes, std::size_t begin, std::size_t line_break) {
  const std::string_view event = bytes.substr(begin, line_break + 1 - begin);
  return event.ends_with("\n\n") || event.ends_with("\r\n\r\n");
}

// Whether the line is a field of an event. Other lines are comments, or are ignored by readers of
// events. The end of `line` may be missing.
bool is_field(std::string_view line) {
  constexpr std::size_t longest_name = 5;
  const std::string_view begin = line.substr(0, longest_name + 1);
  const std::string_view name = begin.substr(0, begin.find_first_of(":\r\n"));
  return name == "data" || name == "id" || name == "event" || name == "retry";
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
  forwarded_.clear();
  if (fault_ == event_fault::none) {
    pending_.append(bytes);
    take_lines();
    check_pending();
  }
  return forwarded_;
}

// Each byte is searched once, however small the pieces are in which an event arrives.
void event_relay::take_lines() {
  std::size_t begin = 0;
  while (fault_ == event_fault::none) {
    const std::size_t line_break = pending_.find('\n', searched_to_);
    if (line_break == std::string::npos) {
      searched_to_ = pending_.size();
      break;
    }
    has_field_ = has_field_ || is_field(std::string_view(pending_).substr(line_begin_));
    searched_to_ = line_break + 1;
    line_begin_ = searched_to_;
    if (ends_event(pending_, begin, line_break)) {
      take_event(std::string_view(pending_).substr(begin, searched_to_ - begin));
      begin = searched_to_;
      has_field_ = false;
    }
  }
  pending_.erase(0, begin);
  line_begin_ -= begin;
  searched_to_ -= begin;
}

void event_relay::take_event(std::string_view event) {
  if (!has_field_) {
    held_back_.append(event);
    check_held_back();
    return;
  }
  if (event.size() > max_event_bytes) {
    fault_ = event_fault::too_large;
    return;
  }
  note_id(event);
  if (fault_ == event_fault::none) {
    forwarded_.append(held_back_).append(event);
    held_back_.clear();
  }
}

void event_relay::check_held_back(std::size_t pending) {
  if (fault_ == event_fault::none && held_back_.size() + pending > max_bytes_without_event) {
    fault_ = event_fault::no_event;
  }
}

// Checks the incomplete event.
void event_relay::check_pending() {
  const bool is_event = has_field_ || is_field(std::string_view(pending_).substr(line_begin_));
  if (!is_event) {
    check_held_back(pending_.size());
  } else if (fault_ == event_fault::none && pending_.size() > max_event_bytes) {
    fault_ = event_fault::too_large;
  }
}

void event_relay::note_id(std::string_view event) {
  const std::string_view id = id_of(event);
  if (id.empty()) {
    return;
  }
  const auto before = number_of(last_id_);
  const auto now = number_of(id);
  if (before && now && *now <= *before) {
    fault_ = event_fault::out_of_order;
    return;
  }
  last_id_ = std::string(id);
  ++forwarded_events_;
}

void event_relay::restart() {
  pending_.clear();
  line_begin_ = 0;
  searched_to_ = 0;
  has_field_ = false;
  held_back_.clear();
  fault_ = event_fault::none;
}

std::string_view to_string(event_fault fault) {
  switch (fault) {
    case event_fault::none:
      return "none";
    case event_fault::out_of_order:
      return "events out of order";
    case event_fault::too_large:
      return "an event is too large";
    case event_fault::no_event:
      return "too many bytes without an event";
  }
  return "?";
}

}  // namespace arbutus
