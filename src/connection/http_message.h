// HTTP messages as plain values, for servers and clients.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace arbutus {

// Address of a listening process. Always an IP address; names are not resolved.
struct socket_address {
  std::string ip;
  std::uint16_t port{};

  auto operator<=>(const socket_address&) const = default;
};

[[nodiscard]] std::string to_string(const socket_address& address);

// Header fields in the order of the message. Names are case-insensitive.
class http_headers {
 public:
  using field = std::pair<std::string, std::string>;

  http_headers() = default;
  http_headers(std::initializer_list<field> fields) : fields_(fields) {}

  void add(std::string name, std::string value);

  // Replaces every field of that name.
  void set(std::string_view name, std::string value);
  void remove(std::string_view name);

  // The first field of that name. The view is valid until the headers change.
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
  std::string remote;  // "ip:port" of the caller; unused in requests sent by a client
};

struct http_response {
  int status{};
  http_headers headers;
  std::string body;
};

// Whether a header field can be sent. A name or value that contains a line break would let a
// caller's text become a separate header or message, so such fields are never sent.
[[nodiscard]] bool is_safe_field(std::string_view name, std::string_view value);

// Whether a header field applies to one connection only (framing, keep-alive, expectations). Such
// fields are not forwarded; each sender of a message sets its own.
[[nodiscard]] bool is_framing_field(std::string_view name);

[[nodiscard]] bool equal_ignoring_case(std::string_view a, std::string_view b);

}  // namespace arbutus
