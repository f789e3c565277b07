// The `trial` subcommand: starts a fleet, sends requests, injects failures, and counts violated
// guarantees.
#include <algorithm>
#include <cmath>
#include <functional>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "cli/commands.h"
#include "cli/signals.h"
#include "cli/trial_callers.h"
#include "connection/clock.h"
#include "load/fleet.h"
#include "node/status_json.h"

namespace arbutus {

namespace {

constexpr duration step_timeout = 15s;
constexpr std::size_t callers_per_workspace = 8;
const service_id crew_service{"crew-api"};

// Prints the steps of the trial run with their times, and records whether any failed.
class trial_reporter {
 public:
  void print(const std::string& text) {
    std::cout << std::fixed << std::setprecision(2) << std::setw(6)
              << to_seconds(monotonic_now() - begun_) << " s  " << text << std::endl;
  }
  // Waits until `holds` returns true and prints how long that took; the step fails after
  // `step_timeout`.
  bool wait(const std::string& what, const std::function<bool()>& holds) {
    const time_point from = monotonic_now();
    while (!holds()) {
      if (monotonic_now() > from + step_timeout) {
        fail(what + ": not within " + std::to_string(static_cast<int>(to_seconds(step_timeout))) +
             " s");
        return false;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    std::ostringstream text;
    text << what << ": after " << std::fixed << std::setprecision(2)
         << to_seconds(monotonic_now() - from) << " s";
    print(text.str());
    return true;
  }
  void check(const std::string& guarantee, bool held) {
    if (held) {
      print("held: " + guarantee);
    } else {
      fail("BROKEN: " + guarantee);
    }
  }
  void fail(const std::string& text) {
    print(text);
    failed_ = true;
  }
  [[nodiscard]] bool failed() const { return failed_; }

 private:
  time_point begun_ = monotonic_now();
  bool failed_ = false;
};

double percentile(std::vector<double> values, double p) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto index = static_cast<std::size_t>(p * static_cast<double>(values.size() - 1));
  return values[index];
}

void print_results(const trial_load& load) {
  std::cout << "\nworkspace            whole  first token ms (p50 p95 p99)   whole answer ms (p50 "
               "p95 p99)\n";
  for (const auto& [name, r] : load.results()) {
    std::cout << std::left << std::setw(18) << name << std::right << std::setw(8)
              << r.counts.complete << std::setprecision(1);
    for (const double p : {0.5, 0.95, 0.99}) {
      std::cout << std::setw(10) << percentile(r.first_token_ms, p);
    }
    std::cout << "   ";
    for (const double p : {0.5, 0.95, 0.99}) {
      std::cout << std::setw(10) << percentile(r.total_ms, p);
    }
    std::cout << '\n';
  }
  std::cout << std::endl;
}

fleet_spec make_trial_fleet_spec() {
  fleet_spec fleet_config;
  fleet_config.workspaces = {{"sk-west-dispatch", "key-dispatch", 4.0},
                             {"crew-tablets", "key-tablets", 1.0},
                             {"night-desk", "key-night", 1.0}};
  fleet_config.classes = {{"interactive", 0, 20s, 5s}};
  standin::engine_settings& engine = fleet_config.standins.engine;
  engine.default_profile.batch.tokens_per_second = 400;
  engine.default_profile.batch.prefill_tokens_per_second = 20'000;
  engine.group_join_time = 150ms;
  engine.report_lag = 100ms;
  fleet_config.standins.vm_list_lag = 500ms;
  return fleet_config;
}

// Sends the same job card three times simultaneously, through two nodes, with one idempotency key.
void send_job_card(fleet& f, trial_reporter& s) {
  const std::string key = "card-4711";
  std::atomic<int> answered{0};
  const auto send = [&](std::size_t node) {
    http_request request;
    request.method = "POST";
    request.target = "/crew/job-cards";
    request.headers.add("authorization", "Bearer " + f.workspaces()[0].key);
    request.headers.add("idempotency-key", key);
    request.body = R"({"drain":"Hlavna 7","crew":3})";
    const call_result result =
        f.client().fetch(f.caller_address(node), request, monotonic_now() + 10s);
    answered += result.ok() ? 1 : 0;
  };
  std::vector<std::thread> senders;
  for (const std::size_t node : {0U, 2U, 2U}) {
    senders.emplace_back([&, node] { f.runtime().run_on(node % 3, [&] { send(node); }); });
  }
  for (std::thread& t : senders) {
    t.join();
  }
  s.check("a job card sent three times through two nodes ran once",
          f.standins().executions_of(crew_service, key) == 1 && answered == 3);
}

void kill_member(fleet& f, trial_reporter& s, std::size_t centre, const std::string& suffix) {
  const fleet::member lost = f.find_member(centre);
  if (lost.vm.empty()) {
    s.fail("no serving replica to take a member from");
    return;
  }
  s.print("killing " + lost.vm.str() + ", a member of " + lost.replica.str() + suffix);
  f.standins().kill_vm(lost.vm);
  s.wait("not routed to", [&] { return !f.is_routed_to(lost.node, lost.replica); });
  const bool repaired = s.wait("repaired and serving again", [&] {
    return f.routes_without_member(lost.node, lost.replica, lost.vm);
  });
  if (!repaired) {
    s.print("what the node knows: " + status_json(f.nodes()[lost.node]->status(), monotonic_now()));
  }
}

void stop_one_node(fleet& f, trial_load& load, trial_reporter& s) {
  const std::size_t index = f.nodes().size() - 1;
  s.print("stopping a node gracefully under load");
  load.exclude_node(index);
  const bool clean = f.nodes()[index]->stop();
  s.check("the stopped node cut off no request", clean);
}

void run_steps(fleet& f, trial_load& load, trial_reporter& s) {
  const std::uint64_t first = f.apply(4.0);
  s.check("the first configuration was accepted", first != 0);
  s.wait("configuration in force on all six nodes",
         [&] { return f.is_active_on_all_nodes(first); });
  s.wait("all replicas formed and serving on all nodes",
         [&] { return f.serving_replicas() >= f.desired_replicas(); });
  if (s.failed()) {
    return;
  }
  load.start(callers_per_workspace);
  s.print("callers of three workspaces send requests to all nodes, streamed and buffered");
  send_job_card(f, s);
  kill_member(f, s, 0, "");
  const std::uint64_t second = f.apply(2.0);
  s.check("a change of rules was accepted", second > first);
  s.wait("the change in force on all nodes", [&] { return f.is_active_on_all_nodes(second); });
  f.standins().table_outage(true);
  s.print("the platform's table is down");
  kill_member(f, s, 1, ", with the table down");
  f.standins().table_outage(false);
  s.print("the table is back");
  stop_one_node(f, load, s);
  load.stop();
}

void keep_fleet_running(fleet& f) {
  std::cout << "The fleet keeps running. In another terminal:\n\n  curl -N http://127.0.0.1:"
            << f.caller_address(0).port
            << "/v1/completions -H 'Authorization: Bearer key-dispatch' \\\n    -d "
               "'{\"model\":\"dispatch-llm\",\"prompt\":\"Flooded cellar\",\"max_tokens\":20,"
               "\"stream\":true}'\n\nCtrl-C ends it."
            << std::endl;
  wait_for_termination_signal();
}

}  // namespace

int run_trial(const trial_options& options, std::ostream& /*out*/) {
  if (options.keep_nodes_running) {
    block_termination_signals();
  }
  trial_reporter s;
  s.print("six nodes in three data centres, 21 target VMs, a platform and a plain service start");
  fleet f(make_trial_fleet_spec());
  trial_load load(f);
  run_steps(f, load, s);
  const trial_counts counts = load.sum();
  print_results(load);
  std::cout << "complete and correct answers " << counts.complete << ", refused and not run "
            << counts.not_run << ", may have run " << counts.unknown << ", silent "
            << counts.no_response << ", wrong " << counts.wrong << "\n\n";
  s.check("no answer was swapped, truncated or duplicated", counts.wrong == 0);
  s.check("every request got an answer", counts.no_response == 0);
  std::cout << (s.failed() ? "\nThe trial FAILED.\n" : "\nEvery promise held.\n");
  if (options.keep_nodes_running && !s.failed()) {
    keep_fleet_running(f);
  } else if (!s.failed()) {
    std::cout << "To keep the fleet running for your own calls: build/release/arbutusworks trial "
                 "--keep-up\n";
  }
  return s.failed() ? 1 : 0;
}

}  // namespace arbutus
