// Forwards calls of services that are not models to instances of these services.
#include "node/service_call.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/hash.h"
#include "connection/clock.h"
#include "node/keyed_driver.h"
#include "request/retry.h"
#include "request/target_answer.h"

namespace arbutus {

namespace {

constexpr duration retry_after_failure = 500ms;
constexpr std::uint32_t max_attempts = 3;

// Whether a header of the caller is forwarded: not if it concerns only the caller's connection, or
// if only this node may set it.
bool is_forwarded_header(std::string_view name) {
  static constexpr std::string_view dropped[] = {
      "authorization", "connection",      "keep-alive", "proxy-authorization", "te",
      "upgrade",       "expect",          "host",       "x-workspace",         "x-request-id",
      "trailer",       "proxy-connection"};
  return !is_framing_field(name) &&
         std::none_of(std::begin(dropped), std::end(dropped),
                      [&](std::string_view d) { return equal_ignoring_case(d, name); });
}

std::string_view path_of(std::string_view target) {
  return target.substr(0, target.find('?'));
}

// "/crew" matches "/crew" and "/crew/1", not "/crewmen".
bool is_below(std::string_view path, std::string_view prefix) {
  if (!path.starts_with(prefix)) {
    return false;
  }
  return path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/';
}

bool has_dot_segment(std::string_view path) {
  return path.find("/../") != std::string_view::npos || path.ends_with("/..") ||
         path.find("/./") != std::string_view::npos || path.ends_with("/.") ||
         path.find("%2e") != std::string_view::npos || path.find("%2E") != std::string_view::npos ||
         path.find("%2f") != std::string_view::npos || path.find("%2F") != std::string_view::npos;
}

bool is_idempotent(const service_rule& service, std::string_view method, std::string_view path) {
  const auto covers = [&](const service_rule::idempotent_call& call) {
    return call.method == method && is_below(path, call.path_prefix);
  };
  return std::any_of(service.idempotent_calls.begin(), service.idempotent_calls.end(), covers);
}

call_error make_error(int status, std::string code, std::string message) {
  call_error error;
  error.status = status;
  error.code = std::move(code);
  error.message = std::move(message);
  return error;
}

class service_call {
 public:
  service_call(call_context& node, const http_request& request, response_writer& writer)
      : node_(node), request_(request), writer_(writer) {}

  void run() {
    if (const auto error = begin()) {
      finish_with_error(*error);
      return;
    }
    cancel_ = cancel_token::make();
    const open_calls::registration open(node_.stop.calls, [this] { cancel_.cancel(); });
    if (is_idempotent(*service_, request_.method, path_of(request_.target))) {
      writer_.on_caller_disconnect([this] { cancel_.cancel(); });
      run_repeatable();
    } else {
      run_keyed();
    }
  }

 private:
  std::optional<call_error> begin() {
    if (auto error = begin_call(node_, request_, call_)) {
      return error;
    }
    const std::string_view path = path_of(request_.target);
    service_ = find_service_by_path(call_.view->config->desired, path);
    if (service_ == nullptr || has_dot_segment(path)) {
      return make_error(404, "unknown_path", "no service has this path");
    }
    call_.measurements.target = service_->id.str();
    if (!service_->may_be_called_by(call_.workspace->id)) {
      return make_error(403, "service_not_allowed", "this workspace may not use the service");
    }
    return std::nullopt;
  }

  [[nodiscard]] std::vector<target_instance> all_instances() const {
    std::vector<target_instance> all;
    for (const service_target& target : call_.view->config->assets.services) {
      if (target.service == service_->id) {
        all.push_back(instance_at(target.address));
      }
    }
    return all;
  }

  // When the caller should retry if all instances back off or are leaving.
  [[nodiscard]] std::optional<duration> retry_after_restraint() const {
    return node_.backoffs.retry_after(monotonic_now(), all_instances(), retry_after_failure);
  }

