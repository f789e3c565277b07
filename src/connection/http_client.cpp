// Calls to targets and the pool of their connections.
#include "connection/http_client.h"

#include <array>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <vector>

#include "connection/fiber_stream.h"

namespace arbutus {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using wire_request = http::request<http::span_body<const char>>;
using answer_parser = http::response_parser<http::buffer_body>;

constexpr std::size_t read_buffer_size = 16 * 1024;

// A target that answers before it has read the whole request has an answer waiting; more than this
// is not spent on it.
constexpr duration early_answer_wait = 250ms;

struct connection {
  explicit connection(fiber_stream s) : stream(std::move(s)) {}

  fiber_stream stream;
  boost::beast::flat_buffer input;
  std::array<char, read_buffer_size> body_buffer{};
  time_point idle_since{};
};

using connection_ptr = std::unique_ptr<connection>;
using idle_list = std::vector<connection_ptr>;  // the one used last is at the end

// The idle connections of one worker.
struct worker_pool {
  std::map<socket_address, idle_list> idle;
  std::unique_ptr<asio::steady_timer> sweep_timer;
  bool sweep_pending{false};  // the timer's handler refers to this
  boost::fibers::condition_variable_any swept;
};

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
  const bool closed_early =
      error == http::error::end_of_stream || error == http::error::partial_message;
  if (closed_early ||
      error.category() != http::make_error_code(http::error::bad_value).category()) {
    return call_failure::connection_lost;
  }
  return call_failure::malformed;
}

call_result failed(call_outcome outcome, call_failure failure, std::string detail) {
  call_result result;
  result.outcome = outcome;
  result.failure = failure;
  result.detail = std::move(detail);
  return result;
}

// False if the request holds text that would break its framing.
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

http_headers headers_of(const http::fields& fields) {
  http_headers headers;
  for (const auto& field : fields) {
    headers.add(std::string(field.name_string()), std::string(field.value()));
  }
  return headers;
}

// Where the parts of one answer go.
struct answer_sink {
  const http_client::headers_handler& on_headers;
  const http_client::chunk_handler& on_chunk;
  bool bounded;  // whether the body must stay within the limit
};

// One request and its answer on one connection.
class exchange {
 public:
  exchange(connection& link, const wire_request& request, time_point deadline)
      : link_(link), request_(request), deadline_(deadline) {}

  // True if any byte may have left.
  [[nodiscard]] bool sent() const { return link_.stream.written() != written_before_; }
  [[nodiscard]] bool reusable() const { return reusable_; }

  call_result run(const answer_sink& sink, const http_client_limits& limits) {
    link_.stream.set_deadline(deadline_);
    error_code write_error;
    http::write(link_.stream, request_, write_error);
    if (write_error && (!sent() || !await_early_answer(write_error))) {
      return broken(write_error);
    }
    error_code error;
    auto parser = read_headers(limits, sink.bounded, error);
    if (error) {
      return broken(write_error ? write_error : error);
    }
    result_.response.status = static_cast<int>(parser->get().result_int());
    result_.response.headers = headers_of(parser->get());
    if (!sink.on_headers(result_.response.status, result_.response.headers)) {
      return abandoned();
    }
    if (!read_body(*parser, sink, error)) {
      return error ? broken(error) : abandoned();
    }
    // Bytes behind the answer belong to no request of ours, so the two sides disagree on framing.
    reusable_ = !write_error && parser->keep_alive() && link_.input.size() == 0;
    result_.outcome = call_outcome::ok;
    return std::move(result_);
  }

 private:
  // A target may refuse a large request before reading all of it, and close. Its answer still
  // counts.
  bool await_early_answer(const error_code& write_error) {
    if (write_error == asio::error::timed_out || write_error == asio::error::operation_aborted) {
      return false;
    }
    link_.stream.set_deadline(std::min(deadline_, monotonic_now() + early_answer_wait));
    return true;
  }

  // Answers with a status of 1xx only announce the real one.
  std::unique_ptr<answer_parser> read_headers(const http_client_limits& limits, bool bounded_body,
                                              error_code& error) {
    for (;;) {
      auto parser = std::make_unique<answer_parser>();
      parser->header_limit(static_cast<std::uint32_t>(limits.header_bytes));
      if (bounded_body) {
        parser->body_limit(limits.body_bytes);
      } else {
        parser->body_limit(boost::none);
      }
      parser->skip(request_.method() == http::verb::head);
      http::read_header(link_.stream, link_.input, *parser, error);
      const bool informational = !error && parser->get().result_int() / 100 == 1;
      if (!informational) {
        return parser;
      }
    }
  }

