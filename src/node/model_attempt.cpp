// Sends one attempt of a model call and checks the answer.
#include "node/model_attempt.h"

#include <algorithm>

#include "connection/clock.h"
#include "node/sse.h"
#include "process/engine_wire.h"
#include "process/routes.h"
#include "request/router.h"
#include "request/target_answer.h"

namespace arbutus {

namespace {

constexpr std::size_t max_error_body_bytes = 64UL * 1024;
// A resumed engine may repeat the tokens of a long answer. More than this is no answer.
constexpr std::size_t max_bytes_without_token = 4UL * 1024 * 1024;
constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_too_large = 413;
constexpr int status_unprocessable = 422;
constexpr int status_unavailable = 503;

http_request make_request(const model_attempt& attempt, const replica_route& route,
                          std::uint64_t offset) {
  http_request request;
  request.method = "POST";
  request.target = std::string(attempt.path);
  request.body = std::string(attempt.body);
  http_headers& headers = request.headers;
  headers.add("content-type", "application/json");
  headers.add("x-request-id", attempt.id.str());
  headers.add("x-replica", route.id.str());
  headers.add("x-generation", to_string(route.fencing_generation));
  headers.add("x-priority", std::to_string(attempt.priority));
  headers.add("x-workspace", attempt.workspace.str());
  if (offset > 0) {
    headers.add("x-resume-offset", std::to_string(offset));
  }
  return request;
}

// Whether the target reports that it did not run the request.
bool refused_by_target(int status, std::string_view body) {
  const bool may_be_refusal = status == status_conflict || status == status_unavailable;
  return may_be_refusal && kind_of({.status = status, .states_not_run = states_not_run(body)}) ==
                               answer_kind::not_run;
}

// Whether the request itself is invalid; another replica would answer the same.
bool is_client_error(int status) {
  return status == status_bad_request || status == status_not_found || status == status_too_large ||
         status == status_unprocessable;
}

// Whether the answer carries the id of the request; an answer with another id belongs to another
// request.
bool has_request_id(const http_headers& headers, const request_id& id) {
  const auto named = headers.find("x-request-id");
  return named && *named == id.str();
}

std::string describe(const call_result& result) {
  std::string text{result.reason()};
  if (!result.detail.empty()) {
    text += ": " + result.detail;
  }
  return text;
}

// For an attempt without a complete answer: sets what the state of its connection proves about
// whether the request ran.
void set_transport_failure(const call_result& result, attempt_outcome& end) {
  end.ran = result.outcome == call_outcome::not_sent ? execution::not_run : execution::unknown;
  end.reason = describe(result);
  end.target_lost = result.failure == call_failure::connect_failed ||
                    result.failure == call_failure::connection_lost;
}

// For a complete answer with a status other than 200, whose body is in `end`: sets whether the
// request ran, and the reason.
void set_error_status(int status, attempt_outcome& end) {
  end.status = status;
  if (refused_by_target(end.status, end.body)) {
    end.ran = execution::not_run;
    end.reason = "refused by the target";
    return;
  }
  end.engine_error = is_client_error(end.status);
  end.ran = end.engine_error ? execution::not_run : execution::unknown;
  end.reason = "status " + std::to_string(end.status);
}

// The permit to send to a replica. It checks the newest view, not the one that the replica was
// chosen from: since then a member may have been lost, or this process may have been paused until
// every permission expired.
send_permit permit_for(const call_context& node, const replica_route& chosen) {
  return [&node, &chosen] {
    const std::shared_ptr<const node_view> view = node.coordination.view();
    const std::vector<replica_route>& routes = view->routes.replicas;
    const auto found = std::lower_bound(
        routes.begin(), routes.end(), chosen.id,
        [](const replica_route& route, const replica_id& id) { return route.id < id; });
    return found != routes.end() && found->id == chosen.id &&
           found->fencing_generation == chosen.fencing_generation &&
           may_use_route(monotonic_now(), *found) &&
           !node.backoffs.is_restrained(monotonic_now(), head_of(*found));
  };
}

attempt_outcome run_buffered(call_context& node, const model_attempt& attempt,
                             const replica_route& route, const cancel_token& cancel) {
  attempt_outcome end;
  end.first_token_at = time_point::min();
  const http_request request = make_request(attempt, route, 0);
  call_result result = node.client.fetch(address_of(route.address), request, attempt.deadline,
                                         cancel, permit_for(node, route));
  learn_from_response(node, attempt.id, head_of(route), result.response);
  if (!result.ok()) {
    set_transport_failure(result, end);
    return end;
  }
  if (result.response.status != status_ok) {
    end.body = std::move(result.response.body);
    set_error_status(result.response.status, end);
    return end;
  }
  if (!has_request_id(result.response.headers, attempt.id)) {
    end.reason = "the answer names another request";
    return end;
  }
  end.ran = execution::done;
  end.status = status_ok;
  end.body = std::move(result.response.body);
  if (const auto type = result.response.headers.find("content-type")) {
    end.content_type = std::string(*type);
  }
  return end;
}

// Parses the frames of one attempt and checks each before it is forwarded to the caller.
class frame_reader {
 public:
  frame_reader(const model_attempt& attempt, answer_stream& answer, const frame_sink& sink,
               attempt_outcome& end)
      : attempt_(attempt), answer_(answer), sink_(sink), end_(end) {}

