// Tests nodes whose targets fall silent for a second or so and then go on, over real sockets.
#include <array>
#include <atomic>

#include "hosted_fixture.h"

namespace arbutus::testing_support {
namespace {

using standin::path_state;
using std::chrono::milliseconds;

constexpr const char* stream_path = "/llm/1";
constexpr const char* call_path = "/card/1";
constexpr std::size_t streams = 12;  // of all nodes
constexpr std::size_t replicas = 6;  // of all engines
constexpr std::size_t cut_node = 0;
constexpr int max_runs = 2;
constexpr duration silence = 1s;
constexpr duration short_silence = 800ms;
constexpr duration time_between_silences = 3s;
constexpr duration change_interval = 400ms;
constexpr duration longest_pause_at_a_loss = 600ms;

// One node with paths of its own in each of two data centres; streams of 2 s.
standin::hosted_platform_settings silence_settings() {
  standin::hosted_platform_settings settings;
  settings.data_centres = {"lab-a", "lab-b"};
  settings.nodes_with_paths = settings.data_centres.size();
  settings.events_per_answer = 40;
  settings.event_gap = 50ms;
  settings.model_max_attempts = max_runs;
  return settings;
}

enum class silent_part : std::uint8_t { head, member, all_engines, paths_of_a_node };

std::string to_string(silent_part part) {
  switch (part) {
    case silent_part::head:
      return "head";
    case silent_part::member:
      return "member";
    case silent_part::all_engines:
      return "all_engines";
    case silent_part::paths_of_a_node:
      return "paths_of_a_node";
  }
  return {};
}

void PrintTo(silent_part part, std::ostream* out) {
  *out << to_string(part);
}

void pass(duration time) {
  std::this_thread::sleep_for(std::chrono::duration_cast<milliseconds>(time));
}

struct stream_result {
  call_result call;
  std::string body;
  time_point last_event_at{};
  duration longest_pause{};  // between two events
};

class HostedSilence : public hosted_fixture {
 protected:
  explicit HostedSilence(const standin::hosted_platform_settings& settings = silence_settings())
      : hosted_fixture(settings) {}
  ~HostedSilence() override { join_callers(); }

  static std::string id_of(std::size_t i) { return "s" + std::to_string(i); }

  void start_streams(const std::function<std::size_t(std::size_t)>& node_of) {
    for (std::size_t i = 0; i < streams; ++i) {
      callers_.emplace_back([this, i, node = node_of(i)] { receive_stream(i, node); });
    }
  }
  void start_streams() {
    start_streams([this](std::size_t i) { return i % nodes_.size(); });
  }

  // Starts the streams and waits until all have events on their way.
  bool run_streams() {
    start_streams();
    return all_run();
  }

  bool all_run() {
    return eventually([&] {
      return std::all_of(events_.begin(), events_.end(),
                         [](const auto& count) { return count > 0; });
    });
  }

  void join_callers() {
    for (std::thread& t : callers_) {
      t.join();
    }
    callers_.clear();
  }

  // The head that runs the first stream or, before it runs, the first node's warm-up request; or
  // the last member of that head's replica.
  [[nodiscard]] std::string choose_target(silent_part part) const {
    const std::string of_stream = platform_.engine_of_run(id_of(0));
    const std::string head = of_stream.empty() ? platform_.engine_of_run("warm-0") : of_stream;
    return part == silent_part::head ? head : platform_.last_member_beside(head);
  }

  void set_silent(silent_part part, const std::string& target, bool silent) {
    if (part == silent_part::paths_of_a_node) {
      platform_.set_paths(cut_node, silent ? path_state::silent : path_state::open);
    } else {
      platform_.set_silent(target, silent);
    }
  }

  void keep_silent(
      silent_part part, duration time, const std::function<void()>& meanwhile = [] {}) {
    const bool has_target = part == silent_part::head || part == silent_part::member;
    const std::string target = has_target ? choose_target(part) : "";
    set_silent(part, target, true);
    meanwhile();
    pass(time);
    set_silent(part, target, false);
  }

  void expect_whole_streams(int allowed_runs = max_runs) {
    join_callers();
    const std::map<std::string, int> runs = platform_.runs_by_request();
    for (std::size_t i = 0; i < streams; ++i) {
      const std::string id = id_of(i);
      const call_result& call = results_[i].call;
      EXPECT_EQ(call.response.status, 200) << id;
      EXPECT_TRUE(call.ok()) << id << " after " << events_[i]
                             << " events: " << to_string(call.failure) << ", " << call.detail;
      EXPECT_TRUE(results_[i].body == expected_stream(id)) << id << ", " << events_[i] << " events";
      EXPECT_TRUE(runs.contains(id) && runs.at(id) <= allowed_runs) << id;
    }
  }

  std::vector<stream_result> results_ = std::vector<stream_result>(streams);

