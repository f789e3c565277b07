// Strikes against poison requests, and their quarantines.
#include "node/poison_watch.h"

#include <algorithm>

#include "connection/clock.h"
#include "node/log.h"
#include "node/reach_watch.h"

namespace arbutus {

namespace {

// A run whose first and last events are this far apart clears its request; far longer than
// strike_window.
constexpr duration harmless_run_duration = 1s;
// Also for the blocks of its prompt, of which several runs have to break off before they are
// suspected: a target whose connections outlive it for a moment does no harm.
constexpr duration harmless_block_duration = 2 * strike_window;
// A connection may break shortly before the target's process has exited.
constexpr duration process_exit_delay = 20ms;
constexpr duration end_query_timeout = 150ms;
constexpr std::uint32_t max_end_queries = 3;
constexpr duration end_query_interval = 250ms;
// How long the result of a query is used for further runs. All streams of a target break within
// some ms of its end; after a longer time it may have restarted under the same id.
constexpr duration end_check_retention = 1s;
constexpr duration evaluation_interval = 50ms;

std::string_view workspace_label(const request_fingerprint& fingerprint) {
  return fingerprint.workspace.empty() ? std::string_view("-") : fingerprint.workspace.str();
}

std::string list_of(const std::vector<target_id>& targets) {
  std::string text;
  for (const target_id& target : targets) {
    text += (text.empty() ? "" : ",") + target.str();
  }
  return text;
}

std::string hashes_of(const std::vector<request_fingerprint>& blocks) {
  constexpr std::size_t max_listed = 8;
  std::string text;
  for (std::size_t i = 0; i < std::min(blocks.size(), max_listed); ++i) {
    text += (text.empty() ? "" : ",") + hash_text(blocks[i]);
  }
  return text + (blocks.size() > max_listed ? ",..." : "");
}

std::string_view kind_label(const request_fingerprint& fingerprint) {
  return fingerprint.kind == fingerprint_kind::prompt_block ? "block" : "request";
}

// The call and the blocks of its prompt.
std::vector<request_fingerprint> suspects_of(const hosted_request& call) {
  std::vector<request_fingerprint> suspects = call.blocks;
  suspects.push_back(call.fingerprint);
  return suspects;
}

std::size_t strike_count(const hosted_state& node, const request_fingerprint& fingerprint) {
  const auto found = node.poison.tracker.all().find(fingerprint);
  return found == node.poison.tracker.all().end() ? 0 : found->second.strikes.size();
}

void record_strike(hosted_state& node, const broken_run& run) {
  const poison_strike strike{run.target, run.sent_at, run.broken_at, run.fingerprint.hash};
  const bool is_new = node.poison.tracker.record_strike(run.fingerprint, strike);
  for (const request_fingerprint& block : run.blocks) {
    node.poison.tracker.record_strike(block, strike);
  }
  node.metrics.count("arbutusworks_poison_evidence", is_new ? "counts=\"yes\"" : "counts=\"no\"");
  // The field is not named "request", so that the line is associated with all requests that have
  // this fingerprint, not only with the one that ran.
  log_line(log_level::info, "poison", "evidence",
           {{"run_of", run.request},
            {"print", hash_text(run.fingerprint)},
            {"workspace", workspace_label(run.fingerprint)},
            {"blocks", hashes_of(run.blocks)},
            {"target", run.target},
            {"ran_ms", to_milliseconds(run.broken_at - run.sent_at)},
            {"counts", is_new},
            {"marks", std::uint64_t{strike_count(node, run.fingerprint)}}});
}

// Finds out with a query whether the target has ended: its address refuses connections, or another
// incarnation answers there.
incarnation_state query_target(hosted_state& node, const target_id& target,
                               const endpoint& address) {
  const target_view* view = node.fleet.find(target);
  if (view == nullptr) {
    return incarnation_state::ended;
  }
  node.metrics.count("arbutusworks_questions", "why=\"broken\"");
  return node.engines.check_incarnation(target, address, monotonic_now() + end_query_timeout);
}

void finish_end_check(hosted_state& node, const target_id& target, incarnation_state state) {
  target_end_check& end = node.poison.end_checks[target];
  end.query_pending = false;
  end.target_ended = state == incarnation_state::ended;
  const std::vector<broken_run> runs = std::move(end.pending_runs);
  end.pending_runs.clear();
  if (end.target_ended) {
    for (const broken_run& run : runs) {
      record_strike(node, run);
    }
    return;
  }
  log_line(log_level::info, "poison", "no evidence",
           {{"target", target},
            {"runs", std::uint64_t{runs.size()}},
            {"reason",
             state == incarnation_state::alive ? "the target is alive" : "the target is silent"}});
  node.metrics.count("arbutusworks_poison_evidence", "counts=\"target_lives\"", runs.size());
}

void query_until_known(hosted_state& node, const target_id& target, const endpoint& address) {
  incarnation_state state = incarnation_state::unresponsive;
  for (std::uint32_t i = 0; i < max_end_queries && state == incarnation_state::unresponsive; ++i) {
    if (!sleep_until(monotonic_now() + (i == 0 ? process_exit_delay : end_query_interval))) {
      return;
    }
    state = query_target(node, target, address);
  }
  // A node whose own paths are cut sees every target refuse connections.
  if (state == incarnation_state::ended && !reaches_another_target(node, target)) {
    state = incarnation_state::unresponsive;
  }
  finish_end_check(node, target, state);
}

void log_quarantine(hosted_state& node, const request_fingerprint& fingerprint,
                    std::string_view reported_by, std::size_t events, double probability,
                    const std::vector<target_id>& targets) {
  node.metrics.count("arbutusworks_poison_verdicts",
                     "told_by=\"" + std::string(reported_by) + "\"");
  log_line(log_level::warning, "poison", "convicted",
           {{"print", hash_text(fingerprint)},
            {"kind", kind_label(fingerprint)},
            {"workspace", workspace_label(fingerprint)},
            {"told_by", reported_by},
            {"marks", std::uint64_t{targets.size()}},
            {"targets", list_of(targets)},
            {"events", std::uint64_t{events}},
            {"chance", probability}});
}

// Until when the call is held because of one of these; empty if it may go on.
std::optional<time_point> longest_wait(hosted_state& node, const hosted_request& call,
                                       const std::vector<request_fingerprint>& suspects) {
  const time_point now = monotonic_now();
  std::optional<time_point> longest;
  const request_fingerprint* cause = nullptr;
  for (const request_fingerprint& fingerprint : suspects) {
    const auto until = node.poison.tracker.held_until(now, fingerprint);
    if (until && (!longest || *until > *longest)) {
      longest = until;
      cause = &fingerprint;
    }
  }
  if (!longest || now >= call.deadline) {
    return std::nullopt;
  }
  node.metrics.count("arbutusworks_poison_held");
  log_line(log_level::info, "poison", "held",
           {{"request", call.fields.id},
            {"print", hash_text(*cause)},
            {"kind", kind_label(*cause)},
            {"marks", std::uint64_t{strike_count(node, *cause)}},
            {"for_ms", to_milliseconds(*longest - now)}});
  return longest;
}

bool is_end_check_pending(const hosted_state& node, const target_id& target) {
  const auto found = node.poison.end_checks.find(target);
  return found != node.poison.end_checks.end() && found->second.query_pending;
}

// A call that was cut off is not sent again before it is known whether its target has ended, if a
// block of its prompt is suspected already: the next target would end within milliseconds, too.
void await_end_check(hosted_state& node, const hosted_request& call) {
  const bool is_suspected = std::any_of(
      call.blocks.begin(), call.blocks.end(),
      [&node](const request_fingerprint& block) { return node.poison.tracker.has_strike(block); });
  while (is_suspected && is_end_check_pending(node, call.cut_off_by)) {
    constexpr duration interval = 10ms;
    if (!sleep_until(std::min(monotonic_now() + interval, call.deadline)) ||
        monotonic_now() >= call.deadline) {
      return;
    }
  }
}

}  // namespace

bool is_within_strike_window(time_point now, time_point first_event_at) {
  return first_event_at == time_point{} || now - first_event_at < strike_window;
}

bool has_proved_harmless(time_point first_event_at, time_point last_event_at) {
  return first_event_at != time_point{} && last_event_at - first_event_at > harmless_run_duration;
}

void check_for_strike(hosted_state& node, broken_run run) {
  node.poison.tracker.run_ended(run.broken_at, true);
  std::erase_if(node.poison.end_checks, [&](const auto& entry) {
    return !entry.second.query_pending &&
           run.broken_at - entry.second.queries_started_at > end_check_retention;
  });
  const target_id target = run.target;
  target_end_check& end = node.poison.end_checks[target];
  if (end.target_ended) {
    record_strike(node, run);
    return;
  }
  const endpoint address = run.address;
  end.pending_runs.push_back(std::move(run));
  if (end.query_pending) {
    return;
  }
  end.query_pending = true;
  end.queries_started_at = monotonic_now();
  node.runtime.post(0, [&node, target, address] { query_until_known(node, target, address); });
}

void mark_request_harmless(hosted_state& node, const hosted_request& call) {
  if (!node.poison.tracker.clear(monotonic_now(), call.fingerprint)) {
    return;
  }
  node.metrics.count("arbutusworks_poison_acquitted", "by=\"run\"");
  log_line(log_level::info, "poison", "acquitted",
           {{"request", call.fields.id},
            {"print", hash_text(call.fingerprint)},
            {"workspace", workspace_label(call.fingerprint)},
            {"reason", "a run of it did no harm"}});
}

void mark_blocks_harmless(hosted_state& node, const hosted_request& call, time_point first_event_at,
                          time_point last_event_at, bool complete) {
  const bool wrote = first_event_at != time_point{};
  if (!wrote || (!complete && last_event_at - first_event_at <= harmless_block_duration)) {
    return;
  }
  node.poison.tracker.run_ended(last_event_at, false);
  for (const request_fingerprint& block : call.blocks) {
    if (node.poison.tracker.clear(last_event_at, block)) {
      node.metrics.count("arbutusworks_poison_acquitted", "by=\"run\"");
      log_line(log_level::info, "poison", "acquitted",
               {{"request", call.fields.id},
                {"print", hash_text(block)},
                {"kind", kind_label(block)},
                {"reason", "a run with it did no harm"}});
    }
  }
}

bool await_poison_clearance(hosted_state& node, const hosted_request& call) {
  const std::vector<request_fingerprint> suspects = suspects_of(call);
  await_end_check(node, call);
  while (const auto wait = longest_wait(node, call, suspects)) {
    // The strikes are evaluated shortly after the wait.
    if (!sleep_until(std::min(*wait + 2 * evaluation_interval, call.deadline))) {
      break;
    }
  }
  const auto cause = std::find_if(suspects.begin(), suspects.end(),
                                  [&node](const request_fingerprint& fingerprint) {
                                    return node.poison.tracker.is_quarantined(fingerprint);
                                  });
  if (cause == suspects.end()) {
    return true;
  }
  node.metrics.count("arbutusworks_poison_refused");
  log_line(log_level::info, "poison", "refused",
           {{"request", call.fields.id},
            {"print", hash_text(*cause)},
            {"kind", kind_label(*cause)},
            {"workspace", workspace_label(*cause)},
            {"marks", std::uint64_t{strike_count(node, *cause)}}});
  return false;
}

duration retry_after_poison(const hosted_state& node, const hosted_request& call) {
  const time_point now = monotonic_now();
  duration longest{};
  for (const request_fingerprint& fingerprint : suspects_of(call)) {
    const auto left = node.poison.tracker.quarantine_remaining(now, fingerprint);
    longest = std::max(longest, left.value_or(0ms));
  }
  return longest;
}

void evaluate_poison(hosted_state& node, time_point now) {
  if (now - node.poison.last_evaluated_at < evaluation_interval) {
    return;
  }
  node.poison.last_evaluated_at = now;
  for (const quarantine_decision& v : node.poison.tracker.evaluate(now)) {
    log_quarantine(node, v.fingerprint, "evidence", v.events, v.probability, v.targets);
  }
}

void merge_poison_row(hosted_state& node, time_point now, const poison_row& row,
                      std::string_view reported_by) {
  const bool was = node.poison.tracker.is_quarantined(row.fingerprint);
  const bool quarantined = node.poison.tracker.merge_row(now, row);
  if (quarantined) {
    std::vector<target_id> targets;
    for (const poison_row::strike& m : row.strikes) {
      targets.push_back(m.target);
    }
    log_quarantine(node, row.fingerprint, reported_by, 0, 0, targets);
  } else if (was && !node.poison.tracker.is_quarantined(row.fingerprint)) {
    node.metrics.count("arbutusworks_poison_acquitted", "by=\"peer\"");
    log_line(log_level::info, "poison", "acquitted",
             {{"print", hash_text(row.fingerprint)},
              {"workspace", workspace_label(row.fingerprint)},
              {"reason", reported_by}});
  }
}

std::string poison_text(const hosted_state& node, time_point now) {
  std::string text;
  for (const auto& [fingerprint, entry] : node.poison.tracker.all()) {
    if (entry.strikes.empty() && !entry.quarantined_at) {
      continue;
    }
    const auto left = node.poison.tracker.quarantine_remaining(now, fingerprint);
    text += hash_text(fingerprint) + ' ' + std::string(kind_label(fingerprint)) + ' ' +
            std::string(workspace_label(fingerprint)) + ' ' +
            (left ? "refused for " + std::to_string(static_cast<std::int64_t>(to_seconds(*left))) +
                        " s, "
                  : "suspected, ");
    text += std::to_string(entry.strikes.size()) + " ended:";
    for (const poison_strike& m : entry.strikes) {
      text += ' ' + m.target.str();
    }
    text += '\n';
  }
  return text;
}

bool release_quarantine(hosted_state& node, time_point now, std::uint64_t hash) {
  std::vector<request_fingerprint> fingerprints;
  for (const auto& [fingerprint, entry] : node.poison.tracker.all()) {
    if (fingerprint.hash == hash) {
      fingerprints.push_back(fingerprint);
    }
  }
  bool any = false;
  for (const request_fingerprint& fingerprint : fingerprints) {
    any = node.poison.tracker.release(now, fingerprint) || any;
    node.metrics.count("arbutusworks_poison_acquitted", "by=\"operator\"");
    log_line(log_level::warning, "poison", "acquitted",
             {{"print", hash_text(fingerprint)},
              {"workspace", workspace_label(fingerprint)},
              {"reason", "lifted by an operator"}});
  }
  return any;
}

}  // namespace arbutus
