// Callers of the trial: they know the one right answer to each of their requests, and count every
// answer that is not it.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "load/fleet.h"

namespace arbutus {

struct trial_counts {
  std::uint64_t whole{};    // complete and its own
  std::uint64_t wrong{};    // an answer that is not its own, or a cut one called whole
  std::uint64_t not_run{};  // refused, told so
  std::uint64_t unknown{};  // told that it may have run
  std::uint64_t silent{};   // connection ended without an answer
};

struct workspace_result {
  std::vector<double> first_token_ms;
  std::vector<double> total_ms;
  trial_counts counts;
};

class trial_load {
 public:
  explicit trial_load(fleet& f) : fleet_(f) {}

  // Callers of every workspace on every node, one request after the other, until stop().
  void start(std::size_t callers_per_workspace);
  void stop();  // waits for the requests in flight

  // One request through `node`; counts it.
  void call_once(std::size_t node, std::size_t workspace, std::uint64_t serial, bool stream);

  [[nodiscard]] std::map<std::string, workspace_result> results() const;
  [[nodiscard]] trial_counts sum() const;

  // Nodes that are stopping take no new callers from here, as a balancer would see to.
  void leave_out(std::size_t node) { left_out_ = node; }

 private:
  void caller(std::size_t workspace, std::size_t index);
  void record(const std::string& workspace, double first_ms, double total_ms);
  void count(const std::string& workspace, std::uint64_t trial_counts::*field);

  fleet& fleet_;
  std::atomic<bool> stopping_{false};
  std::atomic<std::size_t> running_{0};
  std::atomic<std::size_t> left_out_{static_cast<std::size_t>(-1)};
  mutable std::mutex lock_;  // guards results_
  std::map<std::string, workspace_result> results_;
};

}  // namespace arbutus
