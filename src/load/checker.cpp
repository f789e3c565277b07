// Checks the answers and executions of a load run against the guarantees.
#include "load/checker.h"

#include <algorithm>
#include <numeric>

#include "standin/expected_answer.h"
#include "standin/service_standin.h"

namespace arbutus {

namespace {

constexpr std::size_t max_samples = 8;

// Describes how a wrong answer differs from the expected answer, for the report.
std::string difference(const std::string& expected, const std::string& got) {
  if (expected.starts_with(got)) {
    return "truncated after " + std::to_string(got.size()) + " of " +
           std::to_string(expected.size()) + " bytes, but sent as complete";
  }
  const auto at = std::mismatch(expected.begin(), expected.end(), got.begin(), got.end()).first;
  return "differs from the expected text from byte " + std::to_string(at - expected.begin()) +
         " on";
}

}  // namespace

guarantee_checker::guarantee_checker(const model_id& model, const service_id& service,
                                     std::string booking_path)
    : model_(model), service_(service), booking_path_(std::move(booking_path)) {}

std::string guarantee_checker::booking_body(const std::string& key) {
  return R"({"drain":")" + key + R"(","crew":3})";
}

std::string guarantee_checker::expected(const planned_call& call) const {
  if (call.kind == call_kind::booking) {
    return standin::service_standin::expected_body(
        service_,
        {"POST", booking_path_, idempotency_key{call.prompt}, {}, booking_body(call.prompt)});
  }
  return expected_answer(model_, call.prompt, call.answer_tokens);
}

caller_outcome guarantee_checker::classify_answer(const raw_answer& answer) {
  if (answer.marked_complete) {
    return caller_outcome::complete;
  }
  if (!answer.may_have_been_sent) {
    return caller_outcome::unreached;
  }
  if (answer.status == 0) {
    return caller_outcome::no_response;
  }
  const bool refused = answer.status != 200 && answer.error_type == "not_run";
  return refused ? caller_outcome::not_run : caller_outcome::unknown;
}

caller_outcome guarantee_checker::check_answer(const planned_call& call, const raw_answer& answer) {
  caller_outcome end = classify_answer(answer);
  if (end == caller_outcome::complete) {
    const std::string right = expected(call);
    if (answer.text != right) {
      end = caller_outcome::wrong;
      report_violation(guarantee::complete_means_correct,
                       "request " + answer.id.str() + ": " + difference(right, answer.text));
    }
  }
  if (end == caller_outcome::no_response) {
    report_violation(guarantee::every_call_answered,
                     "a call of workspace " + std::to_string(call.workspace) + " at " +
                         std::to_string(to_seconds(call.at)) + " s ended without any answer");
  }
  if (call.kind == call_kind::booking) {
    booking_outcomes& reported = bookings_[call.prompt];
    const bool did_not_run = end == caller_outcome::not_run || end == caller_outcome::unreached;
    ++(end == caller_outcome::complete ? reported.done
       : did_not_run                   ? reported.not_run
                                       : reported.other);
  } else if (end == caller_outcome::not_run && !answer.id.empty()) {
    not_run_.push_back(answer.id);
  }
  return end;
}

void guarantee_checker::check_not_run(const request_id& id, std::uint32_t runs) {
  if (runs > 0) {
    report_violation(guarantee::not_run, "request " + id.str() +
                                             " was reported as not run but was accepted " +
                                             std::to_string(runs) + " times");
  }
}

void guarantee_checker::check_booking(const std::string& key, const booking_outcomes& reported,
                                      std::uint32_t executions) {
  const std::string ran = key + " ran " + std::to_string(executions) + " times";
  if (executions > 1) {
    report_violation(guarantee::at_most_once, ran);
  } else if (reported.done > 0 && executions == 0) {
    report_violation(guarantee::at_most_once, ran + ", but was reported as done");
  } else if (reported.done == 0 && reported.other == 0 && executions > 0) {
    report_violation(guarantee::not_run, ran + ", but was reported to every caller as not run");
  }
}

void guarantee_checker::report_violation(guarantee which, std::string what) {
  ++counts_[static_cast<std::size_t>(which)];
  if (violation_examples_.size() < max_samples) {
    violation_examples_.push_back(std::string(guarantee_names[static_cast<std::size_t>(which)]) +
                                  ": " + std::move(what));
  }
}

std::uint64_t guarantee_checker::violations() const {
  return std::accumulate(counts_.begin(), counts_.end(), std::uint64_t{0});
}

}  // namespace arbutus