 private:
  void receive_stream(std::size_t i, std::size_t node) {
    stream_result& result = results_[i];
    const socket_address at = local(nodes_[node]->settings.listen.caller_endpoint.port);
    runtime.run_on(0, [&] {
      result.call = client_.stream(
          at, make_request(stream_path, id_of(i)), monotonic_now() + 8s,
          [](int, const http_headers&) { return true; },
          [&](std::string_view bytes) {
            add_event(i, bytes);
            return true;
          });
    });
  }

  void add_event(std::size_t i, std::string_view bytes) {
    stream_result& result = results_[i];
    const time_point now = monotonic_now();
    if (events_[i]++ > 0) {
      result.longest_pause = std::max(result.longest_pause, now - result.last_event_at);
    }
    result.last_event_at = now;
    result.body += bytes;
  }

  std::array<std::atomic<int>, streams> events_{};
  std::vector<std::thread> callers_;
};

struct silence_case {
  silent_part part;
  duration time;
  bool before_first_event = false;
};

// Also the name of the test in CTest.
void PrintTo(const silence_case& c, std::ostream* out) {
  const auto time = std::chrono::duration_cast<milliseconds>(c.time);
  *out << to_string(c.part) << "_" << time.count() << "ms"
       << (c.before_first_event ? "_before_the_first_event" : "");
}

class HostedSilenceOf : public HostedSilence, public testing::WithParamInterface<silence_case> {};

// Guards against streams that are closed in the middle because a sound target was silent.
TEST_P(HostedSilenceOf, StreamsEndWhole) {
  ASSERT_TRUE(both_nodes_serve());
  const silence_case& c = GetParam();
  if (c.before_first_event) {
    keep_silent(c.part, c.time, [&] { start_streams(); });
  } else {
    ASSERT_TRUE(run_streams());
    keep_silent(c.part, c.time);
  }
  expect_whole_streams();
}

INSTANTIATE_TEST_SUITE_P(WithEventsOnTheirWay, HostedSilenceOf,
                         testing::Values(silence_case{silent_part::head, 500ms},
                                         silence_case{silent_part::head, 1s},
                                         silence_case{silent_part::head, 1500ms},
                                         silence_case{silent_part::member, 500ms},
                                         silence_case{silent_part::member, 1s},
                                         silence_case{silent_part::member, 1500ms},
                                         silence_case{silent_part::all_engines, 500ms},
                                         silence_case{silent_part::all_engines, 1s},
                                         silence_case{silent_part::all_engines, 1500ms},
                                         silence_case{silent_part::paths_of_a_node, 500ms},
                                         silence_case{silent_part::paths_of_a_node, 1s},
                                         silence_case{silent_part::paths_of_a_node, 1500ms}));
INSTANTIATE_TEST_SUITE_P(BeforeTheFirstEvent, HostedSilenceOf,
                         testing::Values(silence_case{silent_part::head, silence, true},
                                         silence_case{silent_part::member, silence, true},
                                         silence_case{silent_part::all_engines, silence, true},
                                         silence_case{silent_part::paths_of_a_node, silence,
                                                      true}));

// Guards against streams that end because the configuration changes while their targets are silent.
TEST_F(HostedSilence, StreamsEndWholeBesideChangesOfTheConfiguration) {
  ASSERT_TRUE(both_nodes_serve());
  ASSERT_TRUE(run_streams());
  std::atomic<bool> changing = true;
  std::thread changes([&] {
    while (changing) {
      platform_.write_next_configuration();
      pass(change_interval);
    }
  });
  keep_silent(silent_part::all_engines, silence);
  expect_whole_streams();
  changing = false;
  changes.join();
}

// Streams of 3.2 s, which two silences meet.
class HostedSilenceTwice : public HostedSilence, public testing::WithParamInterface<silent_part> {
 protected:
  HostedSilenceTwice() : HostedSilence(long_stream_settings()) {}

