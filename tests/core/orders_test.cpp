// Tests of orders: which are sent, by which node and how often.
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
  p.gen = {.row = 8, .step = 0, .lost = 0};
  row.replicas = {p};
  return row;
}

engine_report report_of(const vm_id& vm, const char* replica, generation gen, engine_state state) {
  engine_report r;
  r.vm = vm;
  r.incarnation = 5;
  r.replica = replica_id{replica};
  r.gen = gen;
  r.state = state;
  return r;
}

class ordering : public ::testing::Test {
 protected:
  [[nodiscard]] std::map<vm_id, wanted_state> wanted() const {
    return wanted_states(row_, planned, reports_);
  }
  std::vector<order> tick(time_point now) {
    const auto states = wanted();
    const order_context context{
        .wanted = states,
        .rank = [this](const vm_id&) { return rank_; },
        .reachable = [this, now](const vm_id& vm) -> const observation* {
          seen_ = {reports_.at(vm), now - age_};
          return reachable_ ? &seen_ : nullptr;
        },
    };
    return book_.tick(now, context);
  }

  assignment row_ = make_row();
  std::map<vm_id, engine_report> reports_{{a, report_of(a, "", {}, engine_state::idle)}};
  std::size_t rank_ = 0;
  bool reachable_ = true;
  duration age_{};
  observation seen_;
  order_book book_{1};
  time_point now_{1s};
};

TEST_F(ordering, forms_members_only) {
  reports_[b] = report_of(b, "", {}, engine_state::idle);
  const auto states = wanted();
  ASSERT_THAT(states, SizeIs(1));
  EXPECT_EQ(states.at(a).kind, order_kind::form);
  EXPECT_EQ(states.at(a).target, planned(row_.replicas.front()));
}

TEST_F(ordering, wants_nothing_of_those_that_obey) {
  for (const auto state : {engine_state::loading, engine_state::ready}) {
    reports_[a] = report_of(a, "r", {8, 0, 0}, state);
    EXPECT_THAT(wanted(), IsEmpty());
  }
}

TEST_F(ordering, releases_who_belongs_to_nobody) {
  reports_ = {{vm_id{"x"}, report_of(vm_id{"x"}, "gone", {4, 0, 0}, engine_state::ready)}};
  const auto states = wanted();
  ASSERT_THAT(states, SizeIs(1));
  EXPECT_EQ(states.begin()->second.kind, order_kind::release);
  EXPECT_EQ(states.begin()->second.target.gen.row, row_.version);
}

TEST_F(ordering, releases_a_member_that_was_replaced) {
  reports_ = {{b, report_of(b, "r", {7, 1, 1}, engine_state::ready)}};
  EXPECT_EQ(wanted().at(b).kind, order_kind::release);
}

// Guards against a node that undoes orders of a newer row which it has not read yet: a target
// reports a generation newer than this node's row.
TEST_F(ordering, leaves_alone_what_obeys_something_newer) {
  reports_ = {{a, report_of(a, "r2", {10, 0, 0}, engine_state::loading)},
              {vm_id{"x"}, report_of(vm_id{"x"}, "r2", {10, 0, 0}, engine_state::loading)}};
  EXPECT_THAT(wanted(), IsEmpty());
}

TEST_F(ordering, drains_before_anything_else) {
  row_.replicas.front().phase = replica_phase::draining;
  reports_[a] = report_of(a, "r", {8, 0, 0}, engine_state::ready);
  EXPECT_EQ(wanted().at(a).kind, order_kind::drain);
  reports_[a].state = engine_state::draining;
  EXPECT_THAT(wanted(), IsEmpty());
}

TEST_F(ordering, sends_once_and_names_the_process) {
  const auto sent = tick(now_);
  ASSERT_THAT(sent, SizeIs(1));
  EXPECT_EQ(sent.front().expected_incarnation, 5U);
  EXPECT_THAT(tick(now_ + order_valid_for - 1ms), IsEmpty());
}

TEST_F(ordering, others_wait_for_their_rank) {
  rank_ = 1;
  EXPECT_THAT(tick(now_), IsEmpty());
  EXPECT_EQ(book_.next_tick(), now_ + order_rank_delay);
  EXPECT_THAT(tick(now_ + order_rank_delay - 1ms), IsEmpty());
  EXPECT_THAT(tick(now_ + order_rank_delay), SizeIs(1));
}

TEST_F(ordering, retries_after_a_pause_that_grows) {
  std::vector<time_point> times;
  for (duration d{}; d < 60s; d += 10ms) {
    if (const auto sent = tick(now_ + d); !sent.empty()) {
      times.push_back(now_ + d);
      (void)book_.on(now_ + d, order_result{sent.front(), refused{"old token"}});
    }
  }
  ASSERT_GT(times.size(), 5U);
  EXPECT_LE(times[1] - times[0], order_backoff_first + 10ms);
  EXPECT_GE(times.back() - times[times.size() - 2], order_backoff_most / 2);
  EXPECT_EQ(book_.counters().refused, times.size());
}

TEST_F(ordering, lost_answer_is_tried_again_only_after_the_deadline) {
  ASSERT_THAT(tick(now_), SizeIs(1));
  EXPECT_THAT(tick(now_ + order_valid_for), IsEmpty()) << "backoff";
  EXPECT_THAT(tick(now_ + order_valid_for + order_backoff_first), SizeIs(1));
}

TEST_F(ordering, nothing_goes_to_targets_out_of_sight) {
  reachable_ = false;
  EXPECT_THAT(tick(now_), IsEmpty());
  reachable_ = true;
  age_ = order_observation_limit + 1ms;
  EXPECT_THAT(tick(now_), IsEmpty());
}

}  // namespace
}  // namespace arbutus
