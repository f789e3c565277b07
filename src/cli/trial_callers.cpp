// Callers of the `trial` subcommand: send requests and count the outcomes.
#include "cli/trial_callers.h"

#include <thread>

#include "connection/clock.h"
#include "load/caller.h"

namespace arbutus {

namespace {

constexpr std::uint32_t answer_tokens = 24;
constexpr duration call_timeout = 20s;

std::string prompt_of(std::size_t workspace, std::uint64_t serial) {
  return "Workspace " + std::to_string(workspace) +
         ": summarise the call, draft the crew brief and check the address notes. Caller " +
         std::to_string(serial);
}

}  // namespace

void trial_load::record(const std::string& workspace, double first_ms, double total_ms) {
  const std::lock_guard guard(lock_);
  workspace_result& result = results_[workspace];
  result.first_token_ms.push_back(first_ms);
  result.total_ms.push_back(total_ms);
  ++result.counts.complete;
}

void trial_load::count(const std::string& workspace, std::uint64_t trial_counts::*field) {
  const std::lock_guard guard(lock_);
  ++(results_[workspace].counts.*field);
}

void trial_load::call_once(std::size_t node, std::size_t workspace, std::uint64_t serial,
                           bool stream) {
  const fleet_workspace& who = fleet_.workspaces()[workspace];
  planned_call call;
  call.kind = stream ? call_kind::streamed : call_kind::buffered;
  call.workspace = static_cast<std::uint32_t>(workspace);
  call.prompt = prompt_of(workspace, serial);
  call.answer_tokens = answer_tokens;
  const time_point begun = monotonic_now();
  const timed_answer answer =
      make_call(fleet_.client(), {fleet_.caller_address(node), who.key, {}, {}},
                fleet_.fleet_config().model, {}, call, begun + call_timeout);
  guarantee_checker checker(fleet_.fleet_config().model, service_id{fleet_service_name}, {});
  switch (checker.check_answer(call, answer.raw)) {
    case caller_outcome::complete: {
      const time_point first = stream ? answer.first_token : answer.ended;
      record(who.name, to_milliseconds(first - begun), to_milliseconds(answer.ended - begun));
      return;
    }
    case caller_outcome::wrong:
      count(who.name, &trial_counts::wrong);
      return;
    case caller_outcome::not_run:
      count(who.name, &trial_counts::not_run);
      return;
    case caller_outcome::unknown:
      count(who.name, &trial_counts::unknown);
      return;
    // No node of the trial is killed, so a node that cannot be reached is counted like a call
    // without a response.
    case caller_outcome::unreached:
    case caller_outcome::no_response:
      count(who.name, &trial_counts::no_response);
      return;
  }
}

void trial_load::caller(std::size_t workspace, std::size_t index) {
  std::uint64_t serial = index * 1'000'000;
  while (!stopping_) {
    std::size_t target = (index + serial) % fleet_.nodes().size();
    if (target == excluded_node_) {
      target = (target + 1) % fleet_.nodes().size();
    }
    call_once(target, workspace, serial, serial % 2 == 0);
    ++serial;
  }
  --running_callers_;
}

void trial_load::start(std::size_t callers_per_workspace) {
  std::size_t index = 0;
  for (std::size_t w = 0; w < fleet_.workspaces().size(); ++w) {
    for (std::size_t i = 0; i < callers_per_workspace; ++i, ++index) {
      ++running_callers_;
      fleet_.runtime().post(index % fleet_.runtime().workers(),
                            [this, w, index] { caller(w, index); });
    }
  }
}

void trial_load::stop() {
  stopping_ = true;
  while (running_callers_ > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
}

std::map<std::string, workspace_result> trial_load::results() const {
  const std::lock_guard guard(lock_);
  return results_;
}

trial_counts trial_load::sum() const {
  trial_counts total;
  for (const auto& [name, result] : results()) {
    total.complete += result.counts.complete;
    total.wrong += result.counts.wrong;
    total.not_run += result.counts.not_run;
    total.unknown += result.counts.unknown;
    total.no_response += result.counts.no_response;
  }
  return total;
}

}  // namespace arbutus
