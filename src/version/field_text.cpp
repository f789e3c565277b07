// Parsing of single fields, and suggestions for misspelt names.
#include "version/field_text.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <vector>

namespace arbutus {

namespace {

constexpr std::size_t max_quoted_length = 60;
// A finding lists the candidates only if there are at most this many.
constexpr std::size_t max_listed_candidates = 12;

bool is_alphanumeric(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

bool is_name_character(char c) {
  return is_alphanumeric(c) || c == '.' || c == '_' || c == '-';
}

bool is_address(int family, const std::string& host) {
  std::array<unsigned char, sizeof(in6_addr)> parsed{};
  return inet_pton(family, host.c_str(), parsed.data()) == 1;
}

// Optimal string alignment distance. Keeps only the last three rows of the matrix.
std::size_t edit_distance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> before(b.size() + 1);
  std::vector<std::size_t> last(b.size() + 1);
  std::vector<std::size_t> row(b.size() + 1);
  for (std::size_t j = 0; j <= b.size(); ++j) {
    last[j] = j;
  }
  for (std::size_t i = 1; i <= a.size(); ++i) {
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t substituted = last[j - 1] + (a[i - 1] == b[j - 1] ? 0U : 1U);
      row[j] = std::min({last[j] + 1, row[j - 1] + 1, substituted});
      const bool swapped = i > 1 && j > 1 && a[i - 1] == b[j - 2] && a[i - 2] == b[j - 1];
      if (swapped) {
        row[j] = std::min(row[j], before[j - 2] + 1);
      }
    }
    std::swap(before, last);
    std::swap(last, row);
  }
  return last[b.size()];
}

std::string joined(std::span<const std::string_view> words) {
  std::string text;
  for (const std::string_view word : words) {
    text += text.empty() ? "" : ", ";
    text += word;
  }
  return text;
}

}  // namespace

bool is_valid_name(std::string_view text) {
  return !text.empty() && text.size() <= max_name_length && is_alphanumeric(text.front()) &&
         std::all_of(text.begin(), text.end(), is_name_character);
}

std::optional<std::uint32_t> parse_integer(std::string_view text) {
  std::uint32_t value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (text.empty() || error != std::errc{} || stop != end) {
    return std::nullopt;
  }
  return value;
}

std::optional<endpoint> parse_endpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const auto port = parse_integer(text.substr(colon + 1));
  if (!port || *port == 0 || *port > UINT16_MAX) {
    return std::nullopt;
  }
  std::string_view host = text.substr(0, colon);
  const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) {
    host = host.substr(1, host.size() - 2);
  }
  endpoint result{std::string(host), static_cast<std::uint16_t>(*port)};
  // inet_pton() stops at a NUL, so text after an embedded NUL would not be checked.
  const bool has_no_nul = host.find('\0') == std::string_view::npos;
  if (!has_no_nul || !is_address(bracketed ? AF_INET6 : AF_INET, result.host)) {
    return std::nullopt;
  }
  return result;
}

std::size_t utf8_length(std::string_view text, std::size_t at) {
  const auto byte = [&](std::size_t i) { return static_cast<unsigned char>(text[i]); };
  const unsigned first = byte(at);
  if (first < 0x80) {
    return 1;
  }
  const std::size_t length = first >= 0xf0 ? 4 : first >= 0xe0 ? 3 : 2;
  if (first < 0xc2 || first > 0xf4 || text.size() - at < length) {
    return 0;
  }
  for (std::size_t i = 1; i < length; ++i) {
    if ((byte(at + i) & 0xc0U) != 0x80U) {
      return 0;
    }
  }
  // Rejects overlong UTF-8 forms, surrogates and values above the last Unicode code point.
  const unsigned second = byte(at + 1);
  const bool invalid = (first == 0xe0 && second < 0xa0) || (first == 0xed && second > 0x9f) ||
                       (first == 0xf0 && second < 0x90) || (first == 0xf4 && second > 0x8f);
  return invalid ? 0 : length;
}

std::string quoted_for_message(std::string_view text) {
  constexpr std::string_view digits = "0123456789abcdef";
  std::string result = "\"";
  std::size_t at = 0;
  while (at < text.size() && result.size() < max_quoted_length) {
    const auto byte = static_cast<unsigned char>(text[at]);
    const std::size_t length = utf8_length(text, at);
    if (length == 0 || byte < 0x20 || byte == 0x7f) {
      result += "\\x";
      result += digits[byte >> 4U];
      result += digits[byte & 15U];
      ++at;
    } else {
      result += text.substr(at, length);
      at += length;
    }
  }
  return result + (at < text.size() ? "...\"" : "\"");
}

std::string_view closest_match(std::string_view word,
                               std::span<const std::string_view> candidates) {
  if (word.size() > max_name_length) {
    return {};
  }
  // Allows one edit for every three letters: "rpelicas" is a misspelling of "replicas", but "port"
  // is not one of "rank".
  std::size_t best = std::max<std::size_t>(1, word.size() / 3) + 1;
  std::string_view found;
  for (const std::string_view candidate : candidates) {
    const std::size_t distance = edit_distance(word, candidate);
    if (distance < best) {
      best = distance;
      found = candidate;
    }
  }
  return found;
}

finding unknown_name_finding(place where, std::string_view what, std::string_view word,
                             std::span<const std::string_view> candidates) {
  finding result;
  result.where = std::move(where);
  result.message = std::string(what) + ' ' + quoted_for_message(word) + " is not known";
  const std::string_view close = closest_match(word, candidates);
  if (!close.empty()) {
    result.message += "; did you mean " + quoted_for_message(close) + '?';
  }
  if (candidates.size() <= max_listed_candidates && !candidates.empty()) {
    result.expected =
        (candidates.size() == 1 ? std::string() : std::string("one of ")) + joined(candidates);
  }
  return result;
}

}  // namespace arbutus
