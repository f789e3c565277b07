// Tests when a draining replica may be removed from the row: in each test one of the conditions
// does not hold.
#include "process/drain_tracker.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <set>

namespace arbutus {
namespace {

using namespace std::chrono_literals;

const replica_id r{"r"};
const vm_id a{"a"};
const node_id peer{"n1"};

class drain_tracking : public ::testing::Test {
 protected:
  drain_tracking() {
    row_.version = 6;
    replica_plan p;
    p.id = r;
    p.phase = replica_phase::draining;
    p.members = {a};
    row_.replicas = {p};
    tracker_.rebase(row_);
    report(0, engine_state::draining, now_);
  }
  void report(std::uint32_t running, engine_state state, time_point at) {
    seen_.report.vm = a;
    seen_.report.replica = r;
    seen_.report.state = state;
    seen_.report.running = running;
    seen_.at = at;
  }
  bool empty() {
    const drain_context context{
        .row = row_,
        .min_acknowledged_version = acknowledged_,
        .nodes = {peer},
        .acknowledged_version_of = [this](const node_id&) { return acknowledged_; },
        .node_has_requests = [this](const node_id&, const replica_id&) { return busy_; },
        .composition_in_force = planned_composition,
        .latest_observation_of = [this](const vm_id&) { return &seen_; },
        .is_lost = [this](const vm_id&) { return lost_; },
    };
    return tracker_.removable_replicas(now_, context).contains(r);
  }

  assignment row_;
  drain_tracker tracker_;
  observation seen_;
  std::uint64_t acknowledged_ = 6;
  bool busy_ = false;
  bool lost_ = false;
  time_point now_{1s};
};

TEST_F(drain_tracking, empty_when_all_conditions_hold) {
  EXPECT_TRUE(empty());
}

TEST_F(drain_tracking, every_node_has_to_acknowledge) {
  acknowledged_ = 5;
  EXPECT_FALSE(empty());
}

TEST_F(drain_tracking, every_node_has_to_finish_its_requests) {
  busy_ = true;
  EXPECT_FALSE(empty());
}

TEST_F(drain_tracking, the_engine_has_to_be_empty) {
  report(1, engine_state::draining, now_);
  EXPECT_FALSE(empty());
}

TEST_F(drain_tracking, the_engine_has_to_refuse_new_work) {
  report(0, engine_state::ready, now_);
  EXPECT_FALSE(empty());
}

// Guards against cutting off a request that was in transit when the drain began: the engine reports
// itself empty, the request arrives, then the last node acknowledges. A report older than the
// acknowledgements does not count.
TEST_F(drain_tracking, the_report_has_to_be_newer_than_the_acknowledgements) {
  report(0, engine_state::draining, now_ - 1ms);
  EXPECT_FALSE(empty());
  report(0, engine_state::draining, now_ + 1ms);
  EXPECT_TRUE(empty());
}

TEST_F(drain_tracking, a_lost_member_runs_nothing) {
  report(3, engine_state::ready, now_);
  lost_ = true;
  EXPECT_TRUE(empty());
}

TEST_F(drain_tracking, status_lists_the_nodes_waited_for) {
  acknowledged_ = 5;
  const drain_context context{
      .row = row_,
      .min_acknowledged_version = 5,
      .nodes = {peer},
      .acknowledged_version_of = [](const node_id&) { return 5U; },
      .node_has_requests = [](const node_id&, const replica_id&) { return false; },
      .composition_in_force = planned_composition,
      .latest_observation_of = [this](const vm_id&) { return &seen_; },
      .is_lost = [](const vm_id&) { return false; }};
  const auto status = tracker_.status(context);
  ASSERT_EQ(status.size(), 1U);
  EXPECT_THAT(status.front().waiting_for, ::testing::ElementsAre(peer));
}

}  // namespace
}  // namespace arbutus
