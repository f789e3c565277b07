// Syntax of text fields in operators' files (names, numbers, endpoints), and suggestions for
// misspelt names. Used by the readers of inventory, rules and node settings.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "base/finding.h"
#include "version/inventory.h"

namespace arbutus {

// Readers of files stop collecting findings (errors and warnings) at this number. Without a limit,
// the findings of an invalid file could take more memory than the file.
inline constexpr std::size_t max_findings = 1000;

// Names are used in table keys, paths and metrics. They therefore consist of at most 64 ASCII
// letters, digits, '.', '_' and '-', and begin with a letter or digit.
inline constexpr std::size_t max_name_length = 64;
inline constexpr std::string_view name_expected =
    "a name of at most 64 letters, digits, '.', '_', '-', first a letter or digit";
[[nodiscard]] bool is_valid_name(std::string_view text);

// Parses "10.0.0.1:8000" or "[fd00::1]:8000". Host names are rejected, since nodes do not use DNS.
// The host of the result has no brackets.
inline constexpr std::string_view endpoint_expected =
    "IP number and port, as 10.0.0.1:8000 or [fd00::1]:8000";
[[nodiscard]] std::optional<endpoint> parse_endpoint(std::string_view text);

// Parses decimal digits; empty if the text has any other character or the value is too large.
[[nodiscard]] std::optional<std::uint32_t> parse_integer(std::string_view text);

// Quotes `text` for a message. Control characters and invalid UTF-8 are escaped and long text is
// truncated, so that no input can corrupt a terminal or a log.
[[nodiscard]] std::string quoted_for_message(std::string_view text);

// The candidate with the smallest edit distance to `word` (swapping two neighbouring characters
// counts as one edit) if `word` is likely to be a misspelling of it; otherwise empty.
[[nodiscard]] std::string_view closest_match(std::string_view word,
                                             std::span<const std::string_view> candidates);

// The finding "`what` NAME is not known". Suggests the closest candidate, if one is close, and
// lists all candidates if they are few.
[[nodiscard]] finding unknown_name_finding(place where, std::string_view what,
                                           std::string_view word,
                                           std::span<const std::string_view> candidates);

// Length of the UTF-8 sequence at `text[at]`, or 0 if it is invalid.
[[nodiscard]] std::size_t utf8_length(std::string_view text, std::size_t at);

}  // namespace arbutus
