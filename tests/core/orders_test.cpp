// Tests of orders from nodes to targets: which are sent, by which node and how often.
#include "process/orders.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace arbutus {
namespace {

using namespace std::chrono_literals;
using ::testing::IsEmpty;
using ::testing::SizeIs;

const vm_id a{"a"};
const vm_id b{"b"};

assignment make_row() {
  assignment row;
  row.version = 9;
  replica_plan p;
  p.id = replica_id{"r"};
  p.model = model_id{"m"};
  p.members = {a};
  p.standbys = {b};
  p.fencing_generation = {.row = 8, .step = 0, .lost = 0};
  row.replicas = {p};
  return row;
}

engine_report report_of(const vm_id& vm, const char* replica, generation fencing_generation,
                        engine_state state) {
  engine_report r;
  r.vm = vm;
  r.incarnation = 5;
  r.replica = replica_id{replica};
  r.fencing_generation = fencing_generation;
  r.state = state;
  return r;
}

class order_dispatching : public ::testing::Test {
 protected:
  [[nodiscard]] std::map<vm_id, desired_state> desired() const {
    return desired_states(row_, planned_composition, reports_);
  }
  std::vector<order> tick(time_point now) {
    const auto states = desired();
    const order_context context{
        .desired = states,
        .rank = [this](const vm_id&) { return rank_; },
        .reachable = [this, now](const vm_id& vm) -> const observation* {
          seen_ = {reports_.at(vm), now - age_};
          return reachable_ ? &seen_ : nullptr;
        },
    };
    return dispatcher_.tick(now, context);
  }

  assignment row_ = make_row();
  std::map<vm_id, engine_report> reports_{{a, report_of(a, "", {}, engine_state::idle)}};
  std::size_t rank_ = 0;
  bool reachable_ = true;
  duration age_{};
  observation seen_;
  order_dispatcher dispatcher_{1};
  time_point now_{1s};
};

TEST_F(order_dispatching, forms_members_only) {
  reports_[b] = report_of(b, "", {}, engine_state::idle);
  const auto states = desired();
  ASSERT_THAT(states, SizeIs(1));
  EXPECT_EQ(states.at(a).kind, order_kind::form);
  EXPECT_EQ(states.at(a).target, planned_composition(row_.replicas.front()));
}

TEST_F(order_dispatching, sends_no_order_to_targets_that_comply) {
  for (const auto state : {engine_state::loading, engine_state::ready}) {
    reports_[a] = report_of(a, "r", {8, 0, 0}, state);
    EXPECT_THAT(desired(), IsEmpty());
  }
}

TEST_F(order_dispatching, releases_unassigned_targets) {
  reports_ = {{vm_id{"x"}, report_of(vm_id{"x"}, "gone", {4, 0, 0}, engine_state::ready)}};
  const auto states = desired();
  ASSERT_THAT(states, SizeIs(1));
  EXPECT_EQ(states.begin()->second.kind, order_kind::release);
  EXPECT_EQ(states.begin()->second.target.fencing_generation.row, row_.version);
}

TEST_F(order_dispatching, releases_a_member_that_was_replaced) {
  reports_ = {{b, report_of(b, "r", {7, 1, 1}, engine_state::ready)}};
  EXPECT_EQ(desired().at(b).kind, order_kind::release);
}

// Guards against a node that undoes orders of a newer row which it has not read yet: a target
// reports a generation newer than this node's row.
TEST_F(order_dispatching, ignores_targets_with_a_newer_generation) {
  reports_ = {{a, report_of(a, "r2", {10, 0, 0}, engine_state::loading)},
              {vm_id{"x"}, report_of(vm_id{"x"}, "r2", {10, 0, 0}, engine_state::loading)}};
  EXPECT_THAT(desired(), IsEmpty());
}

TEST_F(order_dispatching, orders_a_drain_until_the_target_drains) {
  row_.replicas.front().phase = replica_phase::draining;
  reports_[a] = report_of(a, "r", {8, 0, 0}, engine_state::ready);
  EXPECT_EQ(desired().at(a).kind, order_kind::drain);
  reports_[a].state = engine_state::draining;
  EXPECT_THAT(desired(), IsEmpty());
}

TEST_F(order_dispatching, sends_once_with_the_expected_incarnation) {
  const auto sent = tick(now_);
  ASSERT_THAT(sent, SizeIs(1));
  EXPECT_EQ(sent.front().expected_incarnation, 5U);
  EXPECT_THAT(tick(now_ + order_validity_period - 1ms), IsEmpty());
}

TEST_F(order_dispatching, others_wait_for_their_rank) {
  rank_ = 1;
  EXPECT_THAT(tick(now_), IsEmpty());
  EXPECT_EQ(dispatcher_.next_tick(), now_ + order_rank_delay);
  EXPECT_THAT(tick(now_ + order_rank_delay - 1ms), IsEmpty());
  EXPECT_THAT(tick(now_ + order_rank_delay), SizeIs(1));
}

TEST_F(order_dispatching, retries_after_a_pause_that_grows) {
  std::vector<time_point> times;
  for (duration d{}; d < 60s; d += 10ms) {
    if (const auto sent = tick(now_ + d); !sent.empty()) {
      times.push_back(now_ + d);
      (void)dispatcher_.on_result(now_ + d, order_result{sent.front(), refused{"old token"}});
    }
  }
  ASSERT_GT(times.size(), 5U);
  EXPECT_LE(times[1] - times[0], order_backoff_first + 10ms);
  EXPECT_GE(times.back() - times[times.size() - 2], order_backoff_max / 2);
  EXPECT_EQ(dispatcher_.counters().refused, times.size());
}

TEST_F(order_dispatching, lost_answer_is_tried_again_only_after_the_deadline) {
  ASSERT_THAT(tick(now_), SizeIs(1));
  EXPECT_THAT(tick(now_ + order_validity_period), IsEmpty()) << "backoff";
  EXPECT_THAT(tick(now_ + order_validity_period + order_backoff_first), SizeIs(1));
}

TEST_F(order_dispatching, sends_nothing_to_unreachable_targets) {
  reachable_ = false;
  EXPECT_THAT(tick(now_), IsEmpty());
  reachable_ = true;
  age_ = order_max_observation_age + 1ms;
  EXPECT_THAT(tick(now_), IsEmpty());
}

}  // namespace
}  // namespace arbutus
