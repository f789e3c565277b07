// Tests the budget of retries that all nodes share without communicating.
#include "request/retry_window.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <vector>

#include "base/rng.h"

namespace arbutus {
namespace {

TEST(RetryWindow, AllNodesTogetherStayWithinTheBoundInAnyWindow) {
  // Guards against sending a failing service twice its load: requests are spread unevenly over six
  // nodes, every request fails and is retried immediately, and each node takes the entire budget
  // for itself.
  constexpr std::size_t nodes = 6;
  constexpr double ratio = 0.2;
  constexpr double burst = 130;
  std::vector<retry_window> windows(
      nodes, retry_window({.retries_per_request = ratio, .burst = burst, .nodes = nodes}));
  rng random(1);
  std::vector<std::pair<time_point, bool>> sends;  // time of each send, and whether it was a retry
  time_point now{1000s};
  for (int i = 0; i < 20000; ++i) {
    now += 3ms;
    const std::size_t node = std::min<std::size_t>(random.below(nodes), random.below(nodes));
    windows[node].count_first_send(now);
    sends.emplace_back(now, false);
    while (windows[node].take(now)) {
      sends.emplace_back(now, true);
    }
  }
  std::size_t first = 0;
  double requests = 0;
  double retries = 0;
  for (const auto& [at, repeated] : sends) {
    (repeated ? retries : requests) += 1;
    while (sends[first].first <= at - 10s) {
      (sends[first].second ? retries : requests) -= 1;
      ++first;
    }
    ASSERT_LE(retries, ratio * requests + burst);
  }
  EXPECT_GT(retries, 0.5 * ratio * requests);
}

TEST(RetryWindow, IsFullAgainAfterAWindow) {
  retry_window window(
      {.retries_per_request = 0, .burst = 6, .nodes = 1, .usable_budget_fraction = 1});
  const time_point now{50s};
  int taken = 0;
  while (window.take(now)) {
    ++taken;
  }
  EXPECT_EQ(taken, 6);
  EXPECT_FALSE(window.take(now + 9s));
  EXPECT_TRUE(window.take(now + 11s));
}

// Nodes before a service of which every send fails and is retried at once, as far as each node may.
class retry_storm {
 public:
  retry_storm(std::size_t nodes, double requests_per_second, std::uint64_t seed)
      : requests_per_second_(requests_per_second), random_(seed) {
    for (std::size_t i = 0; i < nodes; ++i) {
      windows_.emplace_back(window_settings(nodes));
    }
  }

  void restart(std::size_t node) {
    const retry_window_settings settings = window_settings(windows_.size());
    windows_[node] = retry_window(settings, now_ + settings.window);
  }

  // Adds nodes that the others know of only later; the new ones know all.
  void add(std::size_t count, duration burst_delay) {
    const retry_window_settings settings = window_settings(windows_.size() + count);
    for (std::size_t i = 0; i < count; ++i) {
      windows_.emplace_back(settings, now_ + burst_delay);
    }
  }

  void tell_number_of_nodes() {
    for (retry_window& window : windows_) {
      window.set_nodes(now_, windows_.size());
    }
  }

  void restart_all() {
    for (std::size_t i = 0; i < windows_.size(); ++i) {
      restart(i);
    }
  }

  void play(duration time) {
    const time_point end = now_ + time;
    while (now_ < end) {
      now_ += from_seconds(2 * random_.unit() / requests_per_second_);
      serve(windows_[random_.below(windows_.size())]);
    }
  }

  // The largest share of the allowed retries that was sent in any window, 1 being all.
  [[nodiscard]] double worst_share() const { return worst_share_; }
  // The mean share of the windows that ended since the last call.
  double take_mean_share() {
    const double mean = share_sum_ / static_cast<double>(share_count_);
    share_sum_ = 0;
    share_count_ = 0;
    return mean;
  }
  [[nodiscard]] time_point now() const { return now_; }

  static constexpr double ratio = 0.2;
  static constexpr double burst = 130;

 private:
  struct send {
    time_point at;
    bool is_retry;
  };

  [[nodiscard]] static retry_window_settings window_settings(std::size_t nodes) {
    return {.retries_per_request = ratio, .burst = burst, .nodes = nodes};
  }

  void serve(retry_window& window) {
    window.count_first_send(now_);
    note({now_, false});
    while (window.take(now_)) {
      note({now_, true});
    }
    const double share = retries_ / (ratio * requests_ + burst);
    worst_share_ = std::max(worst_share_, share);
    share_sum_ += share;
    ++share_count_;
  }

  void note(const send& s) {
    (s.is_retry ? retries_ : requests_) += 1;
    sends_.push_back(s);
    while (sends_.front().at <= s.at - 10s) {
      (sends_.front().is_retry ? retries_ : requests_) -= 1;
      sends_.pop_front();
    }
  }

