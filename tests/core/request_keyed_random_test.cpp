// Calls with an idempotency key under random sequences of lost replies, late writes, outages,
// pauses, crashes and calls with the same key on other nodes.
#include <gtest/gtest.h>

#include <memory>

#include "base/rng.h"
#include "core/request_keyed_fakes.h"
#include "request/keyed.h"

namespace arbutus {
namespace {

using kind = keyed_reply::kind;

struct actor {
  keyed_call call;
  std::int64_t skew{};  // error of the node's wall clock
  bool paused = false;
  bool crashed = false;
  bool send_requested = false;
  bool checked = false;  // may_send() returned true, and the call is sent next
  bool executed = false;
  int executions_seen = 0;
  std::vector<keyed_reply> replies{};
};

struct table_call {
  std::size_t from{};
  keyed_effect asked;
  // The table call got a reply or counts as lost; a lost write may still take effect.
  bool replied = false;
  bool applied = false;
  outcome<table_written> written = unknown{"lost"};
  outcome<table_row> row = unknown{"lost"};
};

// Simulates calls with the same idempotency key at several nodes.
class keyed_fuzz {
 public:
  explicit keyed_fuzz(std::uint64_t seed) : random_(seed) {}

  void run() {
    for (int i = 0; i < 400; ++i) {
      step();
    }
    settle();
  }

  int executions() const { return executions_; }
  const std::vector<std::unique_ptr<actor>>& actors() const { return actors_; }

 private:
  bool chance(double p) { return random_.unit() < p; }
  wall_time wall(const actor& a) const {
    return {1'000'000 + now_.time_since_epoch().count() / 1000 + a.skew};
  }

  void step() {
    now_ += chance(0.03) ? duration(7s) : random_.jitter(150ms);
    if (chance(0.05)) {
      table_unavailable_ = !table_unavailable_;
    }
    if (actors_.size() < 6 && chance(0.08)) {
      begin();
    }
    if (!calls_.empty()) {
      handle(random_.below(calls_.size()));
    }
    if (!actors_.empty()) {
      act(random_.below(actors_.size()));
    }
  }

  void begin() {
    const std::size_t n = actors_.size();
    auto a = std::make_unique<actor>(
        actor{keyed_call(facts_of("n" + std::to_string(n), n, now_ + 20s))});
    a->skew = static_cast<std::int64_t>(random_.below(2000)) - 1000;
    actors_.push_back(std::move(a));
    take(n, actors_[n]->call.start(now_, wall(*actors_[n])));
  }

  void take(std::size_t from, const keyed_effects& effects) {
    for (const keyed_effect& e : effects) {
      if (std::holds_alternative<keyed_send>(e)) {
        actors_[from]->send_requested = true;
      } else if (const auto* r = std::get_if<keyed_reply>(&e)) {
        actors_[from]->replies.push_back(*r);
      } else {
        calls_.push_back({from, e});
      }
    }
  }

  void apply(table_call& c) {
    c.applied = true;
    if (const auto* w = std::get_if<table_write>(&c.asked)) {
      c.written = table_.apply(*w);
    } else {
      c.row = table_.apply(std::get<table_read>(c.asked));
    }
  }

  void handle(std::size_t i) {
    table_call& c = calls_[i];
    if (!c.applied && !table_unavailable_ && chance(0.8)) {
      apply(c);
    }
    if (c.replied) {
      if (c.applied || chance(0.2)) {
        calls_.erase(calls_.begin() + static_cast<std::ptrdiff_t>(i));
      }
      return;
    }
    actor& a = *actors_[c.from];
    if (a.paused || a.crashed || a.checked || (!c.applied && !chance(0.2))) {
      return;
    }
    const bool lost = chance(0.25);
    c.replied = true;
    const table_call copy = c;
    const std::size_t from = c.from;
    reply(from, copy, lost);
  }

  void reply(std::size_t from, const table_call& c, bool lost) {
    actor& a = *actors_[from];
    if (const auto* w = std::get_if<table_write>(&c.asked)) {
      const outcome<table_written> result = lost ? unknown{"lost"} : c.written;
      take(from, a.call.on(now_, wall(a), table_write_result{*w, result}));
    } else {
      const auto& r = std::get<table_read>(c.asked);
      const outcome<table_row> result = lost ? unknown{"lost"} : c.row;
      take(from, a.call.on(now_, wall(a), table_read_result{r, result}));
    }
  }

