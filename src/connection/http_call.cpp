// One request and its response on one connection of the HTTP client.
#include "connection/http_call.h"

#include <algorithm>
#include <boost/asio/error.hpp>

namespace arbutus {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t read_buffer_size = 16UL * 1024;

// Time limit for reading a response that the target sent before it had read the whole request. That
// response has already been sent, so a short limit suffices.
constexpr duration early_answer_timeout = 250ms;

// Reads from a stream, and limits the time for the rest once the first bytes have arrived. Meets
// the SyncReadStream requirements.
struct header_deadline_reader {
  fiber_stream& stream;
  time_point deadline;
  duration time_from_first_byte;
  bool begun = false;

  void begin() {
    begun = true;
    stream.set_deadline(std::min(deadline, monotonic_now() + time_from_first_byte));
  }

  template <class Buffers>
  std::size_t read_some(const Buffers& buffers, error_code& error) {
    const std::size_t count = stream.read_some(buffers, error);
    if (count > 0 && !begun) {
      begin();
    }
    return count;
  }

  template <class Buffers>
  std::size_t read_some(const Buffers& buffers) {
    error_code error;
    const std::size_t count = read_some(buffers, error);
    if (error) {
      throw boost::system::system_error(error);
    }
    return count;
  }
};

// An answer with any other status is malformed. Beast accepts each number of three digits.
bool is_final_status(int status) {
  constexpr int lowest = 200;
  constexpr int highest = 599;
  return status >= lowest && status <= highest;
}

// Of a body in any other encoding, neither the end nor the content is known.
bool has_known_encoding(const http::fields& fields) {
  const auto encodings = fields.count(http::field::transfer_encoding);
  return encodings == 0 ||
         (encodings == 1 && equal_ignoring_case(fields[http::field::transfer_encoding], "chunked"));
}

// Whether the stream ended in good order, but inside the message.
bool is_early_end(const error_code& error) {
  return error == http::error::end_of_stream || error == http::error::partial_message;
}

// `has_head`: whether the head of the answer had arrived.
answer_fault fault_of(const error_code& error, bool has_head) {
  const call_failure failure = failure_of(error);
  if (failure == call_failure::malformed) {
    return error == http::error::bad_status              ? answer_fault::status
           : error == http::error::bad_transfer_encoding ? answer_fault::encoding
                                                         : answer_fault::bytes;
  }
  const bool is_reset = failure == call_failure::connection_lost && !is_early_end(error);
  return has_head && is_reset ? answer_fault::reset : answer_fault::none;
}

http_headers headers_of(const http::fields& fields) {
  http_headers headers;
  for (const auto& field : fields) {
    headers.add(std::string(field.name_string()), std::string(field.value()));
  }
  return headers;
}

}  // namespace

call_failure failure_of(const error_code& error) {
  if (error == asio::error::timed_out) {
    return call_failure::deadline;
  }
  if (error == asio::error::operation_aborted) {
    return call_failure::cancelled;
  }
  if (error == http::error::body_limit || error == http::error::header_limit ||
      error == http::error::buffer_overflow) {
    return call_failure::too_large;
  }
  if (is_early_end(error) ||
      error.category() != http::make_error_code(http::error::bad_value).category()) {
    return call_failure::connection_lost;
  }
  return call_failure::malformed;
}

call_result failed_call(call_outcome outcome, call_failure failure, std::string detail) {
  call_result result;
  result.outcome = outcome;
  result.failure = failure;
  result.detail = std::move(detail);
  return result;
}

bool build_request(const socket_address& target, const http_request& request, wire_request& wire) {
  const bool target_ok =
      request.target.find_first_of(std::string_view(" \r\n\0", 4)) == std::string::npos &&
      !request.target.empty();
  if (!target_ok || !is_safe_field(request.method, "")) {
    return false;
  }
  wire.version(11);
  wire.method_string(request.method);
  wire.target(request.target);
  for (const auto& [name, value] : request.headers) {
    if (!is_safe_field(name, value)) {
      return false;
    }
    if (!is_framing_field(name)) {
      wire.insert(name, value);
    }
  }
  if (wire.find(http::field::host) == wire.end()) {
    wire.set(http::field::host, to_string(target));
  }
  wire.body() = {request.body.data(), request.body.size()};
  wire.prepare_payload();
  return true;
}

call_result http_call::run(const answer_sink& sink, const http_client_limits& limits) {
  connection_.stream.set_deadline(deadline_);
  error_code write_error;
  http::write(connection_.stream, request_, write_error);
  if (write_error && (!any_byte_sent() || !await_early_answer(write_error))) {
    return broken(write_error);
  }
  error_code error;
  auto parser = read_headers(limits, sink.limit_body, error);
  if (error) {
    // A failed write explains a missing head, but not one that is malformed.
    const bool is_malformed = failure_of(error) == call_failure::malformed;
    return broken(write_error && !is_malformed ? write_error : error);
  }
  result_.response.status = static_cast<int>(parser->get().result_int());
  result_.response.headers = headers_of(parser->get());
  if (!sink.on_headers(result_.response.status, result_.response.headers)) {
    return abandoned();
  }
  if (!read_body(*parser, sink, limits, error)) {
    return error ? broken(error) : abandoned();
  }
  // Bytes after the response belong to no request of this client: the two sides disagree on
  // framing, so the connection is not reused.
  reusable_ = !write_error && parser->keep_alive() && connection_.input.size() == 0;
  result_.outcome = call_outcome::ok;
  return std::move(result_);
}