 private:
  static standin::hosted_platform_settings long_stream_settings() {
    standin::hosted_platform_settings settings = silence_settings();
    settings.event_gap = 80ms;
    return settings;
  }
};

// Guards against a first silence that uses up the attempts and retries that the second one needs.
TEST_P(HostedSilenceTwice, StreamsEndWhole) {
  ASSERT_TRUE(both_nodes_serve());
  ASSERT_TRUE(run_streams());
  const time_point first_at = monotonic_now();
  keep_silent(GetParam(), short_silence);
  ASSERT_TRUE(eventually([&] { return monotonic_now() >= first_at + time_between_silences; }));
  keep_silent(GetParam(), short_silence);
  expect_whole_streams();
}

INSTANTIATE_TEST_SUITE_P(Parts, HostedSilenceTwice,
                         testing::Values(silent_part::head, silent_part::member,
                                         silent_part::all_engines, silent_part::paths_of_a_node));

// Guards against a silent target whose replica is dissolved.
TEST_F(HostedSilence, NoEngineIsOrderedOutOfItsReplica) {
  ASSERT_TRUE(both_nodes_serve());
  ASSERT_TRUE(eventually([&] { return platform_.count_serving_replicas() == replicas; }));
  ASSERT_TRUE(run_streams());
  const int orders = platform_.leave_orders();
  keep_silent(silent_part::member, silence);
  EXPECT_EQ(platform_.count_serving_replicas(), replicas);
  join_callers();
  EXPECT_EQ(platform_.count_serving_replicas(), replicas);
  EXPECT_EQ(platform_.leave_orders(), orders);
}

// Guards against a stopping node that closes its streams because their targets are silent.
TEST_F(HostedSilence, StoppingNodeCompletesStreams) {
  ASSERT_TRUE(both_nodes_serve());
  start_streams([](std::size_t) { return 0; });
  ASSERT_TRUE(all_run());
  bool is_drained = false;
  std::thread stop;
  keep_silent(silent_part::all_engines, silence,
              [&] { stop = std::thread([&] { is_drained = nodes_[0]->node->stop(); }); });
  expect_whole_streams();
  stop.join();
  EXPECT_TRUE(is_drained);
}

class HostedSilenceOfAService : public HostedSilence, public testing::WithParamInterface<int> {};

// Guards against unsafe calls that end without their answer, or run twice, after a silence.
TEST_P(HostedSilenceOfAService, UnsafeCallsRunOnceAndAreAnswered) {
  ASSERT_TRUE(both_nodes_serve());
  platform_.set_silent(standin::plain_instance_id, true);
  std::vector<call_result> answers(nodes_.size());
  std::vector<std::thread> callers;
  for (std::size_t i = 0; i < answers.size(); ++i) {
    callers.emplace_back([&, i] { answers[i] = send_request(i, call_path, id_of(i)); });
  }
  pass(milliseconds(GetParam()));
  platform_.set_silent(standin::plain_instance_id, false);
  for (std::thread& t : callers) {
    t.join();
  }
  for (std::size_t i = 0; i < answers.size(); ++i) {
    EXPECT_EQ(answers[i].response.status, 200) << answers[i].response.body;
    EXPECT_EQ(answers[i].response.body, "card " + id_of(i));
    EXPECT_EQ(platform_.runs_by_request()[id_of(i)], 1);
  }
}

INSTANTIATE_TEST_SUITE_P(Milliseconds, HostedSilenceOfAService, testing::Values(500, 1000));

class HostedLossOf : public HostedSilence, public testing::WithParamInterface<silent_part> {};

// Guards against streams that wait for a dead engine as if it were only silent.
TEST_P(HostedLossOf, StreamsGoOnElsewhereSoon) {
  ASSERT_TRUE(both_nodes_serve());
  ASSERT_TRUE(run_streams());
  platform_.kill_engine(choose_target(GetParam()));
  expect_whole_streams();
  for (std::size_t i = 0; i < streams; ++i) {
    EXPECT_LE(results_[i].longest_pause, longest_pause_at_a_loss) << id_of(i);
  }
}

INSTANTIATE_TEST_SUITE_P(Engines, HostedLossOf,
                         testing::Values(silent_part::head, silent_part::member));

class HostedOnlyReplica : public HostedSilence {
 protected:
  HostedOnlyReplica() : HostedSilence(settings_of_one_replica()) {}

 private:
  static standin::hosted_platform_settings settings_of_one_replica() {
    standin::hosted_platform_settings settings = silence_settings();
    settings.data_centres = {"lab-a"};
    settings.nodes_with_paths = 1;
    settings.engines_per_data_centre = 3;
    return settings;
  }
};

// Guards against streams that are cut because no replica serves in the moment in which theirs
// breaks.
TEST_F(HostedOnlyReplica, StreamsWaitUntilItHasFormedAgain) {
  ASSERT_TRUE(eventually([&] { return platform_.count_serving_replicas() == 1; }));
  ASSERT_TRUE(eventually([&] { return send_request(0, "/llm/x", "w").response.status == 200; }));
  ASSERT_TRUE(run_streams());
  platform_.restart_engine(choose_target(silent_part::head));
  expect_whole_streams();
}

class HostedSilenceOfThreeRuns : public HostedSilence {
 protected:
  HostedSilenceOfThreeRuns() : HostedSilence(settings_of_three_runs()) {}
  static constexpr int allowed_runs = 3;

 private:
  static standin::hosted_platform_settings settings_of_three_runs() {
    standin::hosted_platform_settings settings = silence_settings();
    settings.model_max_attempts = allowed_runs;
    return settings;
  }
};

// Guards against streams that hang at the replica that has taken them over and then loses a member.
TEST_F(HostedSilenceOfThreeRuns, StreamsSurviveTheLossOfTheReplicaThatTookOver) {
  ASSERT_TRUE(both_nodes_serve());
  ASSERT_TRUE(run_streams());
  const std::string head = choose_target(silent_part::head);
  platform_.set_silent(head, true);
  ASSERT_TRUE(eventually([&] { return choose_target(silent_part::head) != head; }));
  pass(short_silence);
  platform_.kill_engine(choose_target(silent_part::member));
  pass(silence);
  platform_.set_silent(head, false);
  expect_whole_streams(allowed_runs);
  EXPECT_LE(results_[0].longest_pause, longest_pause_at_a_loss);
}

}  // namespace
}  // namespace arbutus::testing_support
