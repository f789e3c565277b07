// Tests the conditions under which a node may route to a replica; each test violates one of them.
#include "process/permission.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace arbutus {
namespace {

using namespace std::chrono_literals;

class permission_rules : public ::testing::Test {
 protected:
  permission_rules() {
    for (const char* name : {"a", "b"}) {
      observation o;
      o.report.vm = vm_id{name};
      o.report.incarnation = 5;
      o.report.replica = target_.replica;
      o.report.fencing_generation = target_.fencing_generation;
      o.report.state = engine_state::ready;
      o.at = time_point{10s};
      seen_[o.report.vm] = o;
      conditions_[o.report.vm] = target_condition::working;
    }
    observe();
  }
  void observe() {
    for (const auto& [vm, o] : seen_) {
      readiness_.observe(o);
    }
  }
  [[nodiscard]] permit evaluate(time_point now) const {
    return permission_for(now, target_, readiness_, [this](const vm_id& vm) {
      return member_observation{&seen_.at(vm), conditions_.at(vm), checks_tokens_};
    });
  }
  [[nodiscard]] bool granted() const { return evaluate(now_).granted; }
  engine_report& b() { return seen_.at(vm_id{"b"}).report; }

  composition target_{replica_id{"r"}, {4, 0, 0}, {vm_id{"a"}, vm_id{"b"}}};
  std::map<vm_id, observation> seen_;
  std::map<vm_id, target_condition> conditions_;
  ready_tracker readiness_;
  bool checks_tokens_ = true;
  time_point now_{10100ms};
};

TEST_F(permission_rules, whole_replica_is_granted_until_its_oldest_observation_lapses) {
  seen_.at(vm_id{"b"}).at = time_point{9900ms};
  const permit p = evaluate(now_);
  EXPECT_TRUE(p.granted);
  EXPECT_EQ(p.valid_until, time_point{9900ms} + permission_validity);
}

TEST_F(permission_rules, observations_age) {
  EXPECT_TRUE(evaluate(time_point{10s} + permission_validity - 1ms).granted);
  EXPECT_FALSE(evaluate(time_point{10s} + permission_validity).granted);
}

TEST_F(permission_rules, each_member_must_report_this_replica) {
  b().replica = replica_id{"other"};
  EXPECT_FALSE(granted());
}

TEST_F(permission_rules, each_member_must_report_exactly_this_generation) {
  for (const generation g : {generation{3, 0, 0}, generation{4, 1, 1}, generation{5, 0, 0}}) {
    b().fencing_generation = g;
    EXPECT_FALSE(granted()) << to_string(g);
  }
}

TEST_F(permission_rules, each_member_must_be_ready) {
  for (const auto s :
       {engine_state::idle, engine_state::loading, engine_state::draining, engine_state::failed}) {
    b().state = s;
    EXPECT_FALSE(granted());
  }
}

TEST_F(permission_rules, no_member_may_be_leaving_or_suspect) {
  for (const auto c : {target_condition::unknown, target_condition::suspect, target_condition::lost,
                       target_condition::leaving}) {
    conditions_.at(vm_id{"b"}) = c;
    EXPECT_FALSE(granted());
  }
  conditions_.at(vm_id{"b"}) = target_condition::working;
  b().leaving = true;
  EXPECT_FALSE(granted());
}

// Guards against routing to a replica with a restarted member as if it had been ready all along:
// "ready" alone does not distinguish the new process from the previous one.
TEST_F(permission_rules, another_process_restarts_the_ready_period) {
  const time_point before = evaluate(now_).serving_since;
  b().incarnation = 6;
  seen_.at(vm_id{"b"}).at = time_point{11s};
  observe();
  EXPECT_GT(evaluate(time_point{11s}).serving_since, before);
}

// Guards against routing to a replica that a member is about to leave: a target that does not check
// fencing tokens does not compare orders, so it executes an older, delayed order after a newer one.
TEST_F(permission_rules, targets_that_ignore_tokens_have_to_settle) {
  checks_tokens_ = false;
  EXPECT_FALSE(granted());
  for (auto& [vm, o] : seen_) {
    o.at += token_settle_time;
  }
  observe();
  EXPECT_TRUE(evaluate(now_ + token_settle_time).granted);
  b().fencing_generation = {5, 0, 0};
  seen_.at(vm_id{"b"}).at += 1s;
  observe();
  b().fencing_generation = target_.fencing_generation;
  seen_.at(vm_id{"b"}).at += 1s;
  observe();
  EXPECT_FALSE(evaluate(now_ + token_settle_time + 2s).granted)
      << "a differing report restarts the settle time";
}

}  // namespace
}  // namespace arbutus
