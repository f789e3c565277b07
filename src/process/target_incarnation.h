// Ids of the incarnations of targets.
//
// An engine may restart under the same name. It then has no models loaded, no state and new
// counters. So a target_id identifies one incarnation: the engine's name and, if the engine reports
// it, its start stamp. All state that is keyed by target_id belongs to one incarnation, and a
// replica loses a member that restarts.
//
// The start stamp is the wall-clock time of the start. That clock may jump, so stamps are compared
// only for equality; which of two incarnations is newer follows from when each was queried
// (fleet_view).
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "base/hash.h"
#include "base/id.h"

namespace arbutus {

inline constexpr char incarnation_separator = '~';
// Maximum length of an engine name: that of a row name, less room for the start stamp.
inline constexpr std::size_t max_engine_name_length = 128;

// Engine names appear in request headers, replica names and log lines, so they must be printable
// and contain none of their separators. A record under any other name was not written by an engine.
[[nodiscard]] inline bool is_engine_name(std::string_view name) {
  if (name.empty() || name.size() > max_engine_name_length) {
    return false;
  }
  for (const char c : name) {
    const bool is_allowed = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                            (c >= '0' && c <= '9') || c == '-' || c == '_';
    if (!is_allowed) {
      return false;
    }
  }
  return true;
}

// Without `start_stamp`, as for an engine that does not report it, all incarnations of the engine
// have the same id.
[[nodiscard]] inline target_id incarnation_of(std::string_view engine,
                                              std::optional<std::uint64_t> start_stamp) {
  std::string text(engine);
  if (start_stamp) {
    text += incarnation_separator + std::to_string(*start_stamp);
  }
  return target_id{std::move(text)};
}

// The engine's name as used on the wire.
[[nodiscard]] inline std::string_view engine_of(const target_id& incarnation) {
  const std::string_view text = incarnation.str();
  return text.substr(0, text.find(incarnation_separator));
}

// Digest of the members of a replica; their order does not matter.
[[nodiscard]] std::string incarnations_digest(std::span<const target_id> members);

}  // namespace arbutus