  // Handles received bytes of the response. False if the attempt has to be aborted.
  bool on_bytes(std::string_view bytes) {
    splitter_.append(bytes);
    if (splitter_.overflowed()) {
      return give_up("a frame is too long");
    }
    bytes_since_token_ += bytes.size();
    if (bytes_since_token_ > max_bytes_without_token) {
      return give_up("bytes without a token");
    }
    while (const auto frame = splitter_.next()) {
      if (!on_frame(*frame)) {
        return false;
      }
    }
    return true;
  }

 private:
  bool give_up(std::string reason) {
    end_.reason = std::move(reason);
    return false;
  }

  bool on_frame(std::string_view text) {
    const engine_frame frame = parse_frame(text);
    switch (frame.kind) {
      case frame_kind::token:
        return on_token(frame, text);
      case frame_kind::finish:
        return on_finish(frame, text);
      case frame_kind::done:
      case frame_kind::other:
        return true;
      case frame_kind::malformed:
        break;
    }
    return give_up("malformed frame");
  }

  bool on_token(const engine_frame& frame, std::string_view text) {
    switch (answer_.accept(frame.id, frame.offset)) {
      case token_status::deliver:
        break;
      case token_status::duplicate:
      case token_status::after_end:
        return true;
      case token_status::gap:
        return give_up("a token is missing");
      case token_status::wrong_id:
        return give_up("a token of another request");
    }
    bytes_since_token_ = 0;
    if (end_.first_token_at == time_point::min()) {
      end_.first_token_at = monotonic_now();
    }
    if (frame.completes_answer && !is_complete(frame.id, frame.offset + 1)) {
      return false;
    }
    return sink_(text) || give_up("caller gone");
  }

  bool on_finish(const engine_frame& frame, std::string_view text) {
    return is_complete(frame.id, frame.offset) && (sink_(text) || give_up("caller gone"));
  }

  bool is_complete(const request_id& id, std::uint64_t tokens) {
    return answer_.finish(id, tokens) == end_status::complete ||
           give_up("the finish does not match the tokens");
  }

  const model_attempt& attempt_;
  answer_stream& answer_;
  const frame_sink& sink_;
  attempt_outcome& end_;
  sse_splitter splitter_;
  std::size_t bytes_since_token_ = 0;  // received since a token was forwarded
};

attempt_outcome run_streamed(call_context& node, const model_attempt& attempt,
                             const replica_route& route, answer_stream& answer,
                             const frame_sink& sink, const cancel_token& cancel) {
  attempt_outcome end;
  end.first_token_at = time_point::min();
  answer.begin_attempt();
  const http_request request = make_request(attempt, route, answer.resume_offset());
  frame_reader reader(attempt, answer, sink, end);
  int status = 0;
  const auto on_headers = [&](int received, const http_headers& headers) {
    status = received;
    learn_from_response(node, attempt.id, head_of(route), {received, headers, {}});
    if (received == status_ok && !has_request_id(headers, attempt.id)) {
      end.reason = "the answer names another request";
      return false;
    }
    return true;
  };
  const auto on_chunk = [&](std::string_view bytes) {
    if (status == status_ok) {
      return reader.on_bytes(bytes);
    }
    end.body.append(bytes);
    if (end.body.size() > max_error_body_bytes) {
      end.reason = "the body of an error is too large";
      return false;
    }
    return true;
  };
  const call_result result =
      node.client.stream(address_of(route.address), request, attempt.deadline, on_headers, on_chunk,
                         cancel, permit_for(node, route));
  if (result.ok() && status != status_ok) {
    set_error_status(status, end);
  } else if (answer.complete()) {
    end.ran = execution::done;
    end.status = status_ok;
  } else if (!result.ok() && end.reason.empty()) {
    set_transport_failure(result, end);
  } else if (end.reason.empty()) {
    end.reason = "the stream ended without a finish";
  }
  return end;
}

}  // namespace

attempt_outcome run_attempt(call_context& node, const model_attempt& attempt,
                            const replica_route& route, answer_stream& answer,
                            const frame_sink& sink, const cancel_token& cancel) {
  const time_point started = monotonic_now();
  attempt_outcome end = attempt.stream ? run_streamed(node, attempt, route, answer, sink, cancel)
                                       : run_buffered(node, attempt, route, cancel);
  end.attempt_duration = monotonic_now() - started;
  return end;
}

}  // namespace arbutus
