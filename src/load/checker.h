// Holds every answer against what was promised. Knows the one right answer to each call, and what
// the stand-ins say they ran.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/id.h"
#include "load/schedule.h"

namespace arbutus {

enum class promise {
  own_answer,    // what is called whole is the caller's own answer, exactly
  not_run,       // what is called not run was not run
  at_most_once,  // a booking key runs once at most, and once when any call said it was done
  answered,      // every call gets an answer, if only that there is none
  clean_stop,    // a planned stop cuts off nothing
};

inline constexpr std::array<std::string_view, 5> promise_names = {
    "own whole answer", "not run means not run", "at most once", "every call answered",
    "planned stop cuts nothing"};

// How a call ended, as its caller was told.
enum class call_end {
  whole,      // and right
  wrong,      // called whole, and not the right answer
  not_run,    // told so
  unreached,  // no byte could be sent
  unknown,    // told that it may have run, or cut off in a way that shows
  silent,     // no status at all
};

inline constexpr std::array<std::string_view, 6> call_end_names = {
    "whole", "wrong", "not_run", "unreached", "unknown", "silent"};

struct raw_answer {
  bool reached = true;        // whether any byte of the call may have been sent
  int status = 0;             // 0: none came
  bool called_whole = false;  // an end mark, or a whole body
  std::string text;           // of the answer
  std::string error_type;     // of an error body or frame: "not_run", "unknown", ...
  std::string error_code;     // of an error body or frame: "too_late", "no_replica", ...
  request_id id;              // as the node named it
};

class promise_checker {
 public:
  promise_checker(const model_id& model, const service_id& service, std::string booking_path);

  // Records what the call shows. From one thread.
  call_end check_answer(const planned_call& call, const raw_answer& answer);

  // After the run: what the stand-ins count.
  template <class RunsOf, class ExecutionsOf>
  void check_executions(RunsOf runs_of, ExecutionsOf executions_of) {
    for (const request_id& id : not_run_) {
      check_not_run(id, runs_of(id));
    }
    for (const auto& [key, seen] : bookings_) {
      check_booking(key, seen, executions_of(key));
    }
  }

  void broken(promise which, std::string what);

  [[nodiscard]] std::uint64_t count(promise which) const {
    return counts_[static_cast<std::size_t>(which)];
  }
  [[nodiscard]] std::uint64_t violations() const;
  // The first few, for people.
  [[nodiscard]] const std::vector<std::string>& samples() const { return samples_; }
  // Calls told "not run" whose id could be looked up afterwards.
  [[nodiscard]] std::uint64_t not_run_checked() const { return not_run_.size(); }
  [[nodiscard]] std::uint64_t bookings_checked() const { return bookings_.size(); }

  [[nodiscard]] static std::string booking_body(const std::string& key);

 private:
  // What the callers of one idempotency key were told.
  struct booking_seen {
    std::uint32_t done{};
    std::uint32_t not_run{};
    std::uint32_t other{};
  };

  [[nodiscard]] std::string expected(const planned_call& call) const;
  [[nodiscard]] static call_end end_of(const raw_answer& answer);
  void check_not_run(const request_id& id, std::uint32_t runs);
  void check_booking(const std::string& key, const booking_seen& seen, std::uint32_t executions);

  model_id model_;
  service_id service_;
  std::string booking_path_;
  std::array<std::uint64_t, promise_names.size()> counts_{};
  std::vector<std::string> samples_;
  std::vector<request_id> not_run_;
  std::map<std::string, booking_seen> bookings_;
};

}  // namespace arbutus