  // The instances that may be sent calls now. Instances of this data centre first, then the others;
  // those with a recent failure last.
  [[nodiscard]] std::vector<endpoint> instances() const {
    struct ranked {
      int rank;
      std::uint64_t order;
      endpoint address;
    };
    std::vector<ranked> list;
    const time_point now = monotonic_now();
    for (const service_target& target : call_.view->config->assets.services) {
      if (target.service != service_->id ||
          node_.backoffs.is_restrained(now, instance_at(target.address))) {
        continue;
      }
      const int remote_penalty = target.data_centre == node_.data_centre ? 0 : 1;
      const int failure_penalty = node_.services.failed_recently(now, target.address) ? 2 : 0;
      list.push_back({remote_penalty + failure_penalty,
                      rendezvous_weight(call_.id.str(), to_string(target.address)),
                      target.address});
    }
    std::sort(list.begin(), list.end(), [](const ranked& a, const ranked& b) {
      return std::tie(a.rank, a.order) < std::tie(b.rank, b.order);
    });
    std::vector<endpoint> result;
    for (const ranked& r : list) {
      result.push_back(r.address);
    }
    return result;
  }

  [[nodiscard]] http_request outgoing() const {
    http_request out;
    out.method = request_.method;
    out.target = request_.target;
    out.body = request_.body;
    for (const auto& [name, value] : request_.headers) {
      if (is_forwarded_header(name)) {
        out.headers.add(name, value);
      }
    }
    out.headers.add("x-workspace", call_.workspace->id.str());
    out.headers.add("x-request-id", call_.id.str());
    return out;
  }

  // `use`: a pooled connection may close just as the request is written; then it is unknown whether
  // the request ran. So calls that may not be repeated use a fresh connection.
  call_result send_to(const endpoint& instance, const send_permit& permit, connection_use use) {
    ++call_.measurements.attempts;
    // Checked first: the permit of a keyed call counts the call as sent.
    const auto permit_unless_restrained = [&] {
      return !node_.backoffs.is_restrained(monotonic_now(), instance_at(instance)) &&
             (!permit || permit());
    };
    call_result result = node_.client.fetch(address_of(instance), outgoing(), call_.deadline,
                                            cancel_, permit_unless_restrained, use);
    learn_from_response(node_, call_.id, instance_at(instance), result.response);
    if (result.ok()) {
      node_.services.note_success(instance);
    } else if (result.failure != call_failure::cancelled &&
               result.failure != call_failure::not_permitted) {
      node_.services.note_failure(monotonic_now(), instance);
    }
    return result;
  }

  void run_repeatable() {
    const std::vector<endpoint> list = instances();
    execution worst = execution::not_run;
    std::string reason = "no instance is known";
    for (std::size_t i = 0; i < std::min<std::size_t>(list.size(), max_attempts); ++i) {
      const call_result result = send_to(list[i], {}, connection_use::pooled);
      if (result.ok()) {
        relay_response(result.response);
        return;
      }
      if (result.outcome == call_outcome::unknown) {
        worst = execution::unknown;
      }
      reason = std::string(result.reason());
      if (result.failure == call_failure::cancelled || monotonic_now() >= call_.deadline) {
        break;
      }
    }
    if (writer_.caller_disconnected()) {
      finish("caller_gone", "while running");
      return;
    }
    if (node_.stop.must_end_calls(monotonic_now())) {
      give_up(worst, "stopping", std::string(stopping_reason), retry_after_stopping);
      return;
    }
    give_up_without_answer(worst, "service_unavailable", reason, retry_after_failure);
  }

  // A call that did not run is refused until the first backoff ends if that is the reason.
  void give_up_without_answer(execution ran, std::string code, std::string message,
                              duration retry_after) {
    const auto wait = ran == execution::not_run ? retry_after_restraint() : std::nullopt;
    if (wait) {
      give_up(ran, "targets_back_off", "the instances asked for a backoff or are leaving", *wait);
    } else {
      give_up(ran, std::move(code), std::move(message), retry_after);
    }
  }

  void run_keyed() {
    keyed_call_facts facts;
    facts.workspace = call_.workspace->id;
    const auto key = request_.headers.find("idempotency-key");
    // A call without an idempotency key of the caller counts as different from every other call; it
    // also runs at most once.
    facts.key = idempotency_key{key ? std::string(*key) : call_.id.str()};
    facts.owner = {node_.self, node_.incarnation, call_.id};
    facts.body_hash = content_hash(request_.method + '\n' + request_.target + '\n' + request_.body);
    facts.deadline = call_.deadline;
    const auto send = [this](const send_permit& permit) { return send_once(permit); };
    const auto reply = [this](const keyed_reply& r) { answer(r); };
    drive_keyed_call(node_.platform, node_.stop, facts, send, reply);
  }

