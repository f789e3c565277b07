// HTTP header fields.
#include "connection/http_message.h"

#include <algorithm>

namespace arbutus {
namespace {

char lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool is_token_char(char c) {
  constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
  const char l = lower(c);
  return (l >= 'a' && l <= 'z') || (l >= '0' && l <= '9') ||
         punctuation.find(c) != std::string_view::npos;
}

}  // namespace

std::string to_string(const socket_address& address) {
  const bool is_v6 = address.ip.find(':') != std::string::npos;
  const std::string host = is_v6 ? "[" + address.ip + "]" : address.ip;
  return host + ":" + std::to_string(address.port);
}

bool equal_ignoring_case(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return lower(x) == lower(y); });
}

void http_headers::add(std::string name, std::string value) {
  fields_.emplace_back(std::move(name), std::move(value));
}

void http_headers::set(std::string_view name, std::string value) {
  remove(name);
  add(std::string(name), std::move(value));
}

void http_headers::remove(std::string_view name) {
  std::erase_if(fields_, [&](const field& f) { return equal_ignoring_case(f.first, name); });
}

std::optional<std::string_view> http_headers::find(std::string_view name) const {
  for (const field& f : fields_) {
    if (equal_ignoring_case(f.first, name)) {
      return f.second;
    }
  }
  return std::nullopt;
}

bool is_safe_field(std::string_view name, std::string_view value) {
  const bool name_ok = !name.empty() && std::all_of(name.begin(), name.end(), is_token_char);
  const bool value_ok =
      value.find_first_of(std::string_view("\r\n\0", 3)) == std::string_view::npos;
  return name_ok && value_ok;
}

bool is_framing_field(std::string_view name) {
  constexpr std::string_view framing[] = {"content-length", "transfer-encoding", "connection",
                                          "keep-alive",     "proxy-connection",  "te",
                                          "trailer",        "upgrade",           "expect"};
  return std::any_of(std::begin(framing), std::end(framing),
                     [&](std::string_view f) { return equal_ignoring_case(f, name); });
}

}  // namespace arbutus
