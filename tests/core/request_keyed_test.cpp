// Calls that may not be repeated, against a fake table: directed sequences, and random ones with
// lost replies, late writes, pauses, crashes and equal calls on other nodes.
#include <gtest/gtest.h>

#include <map>
#include <memory>

#include "base/rng.h"
#include "request/keyed.h"

namespace arbutus {
namespace {

const workspace_id desk("desk");
const idempotency_key booking("booking-7");

struct fake_table {
  std::map<std::string, table_row> rows;

  outcome<table_written> apply(const table_write& w) {
    table_row& row = rows[w.key];
    if (row.version != w.expected) {
      return refused{"version"};
    }
    row = {w.value, row.version + 1};
    return table_written{row.version};
  }
  outcome<table_row> apply(const table_read& r) { return rows[r.key]; }
};

keyed_call_facts facts_of(const std::string& node, std::uint64_t number, time_point deadline,
                          const std::string& body = "body") {
  return {desk,
          booking,
          {node_id(node), 1, request_id(node + "-" + std::to_string(number))},
          body,
          deadline};
}

// One call with a table that answers at once, for the directed tests.
struct driven_call {
  fake_table& table;
  keyed_call call;
  time_point now{};
  wall_time wall{1'000'000};
  bool send_asked = false;
  std::vector<keyed_reply> replies;
  bool table_away = false;
  bool lose_replies = false;  // writes take effect, their replies are lost
  bool hold = false;          // table calls are kept in `held`
  keyed_effects held;

  driven_call(fake_table& t, const keyed_call_facts& facts) : table(t), call(facts) {}

