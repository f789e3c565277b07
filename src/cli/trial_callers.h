// Callers of the `trial` subcommand. They know the one correct answer to each of their requests and
// count every other result.
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
  std::uint64_t complete{};  // answers that were complete and correct
  std::uint64_t wrong{};     // answers to another request, or truncated answers sent as complete
  std::uint64_t not_run{};   // requests reported as not run
  // Requests answered with an error that says that the request may have run.
  std::uint64_t unknown{};
  std::uint64_t no_response{};  // requests whose connection ended without an answer
};

struct workspace_result {
  std::vector<double> first_token_ms;
  std::vector<double> total_ms;
  trial_counts counts;
};

class trial_load {
 public:
  explicit trial_load(fleet& f) : fleet_(f) {}

  // Starts callers of every workspace at every node; each sends one request after the other until
  // stop().
  void start(std::size_t callers_per_workspace);
  void stop();  // starts no further requests and waits for those in flight

  // Sends one request through `node` and counts its outcome.
  void call_once(std::size_t node, std::size_t workspace, std::uint64_t serial, bool stream);

  [[nodiscard]] std::map<std::string, workspace_result> results() const;
  [[nodiscard]] trial_counts sum() const;

  // Sends no more requests to this node, as a load balancer would for a node that stops.
  void exclude_node(std::size_t node) { excluded_node_ = node; }

 private:
  void caller(std::size_t workspace, std::size_t index);
  void record(const std::string& workspace, double first_ms, double total_ms);
  void count(const std::string& workspace, std::uint64_t trial_counts::*field);

  fleet& fleet_;
  std::atomic<bool> stopping_{false};
  std::atomic<std::size_t> running_callers_{0};
  std::atomic<std::size_t> excluded_node_{static_cast<std::size_t>(-1)};
  mutable std::mutex lock_;  // guards results_
  std::map<std::string, workspace_result> results_;
};

}  // namespace arbutus
