// Calls handed over to peers and by peers.
#include "node/hosted_relay.h"

#include <algorithm>

#include "connection/clock.h"
#include "node/hosted_call.h"
#include "node/log.h"
#include "node/peer_check.h"

namespace arbutus {

namespace {

constexpr int status_ok = 200;
constexpr int status_unavailable = 503;
// Maximum size of a peer's own answer; it holds a reason and some headers.
constexpr std::size_t max_own_answer_bytes = 64UL * 1024;

std::string_view decline_text(decline_reason reason) {
  switch (reason) {
    case decline_reason::cut_off:
      return "the peer reaches no target for it";
    case decline_reason::full:
      return "the peer has too many calls of others";
    case decline_reason::unfit:
      return "the peer does not serve it now";
  }
  return "?";
}

// One call on its way to a peer and back.
class relay_call {
 public:
  relay_call(hosted_state& node, hosted_request& call, const node_record& peer,
             const relay_sink& sink)
      : node_(node), call_(call), peer_(peer), sink_(sink) {
    answer_.held = held_bytes(&node.buffers);
  }

  relay_answer run(const std::optional<std::string>& resume_after, const cancel_token& cancel) {
    sent_at_ = monotonic_now();
    http_request request =
        make_relay_request(call_.raw_request, call_.deadline - sent_at_, resume_after);
    const std::uint64_t version = std::max(call_.map->version(), node_.relayed_version);
    request.headers.add(
        std::string(relay_header),
        to_text(relayed_call{node_.settings.id, call_.possible_runs + other_runs_, version}));
    ++call_.possible_sends;
    node_.relays.sent(sent_at_, peer_.id);
    const bool repeatable = call_.matched_route->repeatable();
    const call_result result = node_.relay_http.stream(
        {peer_.relay.host, peer_.relay.port}, request, call_.deadline,
        [this](int status, const http_headers& headers) { return on_headers(status, headers); },
        [this](std::string_view bytes) { return on_bytes(bytes); }, cancel,
        [this] { return is_key_usable(node_, call_); },
        repeatable ? connection_use::pooled : connection_use::fresh);
    node_.relays.ended(peer_.id);
    answer_.outcome = outcome_of(result);
    if (too_large_ || result.failure == call_failure::too_large) {
      count_oversized_answer(node_, "relayed");
      answer_.body.clear();
    }
    count_runs();
    return std::move(answer_);
  }

 private:
  bool on_headers(int status, const http_headers& headers) {
    node_.relays.heard(monotonic_now(), peer_.id);
    answer_.status = status;
    answer_.headers = headers;
    report_ = read_relay_report(headers.find(relay_header).value_or(std::string_view{}));
    if (!report_) {
      return false;
    }
    if (report_->result != relay_result::not_taken) {
      node_.relayed_version = std::max(node_.relayed_version, report_->version);
      node_.relays.taken(monotonic_now(), call_.service->id, peer_.id);
    }
    if (report_->result != relay_result::answered) {
      return true;
    }
    learn_from_target();
    is_streamed_ = sink_.on_headers && status == status_ok;
    return !is_streamed_ || sink_.on_headers(status, headers);
  }

  // What the target's answer says of the target binds this node, too.
  void learn_from_target() {
    const target_view* view = node_.fleet.find(report_->target);
    if (view != nullptr) {
      learn_from_response(node_, call_, sent_at_, {report_->target, view->record.address},
                          read_response_fields(answer_.status, answer_.headers, call_.fields.id));
    }
  }

  void learn_from_decline() {
    const relay_decline decline =
        read_relay_decline(answer_.headers.find(relay_decline_header).value_or(std::string_view{}));
    node_.relays.declined(monotonic_now(), call_.service->id, peer_.id, decline,
                          node_.peers.records());
    answer_.reason = decline_text(decline.reason);
  }

  // The sink notes when a stream's events show that the peer is alive.
  bool on_bytes(std::string_view bytes) {
    if (is_streamed_) {
      return sink_.on_events(bytes);
    }
    node_.relays.heard(monotonic_now(), peer_.id);
    const bool by_target = report_ && report_->result == relay_result::answered;
    const std::size_t limit =
        by_target ? relay_client_limits().max_body_bytes : max_own_answer_bytes;
    const std::size_t size = answer_.body.size() + bytes.size();
    too_large_ = size > limit || node_.buffers.is_over_share(size);
    if (!too_large_) {
      answer_.body.append(bytes);
      answer_.held.set(answer_.body.size());
    }
    return !too_large_;
  }

