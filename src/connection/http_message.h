// HTTP messages as plain values, for servers and clients alike.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace arbutus {

// Where a process listens. Always by IP number: no name service is asked.
struct socket_address {
  std::string ip;
  std::uint16_t port{};

  auto operator<=>(const socket_address&) const = default;
};

[[nodiscard]] std::string to_string(const socket_address& address);

// Header fields in the order of the message. Names compare without regard to case.
class http_headers {
 public:
  using field = std::pair<std::string, std::string>;

  http_headers() = default;
  http_headers(std::initializer_list<field> fields) : fields_(fields) {}

  void add(std::string name, std::string value);

  // Replaces every field of that name.
  void set(std::string_view name, std::string value);
  void remove(std::string_view name);

  // The first field of that name; the view lives as long as the headers stay unchanged.
  [[nodiscard]] std::optional<std::string_view> find(std::string_view name) const;

  [[nodiscard]] auto begin() const { return fields_.begin(); }
  [[nodiscard]] auto end() const { return fields_.end(); }
  [[nodiscard]] std::size_t size() const { return fields_.size(); }
  [[nodiscard]] bool empty() const { return fields_.empty(); }

 private:
  std::vector<field> fields_;
};

struct http_request {
  std::string method{"GET"};
  std::string target{"/"};
  http_headers headers;
  std::string body;
  std::string remote;  // "ip:port" of the caller; unused in requests that we send
};

struct http_response {
  int status{};
  http_headers headers;
  std::string body;
};

// Field names and values that would end a line early let a caller's text become a header or a
// message of its own. Such fields are never sent.
[[nodiscard]] bool is_safe_field(std::string_view name, std::string_view value);

// Fields that concern one connection, not what is passed on over several: how a message is framed
// and what its sender expects next. Whoever sends a message sets them anew.
[[nodiscard]] bool is_framing_field(std::string_view name);

[[nodiscard]] bool equal_ignoring_case(std::string_view a, std::string_view b);

}  // namespace arbutus
