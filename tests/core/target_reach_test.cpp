// Tests when a node takes itself to be cut off from the targets of a service, in virtual time.
#include "process/target_reach.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

#include "process/stall_monitor.h"

namespace arbutus {
namespace {

const time_point start{1h};
constexpr duration tick = 20ms;
constexpr duration connect_timeout = 250ms;
// The aim for a cut and for its end: known within this time.
constexpr duration detection_limit = 1s;

std::vector<target_id> targets_named(std::size_t count) {
  std::vector<target_id> targets;
  for (std::size_t i = 0; i < count; ++i) {
    targets.emplace_back("t" + std::to_string(i));
  }
  return targets;
}

// Carries out the tests that a node's reach asks for, and sends a request to a random target in
// each tick as long as the node would.
class ReachPlay : public testing::Test {
 protected:
  using reachable = std::function<bool(time_point, const target_id&)>;

  void play(duration time, const reachable& reaches) {
    const time_point until = now_ + time;
    for (; now_ < until; now_ += tick) {
      finish_attempts();
      for (const target_id& id : reach_.tests_due(now_, targets_, random_)) {
        begin_attempt(id, reaches);
      }
      const target_id& chosen = targets_[random_.below(targets_.size())];
      if (!reach_.is_unreachable(chosen) && !reaches(now_, chosen)) {
        attempts_.push_back({now_ + connect_timeout, chosen, false});
      }
    }
  }

  std::vector<target_id> targets_ = targets_named(54);
  target_reach reach_;
  rng random_{7};
  time_point now_ = start;
  std::vector<std::pair<time_point, reach_change>> changes_;

 private:
  struct attempt {
    time_point ends_at;
    target_id id;
    bool works;
  };

  void begin_attempt(const target_id& id, const reachable& reaches) {
    const bool works = reaches(now_, id);
    attempts_.push_back({now_ + (works ? 5ms : connect_timeout), id, works});
  }

  void finish_attempts() {
    std::vector<attempt> running;
    for (const attempt& a : attempts_) {
      if (a.ends_at > now_) {
        running.push_back(a);
        continue;
      }
      const reach_change change =
          a.works ? reach_.connected(now_, a.id) : reach_.connect_failed(now_, a.id);
      if (change != reach_change::none) {
        changes_.emplace_back(now_, change);
      }
    }
    attempts_ = std::move(running);
  }

  std::vector<attempt> attempts_;
};

// Guards against a cut that is noticed, or whose end is noticed, only after callers were refused.
TEST_F(ReachPlay, CutAndItsEndAreKnownWithinASecond) {
  const time_point cut_at = start + 3s;
  const time_point healed_at = cut_at + 12s;
  play(20s, [&](time_point t, const target_id&) { return t < cut_at || t >= healed_at; });
  ASSERT_EQ(changes_.size(), 2U);
  EXPECT_EQ(changes_[0].second, reach_change::cut_off);
  EXPECT_LT(changes_[0].first - cut_at, detection_limit);
  EXPECT_EQ(changes_[1].second, reach_change::restored);
  EXPECT_LT(changes_[1].first - healed_at, detection_limit);
}

// Guards against targets that have ended and are taken for a cut.
TEST_F(ReachPlay, NineTargetsThatEndTogetherAreNoCut) {
  play(30s, [&](time_point t, const target_id& id) {
    const bool in_domain = std::stoi(id.str().substr(1)) < 9;
    return t < start + 5s || !in_domain;
  });
  EXPECT_TRUE(changes_.empty());
  EXPECT_EQ(reach_.unreachable_count(), 9U);
}

// Guards against a node that hands calls over although it reaches half of the targets.
TEST_F(ReachPlay, HalfOfTheTargetsUnreachableIsNoCut) {
  play(30s, [&](time_point t, const target_id& id) {
    return t < start + 5s || std::stoi(id.str().substr(1)) % 2 == 0;
  });
  EXPECT_TRUE(changes_.empty());
  EXPECT_EQ(reach_.unreachable_count(), 27U);
}

// Guards against a lossy link, where each connection attempt fails with one in five, that looks
// like a cut again and again.
TEST_F(ReachPlay, LostPacketsAreNoCutForLongerThanAMoment) {
  rng losses(11);
  play(60s, [&](time_point, const target_id&) { return losses.unit() >= 0.2; });
  duration cut_off{};
  for (std::size_t i = 1; i < changes_.size(); i += 2) {
    cut_off += changes_[i].first - changes_[i - 1].first;
  }
  EXPECT_LE(changes_.size(), 4U);
  EXPECT_LT(cut_off, 1s);
}

// Guards against streams that pause together, as after a freeze of the node, taken for a cut.
TEST_F(ReachPlay, SilenceOfReachableTargetsIsNoCut) {
  reach_.doubt(now_);
  EXPECT_TRUE(reach_.is_doubtful());
  play(1s, [](time_point, const target_id&) { return true; });
  EXPECT_FALSE(reach_.is_doubtful());
  EXPECT_TRUE(changes_.empty());
}

// Guards against a node that stays cut off for ever once all targets have ended and left the list.
TEST_F(ReachPlay, WithoutListedTargetsThereIsNoCut) {
  play(3s, [](time_point, const target_id&) { return false; });
  ASSERT_TRUE(reach_.is_cut_off());
  EXPECT_EQ(reach_.no_targets(), reach_change::restored);
  EXPECT_FALSE(reach_.is_cut_off());
  EXPECT_FALSE(reach_.needs_tests());
}

// Guards against tests of paths while nothing is wrong.
TEST_F(ReachPlay, NothingIsTestedWhileAllAreReachable) {
  EXPECT_FALSE(reach_.needs_tests());
  EXPECT_TRUE(reach_.tests_due(now_, targets_, random_).empty());
}

// A stall monitor with one running stream at each head; all have sent an event at `start`.
stall_monitor monitor_of(const std::vector<target_id>& heads) {
  stall_monitor monitor;
  for (const target_id& head : heads) {
    monitor.on_stream_sent(start - 1s, head, {service_id{"s"}, model_id{"m"}}, 100ms);
    monitor.on_first_event(head, 100ms, 100ms);
    monitor.on_event(start, head, 50ms);
  }
  return monitor;
}

// Guards against a cut that is doubted only once the slowest replica is overdue.
TEST(SilenceOfAll, ThreeReplicasThatFallSilentTogetherAreNoticedEarly) {
  stall_monitor monitor = monitor_of(targets_named(3));
  EXPECT_FALSE(monitor.all_stalled(start + 100ms));
  EXPECT_TRUE(monitor.all_stalled(start + 200ms));
  monitor.on_event(start + 200ms, target_id{"t1"}, 50ms);
  EXPECT_FALSE(monitor.all_stalled(start + 250ms));
}

// Guards against tests of paths whenever the only replica with streams of this node pauses.
TEST(SilenceOfAll, OneReplicaThatFallsSilentSaysNothing) {
  EXPECT_FALSE(monitor_of(targets_named(1)).all_stalled(start + 10s));
  EXPECT_FALSE(monitor_of({}).all_stalled(start + 10s));
  EXPECT_TRUE(monitor_of(targets_named(2)).all_stalled(start + 10s));
}

}  // namespace
}  // namespace arbutus