  relay_outcome outcome_of(const call_result& result) {
    if (result.outcome == call_outcome::not_sent) {
      if (result.failure == call_failure::connect_failed) {
        node_.relays.unresponsive(monotonic_now(), peer_.id);
      }
      answer_.reason = "the peer could not be reached";
      return relay_outcome::not_taken;
    }
    if (!result.ok() || !report_) {
      if (result.failure == call_failure::connection_lost) {
        node_.relays.unresponsive(monotonic_now(), peer_.id);
      }
      answer_.reason = "the peer gave no complete answer";
      return relay_outcome::broken;
    }
    if (report_->result == relay_result::not_taken) {
      learn_from_decline();
      return relay_outcome::not_taken;
    }
    return report_->result == relay_result::answered ? relay_outcome::answered
                                                     : relay_outcome::refused;
  }

  void count_runs() {
    if (answer_.outcome == relay_outcome::not_taken) {
      --call_.possible_sends;
    } else if (answer_.outcome == relay_outcome::broken) {
      ++call_.possible_runs;
    }
    // The peer counts the runs that were in progress here, too; they are counted when they end.
    if (report_) {
      const std::uint32_t reported = report_->possible_runs;
      call_.possible_runs =
          std::max(call_.possible_runs, reported - std::min(reported, other_runs_));
    }
  }

  hosted_state& node_;
  hosted_request& call_;
  const node_record& peer_;
  const relay_sink& sink_;
  time_point sent_at_{};
  std::uint32_t other_runs_ = 0;  // in progress at this node when the call was handed over
  std::optional<relay_report> report_;
  relay_answer answer_;
  bool is_streamed_ = false;
  bool too_large_ = false;
};

std::string_view to_string(relay_outcome outcome) {
  switch (outcome) {
    case relay_outcome::answered:
      return "answered";
    case relay_outcome::refused:
      return "refused";
    case relay_outcome::not_taken:
      return "not taken";
    case relay_outcome::broken:
      return "broken";
  }
  return "?";
}

// Calls of peers that this node takes over at a time: a stream takes about a thousandth of a core,
// and 40 percent are left to the node's own callers.
std::size_t max_taken_over(const hosted_state& node) {
  constexpr std::size_t min_calls = 16;
  constexpr std::size_t calls_at_unknown_strength = 150;
  const std::size_t permille = node.settings.strength.processor_permille;
  return permille == 0 ? calls_at_unknown_strength : std::max(min_calls, permille * 3 / 5);
}

// Counts a call for as long as this object lives.
class counted_call {
 public:
  explicit counted_call(std::size_t& count) : count_(count) { ++count_; }
  ~counted_call() { --count_; }
  counted_call(const counted_call&) = delete;
  counted_call& operator=(const counted_call&) = delete;
  counted_call(counted_call&&) = delete;
  counted_call& operator=(counted_call&&) = delete;