  // False with `error` clear if the sink wants no more.
  bool read_body(answer_parser& parser, const answer_sink& sink, error_code& error) {
    auto& buffer = link_.body_buffer;
    while (!parser.is_done()) {
      auto& body = parser.get().body();
      body.data = buffer.data();
      body.size = buffer.size();
      http::read_some(link_.stream, link_.input, parser, error);
      if (error == http::error::need_buffer) {
        error = {};
      }
      const std::size_t count = buffer.size() - body.size;
      if (count > 0 && !sink.on_chunk({buffer.data(), count})) {
        error = {};
        return false;
      }
      if (error) {
        return false;
      }
    }
    return true;
  }

  call_result broken(const error_code& error) {
    result_.outcome = sent() ? call_outcome::unknown : call_outcome::not_sent;
    result_.failure = failure_of(error);
    result_.detail = error.message();
    return std::move(result_);
  }

  call_result abandoned() {
    result_.outcome = call_outcome::unknown;
    result_.failure = call_failure::abandoned;
    return std::move(result_);
  }

  connection& link_;
  const wire_request& request_;
  time_point deadline_;
  std::uint64_t written_before_{link_.stream.written()};
  call_result result_;
  bool reusable_{false};  // only after a whole answer
};

}  // namespace

struct http_client::state {
  state(fiber_runtime& r, const http_client_limits& l)
      : runtime(r), limits(l), pools(r.workers()) {}

  worker_pool& pool() { return pools[current_worker()]; }

  // Null if there is no usable one. A connection that became readable while idle was closed by the
  // target, or carries an answer that nobody asked for; both end it.
  connection_ptr take_idle(const socket_address& target) {
    const auto entry = pool().idle.find(target);
    if (entry == pool().idle.end()) {
      return nullptr;
    }
    idle_list& idle = entry->second;
    const time_point oldest = monotonic_now() - limits.idle_expiry;
    connection_ptr found;
    while (!idle.empty() && !found) {
      connection_ptr last = std::move(idle.back());
      idle.pop_back();
      const bool usable = last->idle_since >= oldest && last->stream.peek() == peek_state::quiet;
      if (usable) {
        found = std::move(last);
      }
    }
    if (idle.empty()) {
      pool().idle.erase(entry);
    }
    return found;
  }

  void put_idle(const socket_address& target, connection_ptr link) {
    link->idle_since = monotonic_now();
    idle_list& idle = pool().idle[target];
    if (idle.size() < limits.idle_per_target) {
      idle.push_back(std::move(link));
    }
    sweep_later(pool());
  }

  // Null with `result` filled if the target cannot be reached.
  connection_ptr connect(const socket_address& target, time_point deadline,
                         const cancel_token& token, call_result& result) {
    error_code error;
    const auto ip = asio::ip::make_address(target.ip, error);
    if (error) {
      result = failed(call_outcome::not_sent, call_failure::connect_failed, error.message());
      return nullptr;
    }
    fiber_stream stream(asio::ip::tcp::socket(this_worker()->io));
    const time_point connect_by = monotonic_now() + limits.connect_timeout;
    stream.set_deadline(std::min(deadline, connect_by));
    {
      const cancel_token::scope cancellable(token, stream);
      stream.connect({ip, target.port}, error);
    }
    if (!error) {
      return std::make_unique<connection>(std::move(stream));
    }
    const call_failure failure = failure_of(error);
    const bool own_decision = failure == call_failure::cancelled ||
                              (failure == call_failure::deadline && deadline <= connect_by);
    result = failed(call_outcome::not_sent, own_decision ? failure : call_failure::connect_failed,
                    error.message());
    return nullptr;
  }

