// Names of the lives of targets.
//
// An engine may start again under the name it had. It then holds and knows nothing of before, and
// its counts start anew. So a target_id names one life: the engine's name and, where the engine
// tells it, the mark of its start. All that is kept by target_id is thereby of one life, and the
// replica of an engine that started again lacks the member that it had.
//
// The mark is the time of day of the start. That clock may jump, so marks are compared for equality
// alone; which of two lives is the newer one follows from when each was asked (fleet_view).
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "base/hash.h"
#include "base/id.h"

namespace arbutus {

inline constexpr char life_separator = '~';
// As long as the names of rows may be, less room for the mark.
inline constexpr std::size_t longest_engine_name = 128;

// Names go into heads of requests, names of replicas and log lines: printable, and none of the
// separators of those. A record under another name was written by something else than an engine.
[[nodiscard]] inline bool is_engine_name(std::string_view name) {
  if (name.empty() || name.size() > longest_engine_name) {
    return false;
  }
  for (const char c : name) {
    const bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                       c == '-' || c == '_';
    if (!plain) {
      return false;
    }
  }
  return true;
}

// Without a mark: an engine that does not tell its start. All its lives are then taken for one.
[[nodiscard]] inline target_id life_of(std::string_view engine, std::optional<std::uint64_t> born) {
  std::string text(engine);
  if (born) {
    text += life_separator + std::to_string(*born);
  }
  return target_id{std::move(text)};
}

// The name of the engine, as it stands on the wire.
[[nodiscard]] inline std::string_view engine_of(const target_id& life) {
  const std::string_view text = life.str();
  return text.substr(0, text.find(life_separator));
}

// Of the members of a replica, in any order.
[[nodiscard]] std::string lives_digest(std::span<const target_id> members);

}  // namespace arbutus