 private:
  std::size_t& count_;
};

// Answers a call that this node does not take over.
void decline(response_writer& writer, const hosted_request& call, decline_reason why,
             std::string_view reason) {
  local_response answer;
  answer.reason = std::string(reason);
  http_headers headers = local_response_headers(answer, call.fields.id);
  headers.add(std::string(relay_header),
              to_text(relay_report{relay_result::not_taken, call.possible_runs, 0, {}}));
  headers.add(std::string(relay_decline_header), to_text(relay_decline{why, {}}));
  writer.send(answer.status, headers, local_response_body(answer));
}

}  // namespace

target_id relay_attempt_id(const node_id& peer) {
  return target_id{"node:" + peer.str()};
}

std::optional<node_record> choose_relay_peer(hosted_state& node, const hosted_request& call) {
  if (call.relayed) {
    return std::nullopt;
  }
  const data_centre_id& home = node.settings.data_centre;
  const auto choose = [&](std::span<const node_record> nodes) {
    return node.relays.choose(monotonic_now(), call.service->id, nodes, home, call.tried_peers,
                              node.random);
  };
  if (!call.regions.is_restricted()) {
    return choose(node.peers.records());
  }
  std::vector<node_record> allowed;
  std::ranges::copy_if(
      node.peers.records(), std::back_inserter(allowed), [&](const node_record& peer) {
        return call.regions.allows_transfer(node.settings.regions, home, peer.data_centre);
      });
  return choose(allowed);
}

bool may_be_cut_off(hosted_state& node, const hosted_request& call) {
  const target_reach& reach = node.reach[call.service->id];
  return reach.is_cut_off() || reach.is_doubtful();
}

relay_answer hand_over(hosted_state& node, hosted_request& call, const node_record& peer,
                       const std::optional<std::string>& resume_after, const cancel_token& cancel,
                       const relay_sink& sink) {
  call.tried_peers.push_back(peer.id);
  call.tried_targets += (call.tried_targets.empty() ? "" : ",") + relay_attempt_id(peer.id).str();
  relay_answer answer = relay_call(node, call, peer, sink).run(resume_after, cancel);
  node.metrics.count("arbutusworks_handed_over",
                     "result=\"" + std::string(to_string(answer.outcome)) + "\"");
  if (call.writes_log_lines) {
    log_line(log_level::info, "request", "handed over",
             {{"request", call.fields.id},
              {"peer", peer.id},
              {"cut_off", node.reach[call.service->id].is_cut_off()},
              {"result", to_string(answer.outcome)},
              {"reason", answer.reason},
              {"status", answer.status},
              {"may_have_run", call.possible_runs}});
  }
  return answer;
}

void pass_on(hosted_state& node, hosted_request& call, const relay_answer& answer) {
  const bool by_target = answer.outcome == relay_outcome::answered;
  const answer_source source = by_target ? answer_source::target : answer_source::node;
  // Peers of earlier releases pass on each answer of a target.
  if (is_false_promise(source, answer.status, progress_of(call))) {
    if (by_target) {
      replace_failure(node, call, answer.status);
    } else {
      respond_locally(node, call, answer.status, {}, refused_by_peer_reason);
    }
    return;
  }
  const bool reached = call.writer.send(answer.status, caller_headers(answer.headers), answer.body);
  const bool done = by_target && answer.status < 500;
  finish_call(node, call,
              !reached                              ? "caller_gone"
              : done                                ? "done"
              : answer.status == status_unavailable ? "refused"
                                                    : "failed",
              done        ? ""
              : by_target ? "the target's own failure"
                          : refused_by_peer_reason,
              answer.status);
}

void serve_relayed_call(hosted_state& node, const http_request& request, response_writer& writer) {
  if (serve_peer_question(node, request, writer)) {
    return;
  }
  auto relayed = read_relayed_call(request.headers.find(relay_header).value_or(std::string_view{}));
  if (!relayed) {
    constexpr int bad_request = 400;
    log_line(log_level::warning, "reach", "unreadable call of a peer", {{"from", request.remote}});
    writer.send(bad_request, {}, "");
    return;
  }
  hosted_request call = begin_call(node, request, writer);
  call.relayed = *relayed;
  call.possible_runs = relayed->possible_runs;
  const bool busy = node.taken_over >= max_taken_over(node) || node.buffers.is_full();
  const bool is_current = node.map && node.map->version() >= relayed->version;
  const bool takes = !busy && is_current && !node.stopping;
  node.metrics.count("arbutusworks_taken_over", takes ? "taken=\"yes\"" : "taken=\"no\"");
  if (!takes) {
    if (busy) {
      decline(writer, call, decline_reason::full, "this node has too many calls of others");
    } else {
      decline(writer, call, decline_reason::unfit, "not served here now");
    }
    return;
  }
  if (call.writes_log_lines) {
    log_line(log_level::info, "request", "taken over",
             {{"request", call.fields.id},
              {"from", relayed->from},
              {"may_have_run", call.possible_runs},
              {"taken_over", std::uint64_t{node.taken_over}}});
  }
  const counted_call counted(node.taken_over);
  serve_begun_call(node, call);
}

}  // namespace arbutus
