// Checks every answer of a load run against the guarantees of the system. It knows the one correct
// answer to each call, and compares reported outcomes with what the stand-ins executed.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/id.h"
#include "load/schedule.h"

namespace arbutus {

enum class guarantee {
  complete_means_correct,  // an answer marked complete is exactly the answer to the caller's
                           // request
  not_run,                 // a call reported as not run was not run
  at_most_once,  // a booking key runs at most once, and exactly once if any call reported it done
  every_call_answered,      // every call that was sent gets a response, if only an error
  stop_interrupts_nothing,  // a planned stop interrupts no request
};

inline constexpr std::array<std::string_view, 5> guarantee_names = {
    "own whole answer", "not run means not run", "at most once", "every call answered",
    "planned stop cuts nothing"};

// How a call ended, as its caller sees it.
enum class caller_outcome {
  complete,     // the answer is complete and correct
  wrong,        // the answer is marked complete but is not the correct one
  not_run,      // reported as not run
  unreached,    // no node or target could be connected to, so nothing was sent
  unknown,      // an error that says that the call may have run, or a visibly truncated answer
  no_response,  // the call was sent, but no HTTP status was received
};

inline constexpr std::array<std::string_view, 6> caller_outcome_names = {
    "whole", "wrong", "not_run", "unreached", "unknown", "silent"};

struct raw_answer {
  bool may_have_been_sent = true;  // whether any byte of the call may have been sent
  int status = 0;                  // HTTP status; 0: none received
  bool marked_complete = false;    // the stream's end mark or the complete body was received
  std::string text;                // text of the answer
  std::string error_type;          // of an error body or frame: "not_run", "unknown", ...
  std::string error_code;          // of an error body or frame: "too_late", "no_replica", ...
  request_id id;                   // request id that the node assigned
};

class guarantee_checker {
 public:
  guarantee_checker(const model_id& model, const service_id& service, std::string booking_path);

  // Classifies the answer to a call and records violations of the guarantees. Not thread-safe.
  caller_outcome check_answer(const planned_call& call, const raw_answer& answer);

  // After the load run: compares the outcomes reported to callers with the executions counted by
  // the stand-ins.
  template <class RunsOf, class ExecutionsOf>
  void check_executions(RunsOf runs_of, ExecutionsOf executions_of) {
    for (const request_id& id : not_run_) {
      check_not_run(id, runs_of(id));
    }
    for (const auto& [key, reported] : bookings_) {
      check_booking(key, reported, executions_of(key));
    }
  }

  void report_violation(guarantee which, std::string what);

  [[nodiscard]] std::uint64_t count(guarantee which) const {
    return counts_[static_cast<std::size_t>(which)];
  }
  [[nodiscard]] std::uint64_t violations() const;
  // Descriptions of the first few violations of guarantees.
  [[nodiscard]] const std::vector<std::string>& violation_examples() const {
    return violation_examples_;
  }
  // Number of calls reported as not run that were compared with the stand-ins' counts, which is
  // possible only if the request id is known.
  [[nodiscard]] std::uint64_t not_run_checked() const { return not_run_.size(); }
  [[nodiscard]] std::uint64_t bookings_checked() const { return bookings_.size(); }

  [[nodiscard]] static std::string booking_body(const std::string& key);

 private:
  // The outcomes reported to the callers of one idempotency key.
  struct booking_outcomes {
    std::uint32_t done{};
    std::uint32_t not_run{};
    std::uint32_t other{};
  };

  [[nodiscard]] std::string expected(const planned_call& call) const;
  [[nodiscard]] static caller_outcome classify_answer(const raw_answer& answer);
  void check_not_run(const request_id& id, std::uint32_t runs);
  void check_booking(const std::string& key, const booking_outcomes& reported,
                     std::uint32_t executions);

  model_id model_;
  service_id service_;
  std::string booking_path_;
  std::array<std::uint64_t, guarantee_names.size()> counts_{};
  std::vector<std::string> violation_examples_;
  std::vector<request_id> not_run_;
  std::map<std::string, booking_outcomes> bookings_;
};

}  // namespace arbutus
