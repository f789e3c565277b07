// The pool of idle connections to targets, and the choice of the connection for a call.
#include "connection/http_client.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <map>
#include <vector>

#include "connection/http_call.h"

namespace arbutus {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

using connection_ptr = std::unique_ptr<http_connection>;
using idle_list = std::vector<connection_ptr>;  // most recently used last

// The idle connections of one worker.
struct worker_pool {
  std::map<socket_address, idle_list> idle;
  std::unique_ptr<asio::steady_timer> sweep_timer;
  bool sweep_pending{false};  // a timer handler that refers to this object is pending
  boost::fibers::condition_variable_any swept;
};

}  // namespace

struct http_client::state {
  state(fiber_runtime& r, const http_client_limits& l)
      : runtime(r), limits(l), pools(r.workers()) {}

  worker_pool& pool() { return pools[current_worker()]; }

  // Takes an idle connection to `target` from the pool; null if none is usable. One that became
  // readable while idle was closed by the target or carries an unsolicited response; either way it
  // is discarded.
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
      const bool usable = last->idle_since >= oldest && last->stream.peek() == peek_state::no_data;
      if (usable) {
        found = std::move(last);
      }
    }
    if (idle.empty()) {
      pool().idle.erase(entry);
    }
    return found;
  }

  void put_idle(const socket_address& target, connection_ptr connection) {
    connection->idle_since = monotonic_now();
    idle_list& idle = pool().idle[target];
    if (idle.size() < limits.max_idle_per_target) {
      idle.push_back(std::move(connection));
    }
    sweep_later(pool());
  }

  // Opens a new connection to `target`. Returns null, with the failure in `result`, if the target
  // cannot be reached.
  connection_ptr connect(const socket_address& target, time_point deadline,
                         const cancel_token& token, call_result& result) {
    error_code error;
    const auto ip = asio::ip::make_address(target.ip, error);
    if (error) {
      result = failed_call(call_outcome::not_sent, call_failure::connect_failed, error.message());
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
      return std::make_unique<http_connection>(std::move(stream));
    }
    const call_failure failure = failure_of(error);
    const bool ended_by_caller = failure == call_failure::cancelled ||
                                 (failure == call_failure::deadline && deadline <= connect_by);
    result = failed_call(call_outcome::not_sent,
                         ended_by_caller ? failure : call_failure::connect_failed, error.message());
    result.refused = error == asio::error::connection_refused;
    return nullptr;
  }

  call_result call(const socket_address& target, const http_request& request, time_point deadline,
                   const answer_sink& sink, const cancel_token& token, const send_permit& permit,
                   connection_use use) {
    wire_request wire;
    if (!build_request(target, request, wire)) {
      return failed_call(call_outcome::not_sent, call_failure::malformed,
                         "unsafe text in the request line or headers");
    }
    for (;;) {
      call_result result;
      connection_ptr connection = use == connection_use::pooled ? take_idle(target) : nullptr;
      const bool was_idle = connection != nullptr;
      if (!connection) {
        connection = connect(target, deadline, token, result);
      }
      if (!connection) {
        return result;
      }
      if (permit && !permit()) {
        put_idle(target, std::move(connection));
        return failed_call(call_outcome::not_sent, call_failure::not_permitted, "too late to send");
      }
      bool retry = false;
      {
        const cancel_token::scope cancellable(token, connection->stream);
        http_call once(*connection, wire, deadline);
        result = once.run(sink, limits);
        // The target closed the idle connection just before the write. Nothing was sent, so the
        // request may be sent on a new connection.
        retry = was_idle && result.outcome == call_outcome::not_sent &&
                result.failure == call_failure::connection_lost;
        // Without the reset, a request that is held up by a network partition whose caller has left
        // would still be delivered when the partition heals: the target would receive it seconds
        // after the caller's deadline and work for nobody. Connections of calls with
        // connection_use::fresh are closed. Otherwise, such calls would fill the pool with
        // connections that are never reused, until the target accepts no more and resets every new
        // connection.
        if (!result.ok() || connection->stream.aborted()) {
          connection->stream.close_with_reset();
        } else if (!once.reusable() || use == connection_use::fresh) {
          connection->stream.socket().close();
        }
      }
      if (retry) {
        continue;
      }
      if (connection->stream.socket().is_open()) {
        put_idle(target, std::move(connection));
      }
      return result;
    }
  }

  // Schedules a sweep of expired idle connections. Without it, connections to a target that is no
  // longer called would stay open forever.
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
  std::vector<worker_pool> pools;  // one per worker, accessed only on that worker
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
  held_bytes held(state_->limits.buffers);
  const buffer_account* buffers = state_->limits.buffers;
  bool is_over_share = false;
  const chunk_handler on_chunk = [&](std::string_view bytes) {
    body.append(bytes);
    held.set(body.size());
    is_over_share = buffers != nullptr && buffers->is_over_share(body.size());
    if (is_over_share) {
      body = {};
      held.set(0);
    }
    return !is_over_share;
  };
  call_result result =
      state_->call(target, request, deadline, {on_headers, on_chunk, true}, token, permit, use);
  if (is_over_share) {
    result.failure = call_failure::too_large;
  }
  result.response.body = std::move(body);
  result.held = std::move(held);
  return result;
}

call_result http_client::stream(const socket_address& target, const http_request& request,
                                time_point deadline, const headers_handler& on_headers,
                                const chunk_handler& on_chunk, const cancel_token& token,
                                const send_permit& permit, connection_use use) {
  return state_->call(target, request, deadline, {on_headers, on_chunk, false}, token, permit, use);
}

bool http_client::can_connect(const socket_address& target, time_point deadline) {
  call_result result;
  return state_->connect(target, deadline, {}, result) != nullptr;
}

void http_client::close_idle_connections(const socket_address& target) {
  state_->pool().idle.erase(target);
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

std::string_view call_result::reason() const {
  return fault == answer_fault::none ? to_string(failure) : to_string(fault);
}

std::string_view to_string(answer_fault fault) {
  switch (fault) {
    case answer_fault::none:
      return "none";
    case answer_fault::bytes:
      return "malformed";
    case answer_fault::status:
      return "status out of range";
    case answer_fault::encoding:
      return "unknown transfer encoding";
    case answer_fault::reset:
      return "connection reset before the end";
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