// A target may refuse a large request before reading all of it, and close the connection. Its
// response is still read.
bool http_call::await_early_answer(const error_code& write_error) {
  if (write_error == asio::error::timed_out || write_error == asio::error::operation_aborted) {
    return false;
  }
  read_deadline_ = std::min(deadline_, monotonic_now() + early_answer_timeout);
  connection_.stream.set_deadline(read_deadline_);
  return true;
}

// Reads the headers of the final response. Skips interim responses (status 1xx), which precede it,
// up to their limit.
std::unique_ptr<http_call::answer_parser> http_call::read_headers(const http_client_limits& limits,
                                                                  bool bounded_body,
                                                                  error_code& error) {
  // Beast limits the headers, but not a chunk's extensions or the trailers, which it buffers until
  // their end. A buffer that is larger than the headers by one read cannot fill up before the
  // header limit applies.
  connection_.input.max_size(limits.max_header_bytes + read_buffer_size);
  for (std::size_t interim_responses = 0;; ++interim_responses) {
    auto parser = std::make_unique<answer_parser>();
    parser->header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
    if (bounded_body) {
      parser->body_limit(limits.max_body_bytes);
    } else {
      parser->body_limit(boost::none);
    }
    parser->skip(request_.method() == http::verb::head);
    read_header(*parser, limits, error);
    const bool informational = !error && parser->get().result_int() / 100 == 1;
    if (informational && interim_responses == limits.max_interim_responses) {
      error = http::make_error_code(http::error::header_limit);
    }
    if (!error && !informational) {
      error = check_head(*parser);
    }
    if (error || !informational) {
      return parser;
    }
  }
}

// Whether what Beast accepts as a head is that of an answer.
http_call::error_code http_call::check_head(const answer_parser& parser) {
  if (!is_final_status(static_cast<int>(parser.get().result_int()))) {
    return http::make_error_code(http::error::bad_status);
  }
  if (!has_known_encoding(parser.get())) {
    return http::make_error_code(http::error::bad_transfer_encoding);
  }
  return {};
}

void http_call::read_header(answer_parser& parser, const http_client_limits& limits,
                            error_code& error) {
  header_deadline_reader reader{connection_.stream, read_deadline_, limits.max_header_duration};
  if (connection_.input.size() > 0) {
    reader.begin();
  }
  http::read_header(reader, connection_.input, parser, error);
  connection_.stream.set_deadline(read_deadline_);
}

// Extends the deadline while bytes of the body arrive. Without this, a response that the link
// cannot transfer before the deadline would never be read completely: each new call would start
// from its beginning.
void http_call::extend_deadline(time_point headers_at, const http_client_limits& limits) {
  const time_point last = headers_at + limits.max_body_duration;
  const time_point next = std::min(monotonic_now() + limits.body_stall_timeout, last);
  connection_.stream.set_deadline(std::max(deadline_, next));
}

// Reads the body of the response and passes it to the sink. Returns false on an error and, with
// `error` clear, if the sink stops the transfer.
bool http_call::read_body(answer_parser& parser, const answer_sink& sink,
                          const http_client_limits& limits, error_code& error) {
  const bool extends = sink.limit_body && limits.body_stall_timeout > duration::zero();
  const time_point headers_at = monotonic_now();
  const auto buffer = std::make_unique_for_overwrite<char[]>(read_buffer_size);
  while (!parser.is_done()) {
    auto& body = parser.get().body();
    body.data = buffer.get();
    body.size = read_buffer_size;
    http::read_some(connection_.stream, connection_.input, parser, error);
    if (error == http::error::need_buffer) {
      error = {};
    }
    const std::size_t count = read_buffer_size - body.size;
    if (count > 0 && extends) {
      extend_deadline(headers_at, limits);
    }
    if (count > 0 && !sink.on_chunk({buffer.get(), count})) {
      error = {};
      return false;
    }
    if (error) {
      return false;
    }
  }
  return true;
}

call_result http_call::broken(const error_code& error) {
  result_.outcome = any_byte_sent() ? call_outcome::unknown : call_outcome::not_sent;
  result_.failure = failure_of(error);
  result_.fault = fault_of(error, result_.response.status != 0);
  result_.detail = error.message();
  return std::move(result_);
}

call_result http_call::abandoned() {
  result_.outcome = call_outcome::unknown;
  result_.failure = call_failure::abandoned;
  return std::move(result_);
}

}  // namespace arbutus
