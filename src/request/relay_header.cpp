// Text of the header between nodes: fields separated by blanks.
#include "request/relay_header.h"

#include <array>
#include <charconv>

namespace arbutus {

namespace {

// No call is sent to as many targets; a larger number is a mistake of the sender.
constexpr std::uint32_t max_runs = 1000;
constexpr std::size_t max_name_length = 200;

constexpr std::array<std::string_view, 3> result_names = {"answered", "refused", "not-taken"};
constexpr std::array<std::string_view, 3> decline_names = {"cut-off", "full", "unfit"};

// Removes the first field from `text` and returns it.
std::string_view take_field(std::string_view& text) {
  const auto blank = text.find(' ');
  const std::string_view field = text.substr(0, blank);
  text = blank == std::string_view::npos ? std::string_view{} : text.substr(blank + 1);
  return field;
}

std::optional<std::uint64_t> read_number(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  const bool is_number = !text.empty() && error == std::errc{} && end == text.data() + text.size();
  return is_number ? std::optional(value) : std::nullopt;
}

std::optional<std::uint32_t> read_runs(std::string_view text) {
  const auto value = read_number(text);
  return value && *value <= max_runs ? std::optional(static_cast<std::uint32_t>(*value))
                                     : std::nullopt;
}

}  // namespace

std::string to_text(const relayed_call& call) {
  return std::to_string(call.possible_runs) + ' ' + std::to_string(call.version) + ' ' +
         call.from.str();
}

std::string to_text(const relay_report& report) {
  return std::string(result_names[static_cast<std::size_t>(report.result)]) + ' ' +
         std::to_string(report.possible_runs) + ' ' + std::to_string(report.version) + ' ' +
         report.target.str();
}

std::string to_text(const relay_decline& decline) {
  std::string text(decline_names[static_cast<std::size_t>(decline.reason)]);
  for (const node_id& taker : decline.takers) {
    text += ' ' + taker.str();
  }
  return text;
}

std::optional<relayed_call> read_relayed_call(std::string_view text) {
  const auto runs = read_runs(take_field(text));
  const auto version = read_number(take_field(text));
  const std::string_view from = take_field(text);
  if (!runs || !version || from.empty() || from.size() > max_name_length || !text.empty()) {
    return std::nullopt;
  }
  return relayed_call{node_id{from}, *runs, *version};
}

std::optional<relay_report> read_relay_report(std::string_view text) {
  const std::string_view name = take_field(text);
  const auto runs = read_runs(take_field(text));
  const auto version = read_number(take_field(text));
  const std::string_view target = take_field(text);
  if (!runs || !version || target.size() > max_name_length || !text.empty()) {
    return std::nullopt;
  }
  for (std::size_t i = 0; i < result_names.size(); ++i) {
    if (result_names[i] == name) {
      return relay_report{static_cast<relay_result>(i), *runs, *version, target_id{target}};
    }
  }
  return std::nullopt;
}

relay_decline read_relay_decline(std::string_view text) {
  relay_decline decline;
  const std::string_view name = take_field(text);
  for (std::size_t i = 0; i < decline_names.size(); ++i) {
    if (decline_names[i] == name) {
      decline.reason = static_cast<decline_reason>(i);
    }
  }
  while (!text.empty() && decline.takers.size() < max_named_takers) {
    const std::string_view taker = take_field(text);
    if (!taker.empty() && taker.size() <= max_name_length) {
      decline.takers.emplace_back(taker);
    }
  }
  return decline;
}

}  // namespace arbutus