  // An instance that cannot be connected to has not received the call, so the next one is tried.
  // Once any byte may have been sent, no other instance is tried.
  call_result send_once(const send_permit& permit) {
    call_result result;
    result.outcome = call_outcome::not_sent;
    result.failure = call_failure::connect_failed;
    for (const endpoint& instance : instances()) {
      result = send_to(instance, permit, connection_use::fresh);
      const bool next = result.outcome == call_outcome::not_sent &&
                        (result.failure == call_failure::connect_failed ||
                         node_.backoffs.is_restrained(monotonic_now(), instance_at(instance)));
      if (!next) {
        break;
      }
    }
    return result;
  }

  void answer(const keyed_reply& reply) {
    using kind = keyed_reply::kind;
    switch (reply.what) {
      case kind::done:
        send_recorded(reply);
        return;
      case kind::not_run:
        give_up_without_answer(execution::not_run, "not_run", reply.reason, reply.retry_after);
        return;
      case kind::unknown:
        give_up(execution::unknown, "outcome_unknown", reply.reason, reply.retry_after);
        return;
      case kind::in_progress: {
        call_error error = make_error(409, "in_progress", "an equal call is running");
        error.ran = execution::unknown;
        error.retry_after = reply.retry_after;
        finish_with_error(error);
        return;
      }
      case kind::conflict:
        finish_with_error(
            make_error(422, "key_reused", "the idempotency key was used with another body"));
        return;
    }
  }

  // The service's answer to this call, or to an earlier one under its key.
  void send_recorded(const keyed_reply& reply) {
    const int status = static_cast<int>(reply.status);
    if (is_false_promise(answer_source::target, status, {.repeatable = false})) {
      replace_failure(status);
      return;
    }
    if (reply.body_dropped) {
      call_error error =
          make_error(409, "answer_not_kept", "the call ran; its answer was too large");
      error.ran = execution::done;
      finish_with_error(error);
      return;
    }
    http_response response;
    response.status = status;
    response.headers.add("content-type", reply.content_type);
    if (reply.replayed) {
      response.headers.add("idempotent-replayed", "true");
    }
    response.body = reply.body;
    relay_response(response);
  }

  void replace_failure(int status) {
    node_.call_metrics.count(current_worker(), "arbutusworks_failures_replaced",
                             "status=\"" + std::to_string(status) + "\"");
    give_up(execution::unknown, "target_failed",
            "the service answered " + std::to_string(status) +
                " without saying that it did not run the call",
            duration{});
  }

  void relay_response(const http_response& response) {
    http_headers headers;
    for (const auto& [name, value] : response.headers) {
      if (is_forwarded_header(name)) {
        headers.add(name, value);
      }
    }
    headers.add("x-request-id", call_.id.str());
    const bool reached = writer_.send(response.status, headers, response.body);
    finish(reached ? "done" : "caller_gone", {});
  }

  void give_up(execution ran, std::string code, std::string message,
               duration retry_after = retry_after_failure) {
    call_error error =
        make_error(ran == execution::unknown ? 502 : 503, std::move(code), std::move(message));
    error.ran = ran;
    error.retry_after = retry_after;
    finish_with_error(error);
  }

  void finish_with_error(const call_error& error) {
    send_error(writer_, error, call_.id);
    finish(std::string(to_string(error.ran)), error.code);
  }

  void finish(std::string result, std::string reason) {
    call_.measurements.result = std::move(result);
    call_.measurements.reason = std::move(reason);
    call_.measurements.call_duration = monotonic_now() - call_.arrival;
    node_.call_metrics.record(current_worker(), call_.measurements);
  }

  call_context& node_;
  const http_request& request_;
  response_writer& writer_;
  call_state call_;
  const service_rule* service_ = nullptr;
  cancel_token cancel_;
};

}  // namespace

const service_rule* find_service_by_path(const rules& desired, std::string_view path) {
  for (const service_rule& service : desired.services) {
    if (is_below(path, service.path_prefix)) {
      return &service;
    }
  }
  return nullptr;
}

void serve_service_call(call_context& node, const http_request& request, response_writer& writer) {
  service_call call(node, request, writer);
  call.run();
  writer.on_caller_disconnect({});
}

}  // namespace arbutus