  void pass(duration d) {
    now += d;
    wall.milliseconds += d.count() / 1000;
  }
  void start() { take(call.start(now, wall)); }
  void tick() { take(call.tick(now, wall)); }
  void run_for(duration d) {
    for (const time_point end = now + d; now < end;) {
      pass(10ms);
      tick();
    }
  }
  void release() {
    hold = false;
    take(std::exchange(held, {}));
  }
  void take(keyed_effects effects) {
    for (const keyed_effect& e : effects) {
      match(
          e, [&](const table_read& r) { on_read(r); }, [&](const table_write& w) { on_write(w); },
          [&](const keyed_send&) { send_asked = true; },
          [&](const keyed_reply& r) { replies.push_back(r); });
    }
  }
  void on_read(const table_read& r) {
    if (hold) {
      held.push_back(r);
      return;
    }
    const outcome<table_row> result = table_away ? unknown{"away"} : table.apply(r);
    take(call.on(now, wall, table_read_result{r, result}));
  }
  void on_write(const table_write& w) {
    if (hold) {
      held.push_back(w);
      return;
    }
    outcome<table_written> result = unknown{"away"};
    if (!table_away) {
      result = table.apply(w);
    }
    if (lose_replies) {
      result = unknown{"lost"};
    }
    take(call.on(now, wall, table_write_result{w, result}));
  }
  bool send() {
    if (!call.may_send(now)) {
      return false;
    }
    call.sent();
    return true;
  }
};

using kind = keyed_reply::kind;

TEST(Keyed, RecordSurvivesTheTable) {
  keyed_record r;
  r.owner = {node_id("n1"), 7, request_id("q")};
  r.body_hash = "h";
  r.phase = record_phase::done;
  r.expires = {99};
  r.status = 201;
  r.body = std::string("\0\xff{}", 4);
  const auto back = decode_keyed_record(encode(r));
  ASSERT_TRUE(is_ok(back));
  EXPECT_EQ(std::get<keyed_record>(back), r);
  const std::string bytes = encode(r);
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    EXPECT_FALSE(is_ok(decode_keyed_record(bytes.substr(0, n)))) << n;
  }
}

TEST(Keyed, PairsOfWorkspaceAndKeyDoNotRunTogether) {
  EXPECT_NE(keyed_row(workspace_id("a"), idempotency_key("b:c")),
            keyed_row(workspace_id("a:b"), idempotency_key("c")));
}

TEST(Keyed, RepeatedCallGetsTheRecordedAnswer) {
  fake_table table;
  driven_call first(table, facts_of("n1", 1, time_point{} + 30s));
  first.start();
  ASSERT_TRUE(first.send_asked);
  ASSERT_TRUE(first.send());
  EXPECT_FALSE(first.send()) << "one attempt only";
  first.take(first.call.answered(first.now, first.wall, {201, "application/json", "{\"id\":1}"}));
  EXPECT_TRUE(first.call.finished());

  driven_call second(table, facts_of("n2", 1, time_point{} + 30s));
  second.start();
  ASSERT_EQ(second.replies.size(), 1U);
  EXPECT_EQ(second.replies[0].what, kind::done);
  EXPECT_TRUE(second.replies[0].replayed);
  EXPECT_EQ(second.replies[0].status, 201U);
  EXPECT_EQ(second.replies[0].body, "{\"id\":1}");
  EXPECT_FALSE(second.send_asked);

  driven_call other(table, facts_of("n2", 2, time_point{} + 30s, "other body"));
  other.start();
  EXPECT_EQ(other.replies.at(0).what, kind::conflict);
}

TEST(Keyed, LargeAnswerIsKeptAsItsHash) {
  fake_table table;
  driven_call first(table, facts_of("n1", 1, time_point{} + 30s));
  first.start();
  ASSERT_TRUE(first.send());
  first.take(first.call.answered(first.now, first.wall, {200, "text", std::string(20'000, 'x')}));
  EXPECT_EQ(first.replies.at(0).body.size(), 20'000U);
  driven_call second(table, facts_of("n2", 1, time_point{} + 30s));
  second.start();
  EXPECT_EQ(second.replies.at(0).what, kind::done);
  EXPECT_TRUE(second.replies.at(0).body_dropped);
  EXPECT_TRUE(second.replies.at(0).body.empty());
}

// Symptom: a booking is refused as a duplicate of itself.
// Sequence: the insert takes effect, its reply is lost, the node finds a record of this key.
// Cause: not telling the own record from another's.
TEST(Keyed, LostReplyIsResolvedByReadingBack) {
  fake_table table;
  driven_call call(table, facts_of("n1", 1, time_point{} + 30s));
  call.lose_replies = true;
  call.start();
  call.run_for(500ms);
  EXPECT_TRUE(call.send_asked);
  EXPECT_TRUE(call.send());
  EXPECT_TRUE(call.replies.empty());
}

// Symptom: a unit is booked twice.
// Sequence: node 1 reserves and is paused; the caller repeats the call at node 2, which takes the
// reservation over and sends; node 1 wakes and sends, too.
// Cause: a paused process does not know that it was paused.
TEST(Keyed, PausedOwnerNoticesThatItWasReplaced) {
  fake_table table;
  driven_call paused(table, facts_of("n1", 1, time_point{} + 60s));
  paused.start();  // stands in the table as `sending` from here on
  fake_table before_mark;
  driven_call early(before_mark, facts_of("n1", 1, time_point{} + 60s));
  early.hold = true;
  early.start();
  const keyed_effects insert = std::exchange(early.held, {});
  const auto& w = std::get<table_write>(insert.at(0));
  const outcome<table_written> inserted = before_mark.apply(w);
  early.pass(6s);

  driven_call second(before_mark, facts_of("n2", 1, time_point{} + 60s));
  second.pass(6s);
  second.start();
  ASSERT_TRUE(second.send()) << "a reservation without an owner is taken over";

  early.hold = false;
  early.take(early.call.on(early.now, early.wall, table_write_result{w, inserted}));
  EXPECT_FALSE(early.send());
  ASSERT_EQ(early.replies.size(), 1U);
  EXPECT_EQ(early.replies[0].what, kind::in_progress);
}

// Symptom: a call that was told to be not run runs a minute later.
// Sequence: the record stands, the node is paused before the send, and wakes after the window.
// Cause: permission that does not lapse by itself.
TEST(Keyed, PermissionToSendLapses) {
  fake_table table;
  driven_call call(table, facts_of("n1", 1, time_point{} + 60s));
  call.start();
  ASSERT_TRUE(call.send_asked);
  call.pass(2s);
  EXPECT_FALSE(call.send());
  call.tick();
  EXPECT_EQ(call.replies.at(0).what, kind::not_run);
  EXPECT_TRUE(call.call.finished());

  driven_call again(table, facts_of("n2", 1, time_point{} + 60s));
  again.start();
  EXPECT_TRUE(again.send()) << "closed as not run, so it may be tried at once";
}

// Symptom: callers wait for the whole outage of the table, or a call runs without a record.
TEST(Keyed, TableAwayRefusesAsNotRun) {
  fake_table table;
  driven_call call(table, facts_of("n1", 1, time_point{} + 60s));
  call.table_away = true;
  call.start();
  call.run_for(2100ms);
  ASSERT_EQ(call.replies.size(), 1U);
  EXPECT_EQ(call.replies[0].what, kind::not_run);
  EXPECT_GT(call.replies[0].retry_after, 0us);
  EXPECT_FALSE(call.send_asked);
  call.table_away = false;
  call.run_for(5s);
  EXPECT_TRUE(call.call.finished());
  EXPECT_FALSE(call.send_asked);
}

// Symptom: a call told to be not run blocks its key: repeats are told that it may have run.
// Sequence: the mark takes effect, its reply is lost, the table goes away, the node gives up.
// Cause: the record stays in `sending` although nothing was sent.
TEST(Keyed, RecordOfUnsentCallIsClosedWhenTheTableReturns) {
  fake_table table;
  driven_call call(table, facts_of("n1", 1, time_point{} + 60s));
  call.hold = true;
  call.start();
  call.release();  // reserved and marked
  ASSERT_TRUE(call.send_asked);
  call.table_away = true;
  call.take(call.call.ended(call.now, call.wall, execution::not_run));
  EXPECT_EQ(call.replies.at(0).what, kind::not_run);
  call.run_for(3s);
  EXPECT_FALSE(call.call.finished());
  call.table_away = false;
  call.run_for(3s);
  EXPECT_TRUE(call.call.finished());
  driven_call again(table, facts_of("n2", 1, time_point{} + 60s));
  again.start();
  EXPECT_TRUE(again.send());
}

TEST(Keyed, UnansweredCallIsUnknownForEveryone) {
  fake_table table;
  driven_call call(table, facts_of("n1", 1, time_point{} + 5s));
  call.start();
  ASSERT_TRUE(call.send());
  driven_call early(table, facts_of("n2", 1, time_point{} + 5s));
  early.start();
  EXPECT_EQ(early.replies.at(0).what, kind::in_progress);
  call.take(call.call.ended(call.now, call.wall, execution::unknown));
  EXPECT_EQ(call.replies.at(0).what, kind::unknown);
  driven_call later(table, facts_of("n2", 2, time_point{} + 30s));
  later.pass(6s);
  later.start();
  EXPECT_EQ(later.replies.at(0).what, kind::unknown);
  EXPECT_FALSE(later.send_asked);
}

TEST(Keyed, RecordIsReplacedOnlyAfterItExpired) {
  fake_table table;
  driven_call call(table, facts_of("n1", 1, time_point{} + 5s));
  call.start();
  ASSERT_TRUE(call.send());
  for (const duration wait : {duration(24h), duration(24h + 8s)}) {
    driven_call later(table, facts_of("n2", 1, time_point{} + wait + 30s));
    later.pass(wait);
    later.start();
    EXPECT_EQ(later.send_asked, wait > 24h);
  }
}

// ---- random sequences ----

struct actor {
  keyed_call call;
  std::int64_t skew{};  // of its wall clock
  bool paused = false;
  bool crashed = false;
  bool wants_send = false;
  bool checked = false;  // may_send said yes; nothing but the send comes next
  bool executed = false;
  int executions_seen = 0;
  std::vector<keyed_reply> replies{};
};

struct table_call {
  std::size_t from{};
  keyed_effect asked;
  bool replied = false;  // by a timeout; a write may still take effect
  bool applied = false;
  outcome<table_written> written = unknown{"lost"};
  outcome<table_row> row = unknown{"lost"};
};

// Equal calls of one key at several nodes.
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
      away_ = !away_;
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
        actors_[from]->wants_send = true;
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
    if (!c.applied && !away_ && chance(0.8)) {
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
    } else if (a.wants_send && chance(0.5)) {
      a.wants_send = false;
      a.checked = a.call.may_send(now_);
      a.paused = !settling_ && chance(0.3);  // between the check and the send
    } else {
      take(n, a.call.tick(now_, wall(a)));
    }
  }

  void execute(std::size_t n) {
    actor& a = *actors_[n];
    a.checked = false;
    if (chance(0.15)) {  // no connection
      take(n, a.call.ended(now_, wall(a), execution::not_run));
      return;
    }
    a.call.sent();
    if (chance(0.1)) {
      take(n, a.call.ended(now_, wall(a), execution::not_run));  // refused by the target
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

  // All is well again: every call that did not crash has to come to its end.
  void settle() {
    away_ = false;
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
  bool away_ = false;
  bool settling_ = false;
  std::vector<std::unique_ptr<actor>> actors_;
  std::vector<table_call> calls_;
  int executions_ = 0;
};

// Symptom: two crews at one drain; or a caller who was told "not run" finds the job card done.
// Sequence: any order of lost replies, late writes, outages, pauses, crashes and equal calls.
TEST(KeyedRandom, RunsAtMostOnceAndNotRunIsTrue) {
  int executed = 0;
  int told_not_run = 0;
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
        ++told_not_run;
        ASSERT_FALSE(a->executed) << "seed " << seed;
      }
      if (r.what == kind::done) {
        ASSERT_EQ(fuzz.executions(), 1) << "seed " << seed;
      }
    }
  }
  // The sequences really reach the cases that matter.
  EXPECT_GT(executed, 1000);
  EXPECT_GT(told_not_run, 500);
  EXPECT_GT(taken_over, 100);
}

}  // namespace
}  // namespace arbutus
