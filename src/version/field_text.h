// Fields of operators' files as text: what a name, a number or an endpoint looks like, and which
// known word a misspelt one most likely meant. Shared by inventory, rules and node settings.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "base/finding.h"
#include "version/inventory.h"

namespace arbutus {

// Readers stop collecting at this many findings: a file of junk would else cost more memory for its
// findings than for itself.
inline constexpr std::size_t max_findings = 1000;

// Names end up in keys of the table, in paths and in metrics, so they keep to these characters:
// ASCII letters, digits, '.', '_' and '-', first a letter or digit, at most 64.
inline constexpr std::size_t max_name_length = 64;
inline constexpr std::string_view name_expected =
    "a name of at most 64 letters, digits, '.', '_', '-', first a letter or digit";
[[nodiscard]] bool is_name(std::string_view text);

// "10.0.0.1:8000" or "[fd00::1]:8000": IP numbers only, since nodes look no names up. The host of
// the result has no brackets.
inline constexpr std::string_view endpoint_expected =
    "IP number and port, as 10.0.0.1:8000 or [fd00::1]:8000";
[[nodiscard]] std::optional<endpoint> parse_endpoint(std::string_view text);

// Decimal digits only; empty when there is anything else or the value is too large.
[[nodiscard]] std::optional<std::uint32_t> parse_whole(std::string_view text);

// `text` in quotes for a message: control characters and broken UTF-8 are escaped, and long text
// is cut, so that no input can garble a terminal or a log.
[[nodiscard]] std::string in_quotes(std::string_view text);

// The candidate closest to `word` by edits (a swap of neighbours counts as one), when it is close
// enough to be a misspelling; else empty.
[[nodiscard]] std::string_view nearest(std::string_view word,
                                       std::span<const std::string_view> candidates);

// "NAME is not known" plus the nearest candidate as a question, or all of them as expected.
[[nodiscard]] finding unknown_word(place where, std::string_view what, std::string_view word,
                                   std::span<const std::string_view> candidates);

// Length of the valid UTF-8 sequence at `text[at]`, or 0 when there is none.
[[nodiscard]] std::size_t utf8_length(std::string_view text, std::size_t at);

}  // namespace arbutus
