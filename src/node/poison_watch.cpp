// Strikes against poison requests, and their quarantines.
#include "node/poison_watch.h"

#include <algorithm>

#include "connection/clock.h"
#include "node/log.h"

namespace arbutus {

namespace {

// A run with events over this time clears its request; far longer than strike_window.
constexpr duration shown_harmless_after = 1s;
// A connection may break shortly before the target's process has exited.
constexpr duration end_delay = 20ms;
constexpr duration question_timeout = 150ms;
constexpr std::uint32_t most_questions = 3;
constexpr duration question_interval = 250ms;
// How long the result of a query is used for further runs. All streams of a target break within
// some ms of its end; after a longer time it may have restarted under the same id.
constexpr duration ends_remembered = 1s;
constexpr duration judge_interval = 50ms;

std::string_view name_of(const request_print& print) {
  return print.workspace.empty() ? std::string_view("-") : print.workspace.str();
}

std::string list_of(const std::vector<target_id>& targets) {
  std::string text;
  for (const target_id& target : targets) {
    text += (text.empty() ? "" : ",") + target.str();
  }
  return text;
}

std::size_t marks_of(const hosted_state& node, const request_print& print) {
  const auto found = node.poison.ledger.all().find(print);
  return found == node.poison.ledger.all().end() ? 0 : found->second.strikes.size();
}

void note_evidence(hosted_state& node, const broken_run& run) {
  const bool is_new =
      node.poison.ledger.strike(run.print, {run.target, run.sent_at, run.broken_at});
  node.metrics.count("arbutusworks_poison_evidence", is_new ? "counts=\"yes\"" : "counts=\"no\"");
  // The field is not named "request", so that the line is associated with all requests that have
  // this fingerprint, not only with the one that ran.
  log_line(log_level::info, "poison", "evidence",
           {{"run_of", run.request},
            {"print", hash_text(run.print)},
            {"workspace", name_of(run.print)},
            {"target", run.target},
            {"ran_ms", to_milliseconds(run.broken_at - run.sent_at)},
            {"counts", is_new},
            {"marks", std::uint64_t{marks_of(node, run.print)}}});
}

// Queries whether the target has ended: its address refuses connections, or another incarnation
// answers there.
life_sign ask(hosted_state& node, const target_id& target, const endpoint& address) {
  const target_view* view = node.fleet.find(target);
  if (view == nullptr) {
    return life_sign::ended;
  }
  node.metrics.count("arbutusworks_questions", "why=\"broken\"");
  return node.engines.look(target, address, monotonic_now() + question_timeout);
}

void tell_end(hosted_state& node, const target_id& target, life_sign sign) {
  target_end& end = node.poison.ends[target];
  end.asking = false;
  end.ended = sign == life_sign::ended;
  const std::vector<broken_run> runs = std::move(end.waiting);
  end.waiting.clear();
  if (end.ended) {
    for (const broken_run& run : runs) {
      note_evidence(node, run);
    }
    return;
  }
  log_line(log_level::info, "poison", "no evidence",
           {{"target", target},
            {"runs", std::uint64_t{runs.size()}},
            {"reason", sign == life_sign::lives ? "the target is alive" : "the target is silent"}});
  node.metrics.count("arbutusworks_poison_evidence", "counts=\"target_lives\"", runs.size());
}

void ask_until_known(hosted_state& node, const target_id& target, const endpoint& address) {
  life_sign sign = life_sign::silent;
  for (std::uint32_t i = 0; i < most_questions && sign == life_sign::silent; ++i) {
    if (!sleep_until(monotonic_now() + (i == 0 ? end_delay : question_interval))) {
      return;
    }
    sign = ask(node, target, address);
  }
  tell_end(node, target, sign);
}

void tell_verdict(hosted_state& node, const request_print& print, std::string_view told_by,
                  std::size_t events, double probability, const std::vector<target_id>& targets) {
  node.metrics.count("arbutusworks_poison_verdicts", "told_by=\"" + std::string(told_by) + "\"");
  log_line(log_level::warning, "poison", "convicted",
           {{"print", hash_text(print)},
            {"workspace", name_of(print)},
            {"told_by", told_by},
            {"marks", std::uint64_t{targets.size()}},
            {"targets", list_of(targets)},
            {"events", std::uint64_t{events}},
            {"chance", probability}});
}

}  // namespace

bool had_hardly_begun(time_point now, time_point first_event_at) {
  return first_event_at == time_point{} || now - first_event_at < strike_window;
}

bool has_gone_on(time_point first_event_at, time_point last_event_at) {
  return first_event_at != time_point{} && last_event_at - first_event_at > shown_harmless_after;
}

void look_into(hosted_state& node, broken_run run) {
  std::erase_if(node.poison.ends, [&](const auto& entry) {
    return !entry.second.asking && run.broken_at - entry.second.asked_at > ends_remembered;
  });
  const target_id target = run.target;
  target_end& end = node.poison.ends[target];
  if (end.ended) {
    note_evidence(node, run);
    return;
  }
  const endpoint address = run.address;
  end.waiting.push_back(std::move(run));
  if (end.asking) {
    return;
  }
  end.asking = true;
  end.asked_at = monotonic_now();
  node.runtime.post(0, [&node, target, address] { ask_until_known(node, target, address); });
}

void note_harmless(hosted_state& node, const hosted_request& call) {
  if (!node.poison.ledger.clear_request(monotonic_now(), call.print)) {
    return;
  }
  node.metrics.count("arbutusworks_poison_acquitted", "by=\"run\"");
  log_line(log_level::info, "poison", "acquitted",
           {{"request", call.head.id},
            {"print", hash_text(call.print)},
            {"workspace", name_of(call.print)},
            {"reason", "a run of it did no harm"}});
}

bool may_run(hosted_state& node, const hosted_request& call) {
  const poison_tracker& ledger = node.poison.ledger;
  for (;;) {
    const time_point now = monotonic_now();
    const auto until = ledger.held_until(now, call.print);
    if (!until || now >= call.deadline) {
      break;
    }
    node.metrics.count("arbutusworks_poison_held");
    log_line(log_level::info, "poison", "held",
             {{"request", call.head.id},
              {"print", hash_text(call.print)},
              {"marks", std::uint64_t{marks_of(node, call.print)}},
              {"for_ms", to_milliseconds(*until - now)}});
    // The evaluation runs shortly after that time.
    if (!sleep_until(std::min(*until + 2 * judge_interval, call.deadline))) {
      break;
    }
  }
  if (!ledger.is_quarantined(call.print)) {
    return true;
  }
  node.metrics.count("arbutusworks_poison_refused");
  log_line(log_level::info, "poison", "refused",
           {{"request", call.head.id},
            {"print", hash_text(call.print)},
            {"workspace", name_of(call.print)},
            {"marks", std::uint64_t{marks_of(node, call.print)}}});
  return false;
}

duration retry_after_poison(const hosted_state& node, const hosted_request& call) {
  return node.poison.ledger.quarantine_remaining(monotonic_now(), call.print).value_or(0ms);
}

void judge_poison(hosted_state& node, time_point now) {
  if (now - node.poison.judged_at < judge_interval) {
    return;
  }
  node.poison.judged_at = now;
  for (const quarantine_decision& v : node.poison.ledger.evaluate(now)) {
    tell_verdict(node, v.print, "evidence", v.events, v.probability, v.targets);
  }
}

void take_crash_row(hosted_state& node, time_point now, const poison_row& row,
                    std::string_view told_by) {
  const bool was = node.poison.ledger.is_quarantined(row.print);
  const bool quarantined = node.poison.ledger.merge_row(now, row);
  if (quarantined) {
    std::vector<target_id> targets;
    for (const poison_row::strike& m : row.strikes) {
      targets.push_back(m.target);
    }
    tell_verdict(node, row.print, told_by, 0, 0, targets);
  } else if (was && !node.poison.ledger.is_quarantined(row.print)) {
    node.metrics.count("arbutusworks_poison_acquitted", "by=\"peer\"");
    log_line(
        log_level::info, "poison", "acquitted",
        {{"print", hash_text(row.print)}, {"workspace", name_of(row.print)}, {"reason", told_by}});
  }
}

std::string poison_text(const hosted_state& node, time_point now) {
  std::string text;
  for (const auto& [print, entry] : node.poison.ledger.all()) {
    if (entry.strikes.empty() && !entry.quarantined_at) {
      continue;
    }
    const auto left = node.poison.ledger.quarantine_remaining(now, print);
    text += hash_text(print) + ' ' + std::string(name_of(print)) + ' ' +
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

bool lift_verdict(hosted_state& node, time_point now, std::uint64_t hash) {
  std::vector<request_print> prints;
  for (const auto& [print, entry] : node.poison.ledger.all()) {
    if (print.hash == hash) {
      prints.push_back(print);
    }
  }
  bool any = false;
  for (const request_print& print : prints) {
    any = node.poison.ledger.release(now, print) || any;
    node.metrics.count("arbutusworks_poison_acquitted", "by=\"operator\"");
    log_line(log_level::warning, "poison", "acquitted",
             {{"print", hash_text(print)},
              {"workspace", name_of(print)},
              {"reason", "lifted by an operator"}});
  }
  return any;
}

}  // namespace arbutus
