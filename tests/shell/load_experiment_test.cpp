// Tests experiment files, the calls planned from them, and a short run of an experiment.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <cmath>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

#include "load/experiment.h"
#include "load/report.h"
#include "load/run.h"
#include "load/schedule.h"

namespace arbutus {
namespace {

using testing::HasSubstr;

const std::string small_fleet = R"(
name = "small"
seed = 3
[fleet]
data_centres = 1
nodes_per_data_centre = 1
vms_per_data_centre = 4
standbys_per_replica = 0
tokens_per_second = 1000
[workload]
seconds = 0.5
warm_up_seconds = 0
rate = 40
prompt_tokens = 40
answer_tokens = 8
bookings_per_second = 40
repeated = 1.0
[[workspace]]
name = "dispatch"
share = 4.0
[[workspace]]
name = "night-desk"
)";

experiment loaded(const std::string& text) {
  const experiment_result result = load_experiment(text, "e.toml");
  for (const finding& f : result.problems) {
    ADD_FAILURE() << f;
  }
  return result.value;
}

std::string problems_of(const std::string& text) {
  std::ostringstream out;
  for (const finding& f : load_experiment(text, "e.toml").problems) {
    out << f << '\n';
  }
  return out.str();
}

TEST(load_experiment, the_shipped_experiments_have_no_findings) {
  std::size_t count = 0;
  for (const auto& entry :
       std::filesystem::directory_iterator(std::string(ARBUTUS_SOURCE_DIR) + "/experiments")) {
    std::ifstream in(entry.path());
    std::ostringstream text;
    text << in.rdbuf();
    EXPECT_EQ(problems_of(text.str()), "") << entry.path();
    ++count;
  }
  EXPECT_GE(count, 7U);
}

TEST(load_experiment, every_error_is_reported_with_its_location) {
  const std::string text = problems_of(
      "name = \"x\"\n"
      "[workload]\n"
      "rate = -1\n"
      "secods = 3\n"
      "[[workspace]]\n"
      "name = \"a\"\n"
      "[[fault]]\n"
      "kind = \"kill_membr\"\n"
      "[[variant]]\n"
      "name = \"v\"\n"
      "workspace = \"b\"\n"
      "[[variant]]\n"
      "name = \"v\"\n");
  EXPECT_THAT(text, HasSubstr("e.toml:3:"));
  EXPECT_THAT(text, HasSubstr("e.toml:4:"));
  EXPECT_THAT(text, HasSubstr("e.toml:8:"));
  EXPECT_THAT(text, HasSubstr("did you mean \"kill_member\"?"));
  EXPECT_THAT(text, HasSubstr("no [[workspace]] is called \"b\""));
  EXPECT_THAT(text, HasSubstr("taken by another variant"));
}

// Faults and direct calls need stand-ins in this process. Without this check a run would appear to
// withstand faults that were never injected.
TEST(load_experiment, faults_on_existing_nodes_are_refused) {
  const std::string text = problems_of(
      "name = \"x\"\n[fleet]\nexisting_nodes = [\"10.0.0.1:80\"]\n[workload]\n"
      "[[workspace]]\nname = \"a\"\n[[fault]]\nkind = \"table_down\"\n"
      "[[variant]]\nname = \"v\"\ntarget = \"direct\"\n");
  EXPECT_THAT(text, HasSubstr("to set faults of"));
  EXPECT_THAT(text, HasSubstr("to call directly"));
}

TEST(load_schedule, arrivals_follow_the_seed_the_rate_and_the_weights) {
  experiment e = loaded(small_fleet);
  e.work.length = 100s;
  e.work.bookings_per_second = 0;
  const auto calls = plan_calls(e.work, e.variants.front(), 3);
  const auto same = plan_calls(e.work, e.variants.front(), 3);
  const auto other = plan_calls(e.work, e.variants.front(), 4);
  ASSERT_EQ(calls.size(), same.size());
  EXPECT_EQ(calls.back().prompt, same.back().prompt);
  EXPECT_NE(calls.back().prompt, other.back().prompt);
  EXPECT_NEAR(static_cast<double>(calls.size()), 4000, 5 * std::sqrt(4000));
  std::map<std::uint32_t, double> by_workspace;
  std::map<std::string, int> prompts;
  for (std::size_t i = 0; i < calls.size(); ++i) {
    by_workspace[calls[i].workspace] += 1;
    EXPECT_EQ(++prompts[calls[i].prompt], 1);
    EXPECT_TRUE(i == 0 || calls[i - 1].at <= calls[i].at);
  }
  EXPECT_NEAR(by_workspace[0] / by_workspace[1], 4, 0.5);
}

TEST(load_schedule, scaling_one_workspace_keeps_the_rate_of_the_others) {
  experiment e = loaded(small_fleet);
  e.work.length = 100s;
  e.work.bookings_per_second = 0;
  variant more = e.variants.front();
  more.scaled_workspace = "dispatch";
  more.workspace_factor = 5;
  std::size_t small_before = 0;
  std::size_t small_after = 0;
  for (const planned_call& call : plan_calls(e.work, e.variants.front(), 3)) {
    small_before += call.workspace == 1 ? 1 : 0;
  }
  for (const planned_call& call : plan_calls(e.work, more, 3)) {
    small_after += call.workspace == 1 ? 1 : 0;
  }
  EXPECT_NEAR(static_cast<double>(small_after), static_cast<double>(small_before), 150);
}

TEST(load_schedule, repeated_bookings_carry_the_key_of_the_first) {
  const experiment e = loaded(small_fleet);
  std::map<std::string, int> keys;
  for (const planned_call& call : plan_calls(e.work, e.variants.front(), 3)) {
    if (call.kind == call_kind::booking) {
      ++keys[call.prompt];
    }
  }
  EXPECT_FALSE(keys.empty());
  for (const auto& [key, count] : keys) {
    EXPECT_EQ(count, 2) << key;
  }
}

// Guards against a checker that compares the wrong things and reports that all guarantees hold
// while callers receive wrong answers: with a safeguard disabled it has to report violations.
TEST(load_run, nodes_keep_the_guarantees_and_disabled_safeguards_are_detected) {
  const experiment e = loaded(small_fleet +
                              "[[variant]]\nname = \"node\"\n"
                              "[[variant]]\nname = \"crossed\"\ncheck_self = \"crossed\"\n"
                              "[[variant]]\nname = \"repeated\"\ncheck_self = \"repeated\"\n");
  const experiment_report report = run_experiment(e, {});
  ASSERT_EQ(report.variants.size(), 3U);
  const variant_result& node = report.variants[0];
  EXPECT_TRUE(node.passed());
  EXPECT_EQ(node.violations(), 0U);
  EXPECT_GT(node.sum().of(caller_outcome::complete), 10U);
  EXPECT_GT(node.bookings_checked, 0U);
  EXPECT_GT(report.variants[1]
                .violation_counts[static_cast<std::size_t>(guarantee::complete_means_correct)],
            0U);
  EXPECT_GT(report.variants[2].violation_counts[static_cast<std::size_t>(guarantee::at_most_once)],
            0U);
  EXPECT_TRUE(report.passed());
  EXPECT_THAT(json_report(report), HasSubstr("\"bookings_checked\""));
  const std::string page = html_report(report);
  EXPECT_THAT(page, HasSubstr("<svg"));
  EXPECT_THAT(page, HasSubstr("</html>"));
}

}  // namespace
}  // namespace arbutus