  call_result call(const socket_address& target, const http_request& request, time_point deadline,
                   const answer_sink& sink, const cancel_token& token, const send_permit& permit,
                   connection_use use) {
    wire_request wire;
    if (!build_request(target, request, wire)) {
      return failed(call_outcome::not_sent, call_failure::malformed, "unsafe text in the request");
    }
    for (;;) {
      call_result result;
      connection_ptr link = use == connection_use::pooled ? take_idle(target) : nullptr;
      const bool was_idle = link != nullptr;
      if (!link) {
        link = connect(target, deadline, token, result);
      }
      if (!link) {
        return result;
      }
      if (permit && !permit()) {
        put_idle(target, std::move(link));
        return failed(call_outcome::not_sent, call_failure::not_permitted, "too late to send");
      }
      bool retry = false;
      {
        const cancel_token::scope cancellable(token, link->stream);
        exchange once(*link, wire, deadline);
        result = once.run(sink, limits);
        // The target closed the idle connection in the moment before the write. Nothing was sent,
        // so a new connection may carry the request.
        retry = was_idle && result.outcome == call_outcome::not_sent &&
                result.failure == call_failure::connection_lost;
        if (!once.reusable() || link->stream.aborted()) {
          link->stream.socket().close();
        }
      }
      if (retry) {
        continue;
      }
      if (link->stream.socket().is_open()) {
        put_idle(target, std::move(link));
      }
      return result;
    }
  }

  // Without it a target that is no longer called would keep its connections for ever.
  void sweep_later(worker_pool& own) {
    if (own.sweep_pending) {
      return;
    }
    own.sweep_pending = true;
    own.sweep_timer = std::make_unique<asio::steady_timer>(
        this_worker()->io, to_steady(monotonic_now() + limits.idle_expiry));
    own.sweep_timer->async_wait([this, &own](const error_code& error) {
      own.sweep_pending = false;
      if (!error) {
        sweep(own);
      }
      own.swept.notify_all();
    });
  }

  void sweep(worker_pool& own) {
    const time_point oldest = monotonic_now() - limits.idle_expiry;
    for (auto& [target, idle] : own.idle) {
      std::erase_if(idle, [&](const connection_ptr& c) { return c->idle_since < oldest; });
    }
    std::erase_if(own.idle, [](const auto& entry) { return entry.second.empty(); });
    if (!own.idle.empty()) {
      sweep_later(own);
    }
  }

  void close_pool(worker_pool& own) {
    own.idle.clear();
    if (own.sweep_pending) {
      own.sweep_timer->cancel();
    }
    if (!runtime.running()) {
      return;
    }
    no_lock lock;
    own.swept.wait(lock, [&own] { return !own.sweep_pending; });
  }

  fiber_runtime& runtime;
  http_client_limits limits;
  std::vector<worker_pool> pools;  // one for each worker, touched only there
};

http_client::http_client(fiber_runtime& runtime, const http_client_limits& limits)
    : state_(std::make_unique<state>(runtime, limits)) {}

http_client::~http_client() {
  for (std::size_t i = 0; i < state_->pools.size(); ++i) {
    state_->runtime.run_on(i, [this, i] { state_->close_pool(state_->pools[i]); });
  }
}

call_result http_client::fetch(const socket_address& target, const http_request& request,
                               time_point deadline, const cancel_token& token,
                               const send_permit& permit, connection_use use) {
  std::string body;
  const headers_handler on_headers = [](int, const http_headers&) { return true; };
  const chunk_handler on_chunk = [&body](std::string_view bytes) {
    body.append(bytes);
    return true;
  };
  call_result result =
      state_->call(target, request, deadline, {on_headers, on_chunk, true}, token, permit, use);
  result.response.body = std::move(body);
  return result;
}

call_result http_client::stream(const socket_address& target, const http_request& request,
                                time_point deadline, const headers_handler& on_headers,
                                const chunk_handler& on_chunk, const cancel_token& token,
                                const send_permit& permit, connection_use use) {
  return state_->call(target, request, deadline, {on_headers, on_chunk, false}, token, permit, use);
}

std::size_t http_client::idle_connections() const {
  std::size_t count = 0;
  for (const auto& [target, idle] : state_->pool().idle) {
    count += idle.size();
  }
  return count;
}

std::string_view to_string(call_outcome outcome) {
  switch (outcome) {
    case call_outcome::ok:
      return "ok";
    case call_outcome::not_sent:
      return "not sent";
    case call_outcome::unknown:
      return "unknown";
  }
  return "?";
}

std::string_view to_string(call_failure failure) {
  switch (failure) {
    case call_failure::none:
      return "none";
    case call_failure::connect_failed:
      return "connect failed";
    case call_failure::deadline:
      return "deadline";
    case call_failure::cancelled:
      return "cancelled";
    case call_failure::abandoned:
      return "abandoned";
    case call_failure::connection_lost:
      return "connection lost";
    case call_failure::malformed:
      return "malformed";
    case call_failure::not_permitted:
      return "not permitted any more";
    case call_failure::too_large:
      return "too large";
  }
  return "?";
}

}  // namespace arbutus
