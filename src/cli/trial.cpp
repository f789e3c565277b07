// The trial's story: a fleet comes up, requests are answered, things fail, promises are counted.
#include <algorithm>
#include <cmath>
#include <functional>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "cli/commands.h"
#include "cli/signals.h"
#include "cli/trial_fleet.h"
#include "cli/trial_load.h"
#include "connection/clock.h"
#include "node/status_json.h"

namespace arbutus {

namespace {

constexpr duration step_timeout = 15s;
constexpr std::size_t callers_per_workspace = 8;
const service_id crew_service{"crew-api"};

// A narrator that remembers whether all went well.
class story {
 public:
  void tell(const std::string& text) {
    std::cout << std::fixed << std::setprecision(2) << std::setw(6)
              << to_seconds(monotonic_now() - begun_) << " s  " << text << std::endl;
  }
  // Waits until `holds`; tells how long it took.
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
    tell(text.str());
    return true;
  }
  void check(const std::string& promise, bool held) {
    if (held) {
      tell("held: " + promise);
    } else {
      fail("BROKEN: " + promise);
    }
  }
  void fail(const std::string& text) {
    tell(text);
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
    std::cout << std::left << std::setw(18) << name << std::right << std::setw(8) << r.counts.whole
              << std::setprecision(1);
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

bool all_in_force(trial_fleet& fleet, std::uint64_t version) {
  const auto& nodes = fleet.nodes();
  return std::all_of(nodes.begin(), nodes.end(),
                     [&](const auto& n) { return n->config_version() >= version; });
}

std::size_t serving_replicas(trial_fleet& fleet) {
  std::size_t count = 0;
  for (std::size_t i = 0; i < fleet.nodes().size(); i += 2) {
    count +=
        std::min(fleet.nodes()[i]->routable_replicas(), fleet.nodes()[i + 1]->routable_replicas());
  }
  return count;
}

// The same job card, sent through two nodes at once and once more later.
void send_job_card(trial_fleet& fleet, story& s) {
  const std::string key = "card-4711";
  std::atomic<int> answered{0};
  const auto send = [&](std::size_t node) {
    http_request request;
    request.method = "POST";
    request.target = "/crew/job-cards";
    request.headers.add("authorization", "Bearer " + fleet.workspaces()[0].key);
    request.headers.add("idempotency-key", key);
    request.body = R"({"drain":"Hlavna 7","crew":3})";
    const call_result result =
        fleet.client().fetch(fleet.caller_address(node), request, monotonic_now() + 10s);
    answered += result.ok() ? 1 : 0;
  };
  std::vector<std::thread> senders;
  for (const std::size_t node : {0U, 2U, 2U}) {
    senders.emplace_back([&, node] { fleet.runtime().run_on(node % 3, [&] { send(node); }); });
  }
  for (std::thread& t : senders) {
    t.join();
  }
  s.check("a job card sent three times through two nodes ran once",
          fleet.standins().executions_of(crew_service, key) == 1 && answered == 3);
}

void kill_member(trial_fleet& fleet, story& s, std::size_t centre, const std::string& how) {
  const trial_fleet::member lost = fleet.find_member(centre);
  if (lost.vm.empty()) {
    s.fail("no serving replica to take a member from");
    return;
  }
  s.tell("killing " + lost.vm.str() + ", a member of " + lost.replica.str() + how);
  fleet.standins().kill_vm(lost.vm);
  s.wait("not routed to", [&] { return !fleet.is_routed_to(lost.node, lost.replica); });
  const bool repaired = s.wait("repaired and serving again", [&] {
    return fleet.serves_without(lost.node, lost.replica, lost.vm);
  });
  if (!repaired) {
    s.tell("what the node knows: " +
           status_json(fleet.nodes()[lost.node]->status(), monotonic_now()));
  }
}

void stop_one_node(trial_fleet& fleet, trial_load& load, story& s) {
  const std::size_t index = fleet.nodes().size() - 1;
  s.tell("stopping a node gracefully under load");
  load.leave_out(index);
  const bool clean = fleet.nodes()[index]->stop();
  s.check("the stopped node cut off no request", clean);
}

void tell_story(trial_fleet& fleet, trial_load& load, story& s) {
  const std::uint64_t first = fleet.apply(4.0);
  s.check("the first configuration was accepted", first != 0);
  s.wait("configuration in force on all six nodes", [&] { return all_in_force(fleet, first); });
  s.wait("all replicas formed and serving on all nodes",
         [&] { return serving_replicas(fleet) >= fleet.wanted_replicas(); });
  if (s.failed()) {
    return;
  }
  load.start(callers_per_workspace);
  s.tell("callers of three workspaces ask all nodes, streamed and not");
  send_job_card(fleet, s);
  kill_member(fleet, s, 0, "");
  const std::uint64_t second = fleet.apply(2.0);
  s.check("a change of rules was accepted", second > first);
  s.wait("the change in force on all nodes", [&] { return all_in_force(fleet, second); });
  fleet.standins().table_outage(true);
  s.tell("the platform's table is down");
  kill_member(fleet, s, 1, ", with the table down");
  fleet.standins().table_outage(false);
  s.tell("the table is back");
  stop_one_node(fleet, load, s);
  load.stop();
}

void stay_up(trial_fleet& fleet) {
  std::cout << "The fleet stays up. In another terminal:\n\n  curl -N http://127.0.0.1:"
            << fleet.caller_address(0).port
            << "/v1/completions -H 'Authorization: Bearer key-dispatch' \\\n    -d "
               "'{\"model\":\"dispatch-llm\",\"prompt\":\"Flooded cellar\",\"max_tokens\":20,"
               "\"stream\":true}'\n\nCtrl-C ends it."
            << std::endl;
  wait_for_end_signal();
}

}  // namespace

int run_trial(const trial_options& options, std::ostream& /*out*/) {
  if (options.keep_up) {
    block_end_signals();
  }
  story s;
  s.tell("six nodes in three data centres, 21 target VMs, a platform and a plain service start");
  trial_fleet fleet;
  trial_load load(fleet);
  tell_story(fleet, load, s);
  const trial_counts counts = load.sum();
  print_results(load);
  std::cout << "answers whole and their own " << counts.whole << ", refused and not run "
            << counts.not_run << ", may have run " << counts.unknown << ", silent " << counts.silent
            << ", wrong " << counts.wrong << "\n\n";
  s.check("no answer was crossed, cut or doubled", counts.wrong == 0);
  s.check("every request got an answer", counts.silent == 0);
  std::cout << (s.failed() ? "\nThe trial FAILED.\n" : "\nEvery promise held.\n");
  if (options.keep_up && !s.failed()) {
    stay_up(fleet);
  } else if (!s.failed()) {
    std::cout << "Keep it up for calls of your own: build/release/arbutusworks trial --keep-up\n";
  }
  return s.failed() ? 1 : 0;
}

}  // namespace arbutus