  void act(std::size_t n) {
    actor& a = *actors_[n];
    a.crashed = a.crashed || (!settling_ && chance(0.003));
    if (!settling_ && chance(a.paused ? 0.2 : 0.05)) {
      a.paused = !a.paused;
    }
    if (a.paused || a.crashed) {
      return;
    }
    if (a.checked) {
      execute(n);
    } else if (a.send_requested && chance(0.5)) {
      a.send_requested = false;
      a.checked = a.call.may_send(now_);
      // The node is paused between the check of may_send() and the send.
      a.paused = !settling_ && chance(0.3);
    } else {
      take(n, a.call.tick(now_, wall(a)));
    }
  }

  void execute(std::size_t n) {
    actor& a = *actors_[n];
    a.checked = false;
    if (chance(0.15)) {  // the target could not be connected to
      take(n, a.call.ended(now_, wall(a), execution::not_run));
      return;
    }
    a.call.sent();
    if (chance(0.1)) {
      take(n, a.call.ended(now_, wall(a), execution::not_run));  // the target refused the call
      return;
    }
    ++executions_;
    a.executed = true;
    if (chance(0.3)) {
      take(n, a.call.ended(now_, wall(a), execution::unknown));
    } else {
      take(n, a.call.answered(now_, wall(a), {200, "text", "by " + std::to_string(n)}));
    }
  }

  // Runs without further faults, in which every call whose node did not crash has to finish.
  void settle() {
    table_unavailable_ = false;
    settling_ = true;
    for (int i = 0; i < 3000; ++i) {
      now_ += 20ms;
      for (std::size_t n = 0; n < actors_.size(); ++n) {
        actors_[n]->paused = false;
        if (!actors_[n]->crashed) {
          act(n);
        }
      }
      if (!calls_.empty()) {
        handle(random_.below(calls_.size()));
      }
    }
  }

  rng random_;
  time_point now_;
  fake_table table_;
  bool table_unavailable_ = false;
  bool settling_ = false;
  std::vector<std::unique_ptr<actor>> actors_;
  std::vector<table_call> calls_;
  int executions_ = 0;
};

// Guards against a call that runs twice, and against one that was reported as not run but ran,
// under any order of lost replies, late writes, outages, pauses, crashes and calls with the same
// key.
TEST(KeyedRandom, RunsAtMostOnceAndNotRunIsReliable) {
  int executed = 0;
  int reported_not_run = 0;
  int taken_over = 0;
  for (std::uint64_t seed = 1; seed <= 4000; ++seed) {
    keyed_fuzz fuzz(seed);
    fuzz.run();
    ASSERT_LE(fuzz.executions(), 1) << "seed " << seed;
    executed += fuzz.executions();
    bool others_before = false;
    for (const auto& a : fuzz.actors()) {
      ASSERT_LE(a->replies.size(), 1U) << "seed " << seed;
      taken_over += a->executed && others_before ? 1 : 0;
      others_before = true;
      if (a->crashed) {
        continue;
      }
      ASSERT_EQ(a->replies.size(), 1U) << "seed " << seed;
      ASSERT_TRUE(a->call.finished()) << "seed " << seed;
      const keyed_reply& r = a->replies[0];
      if (r.what == kind::not_run) {
        ++reported_not_run;
        ASSERT_FALSE(a->executed) << "seed " << seed;
      }
      if (r.what == kind::done) {
        ASSERT_EQ(fuzz.executions(), 1) << "seed " << seed;
      }
    }
  }
  // Checks that the random sequences cover the relevant cases.
  EXPECT_GT(executed, 1000);
  EXPECT_GT(reported_not_run, 500);
  EXPECT_GT(taken_over, 100);
  RecordProperty("executed", executed);
  RecordProperty("told_not_run", reported_not_run);
  RecordProperty("executed_by_later_call", taken_over);
}

}  // namespace
}  // namespace arbutus