  double requests_per_second_;
  rng random_;
  time_point now_{1000s};
  std::vector<retry_window> windows_;
  std::deque<send> sends_;  // of the last 10 s
  double requests_ = 0;
  double retries_ = 0;
  double worst_share_ = 0;
  double share_sum_ = 0;
  std::size_t share_count_ = 0;
};

// Guards against nodes that draw the burst again with each start.
TEST(RetryWindow, NodesThatStartAgainKeepTheBudgetOfAll) {
  for (const double requests_per_second : {5.0, 40.0, 150.0}) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      retry_storm storm(6, requests_per_second, seed);
      storm.play(15s);
      for (int i = 0; i < 5; ++i) {
        storm.restart_all();
        storm.play(2s);
      }
      for (int i = 0; i < 60; ++i) {
        storm.restart(static_cast<std::size_t>(i) % 6);
        storm.play(300ms);
      }
      EXPECT_LE(storm.worst_share(), 1.0) << requests_per_second << " a second, seed " << seed;
    }
  }
}

// Guards against new nodes that spend a share of the burst that the others have not given up yet.
TEST(RetryWindow, NodesThatAreAddedKeepTheBudgetOfAll) {
  for (const std::size_t added : {3, 70}) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      retry_storm storm(6, 20.0, seed);
      storm.play(15s);
      storm.add(added, 16s);
      storm.play(6s);
      storm.tell_number_of_nodes();
      storm.play(30s);
      EXPECT_LE(storm.worst_share(), 1.0) << added << " nodes added, seed " << seed;
    }
  }
}

// Guards against retries of just before the window that count as gone too early.
TEST(RetryWindow, NothingIsTakenTwiceInOneWindow) {
  for (duration offset{}; offset < 500ms; offset += 10ms) {
    retry_window window(
        {.retries_per_request = 0, .burst = 6, .nodes = 1, .usable_budget_fraction = 1});
    const time_point first = time_point{50s} + offset;
    while (window.take(first)) {
    }
    EXPECT_FALSE(window.take(first + 9990ms)) << to_milliseconds(offset);
    EXPECT_TRUE(window.take(first + 10500ms)) << to_milliseconds(offset);
  }
}

// Guards against requests that still add to the budget after a window without any.
TEST(RetryWindow, RequestsOfBeforeTheWindowAddNothing) {
  for (duration offset{}; offset < 500ms; offset += 10ms) {
    retry_window window(
        {.retries_per_request = 1, .burst = 0, .nodes = 1, .usable_budget_fraction = 1});
    const time_point first = time_point{50s} + offset;
    window.count_first_send(first);
    EXPECT_GE(window.retries_left(first + 9400ms), 1) << to_milliseconds(offset);
    EXPECT_LT(window.retries_left(first + 10001ms), 1) << to_milliseconds(offset);
  }
}

// Guards against a budget that nobody may use after a restart of all nodes.
TEST(RetryWindow, MostOfTheBudgetMayBeSentSomeTimeAfterARestart) {
  for (const double requests_per_second : {40.0, 150.0}) {
    retry_storm storm(6, requests_per_second, 1);
    storm.play(5s);
    storm.restart_all();
    storm.play(20s);
    storm.take_mean_share();
    storm.play(20s);
    EXPECT_GE(storm.take_mean_share(), 0.6) << requests_per_second << " a second";
  }
}

// Guards against streams of a cut node that end because each peer that declined used up a retry.
TEST(CallRetries, APeerThatDeclinesUsesNoRetry) {
  const time_point now{1000s};
  retry_window window({.burst = 10, .nodes = 1});
  call_retries call;
  EXPECT_TRUE(call.pay_next_send(now, 0, window));
  EXPECT_EQ(window.usage(now).retries, 0);
  for (int declined = 0; declined < 20; ++declined) {
    EXPECT_TRUE(call.pay_next_send(now + declined * 5ms, 1, window));
  }
  EXPECT_EQ(window.usage(now + 100ms).retries, 1);
}

// Guards against sends beyond the budget: each one that may have reached a target is paid for, and
// in the window in which it is sent.
TEST(CallRetries, EachFurtherSendIsPaid) {
  const time_point now{1000s};
  retry_window window({.burst = 10, .nodes = 1});
  call_retries call;
  EXPECT_TRUE(call.pay_next_send(now, 1, window));
  EXPECT_TRUE(call.pay_next_send(now, 2, window));
  EXPECT_EQ(window.usage(now).retries, 2);
  EXPECT_TRUE(call.pay_next_send(now + 600ms, 2, window));
  EXPECT_EQ(window.usage(now + 600ms).retries, 3);
}

// Guards against a silence of many targets that leaves no retry for streams that break afterwards.
TEST(CallRetries, SilentRunsLeaveRetriesForThoseThatBreak) {
  const time_point now{1000s};
  constexpr double reserve = 0.5;
  retry_window window({.burst = 100, .nodes = 1});
  const double limit = window.usage(now).limit;
  double beside_silent_runs = 0;
  for (call_retries call; call.pay_next_send(now, 1, window, reserve); call = {}) {
    beside_silent_runs += 1;
  }
  EXPECT_LE(beside_silent_runs, limit * reserve);
  double after_broken_runs = 0;
  for (call_retries call; call.pay_next_send(now, 1, window); call = {}) {
    after_broken_runs += 1;
  }
  EXPECT_GE(after_broken_runs, std::floor(limit * reserve));
}

}  // namespace
}  // namespace arbutus
