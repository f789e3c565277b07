// Calls with an idempotency key against a fake table: one sequence per test.
#include <gtest/gtest.h>

#include "core/request_keyed_fakes.h"
#include "request/keyed.h"

namespace arbutus {
namespace {

// Runs one call with an idempotency key, with a table that replies immediately.
struct driven_call {
  fake_table& table;
  keyed_call call;
  time_point now{};
  wall_time wall{1'000'000};
  bool send_requested = false;
  std::vector<keyed_reply> replies;
  bool table_unavailable = false;
  bool lose_replies = false;  // whether the table loses the replies to writes that took effect
  bool hold = false;  // whether calls to the table are kept in `held` instead of being answered
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
          [&](const keyed_send&) { send_requested = true; },
          [&](const keyed_reply& r) { replies.push_back(r); });
    }
  }
  void on_read(const table_read& r) {
    if (hold) {
      held.push_back(r);
      return;
    }
    const outcome<table_row> result = table_unavailable ? unknown{"away"} : table.apply(r);
    take(call.on(now, wall, table_read_result{r, result}));
  }
  void on_write(const table_write& w) {
    if (hold) {
      held.push_back(w);
      return;
    }
    outcome<table_written> result = unknown{"away"};
    if (!table_unavailable) {
      result = table.apply(w);
    }
    if (lose_replies) {
      result = unknown{"lost"};
    }
    take(call.on(now, wall, table_write_result{w, result}));
  }
  bool send() { return call.begin_send(now); }
};

using kind = keyed_reply::kind;

TEST(Keyed, RecordRoundTripsAndTruncationIsRejected) {
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

// Guards against a row of another writer that ends the process: the reader of MessagePack recurses.
TEST(Keyed, DeeplyNestedRowIsRejected) {
  EXPECT_FALSE(is_ok(decode_keyed_record(std::string(1'000'000, '\x91'))));
}

TEST(Keyed, WorkspaceAndKeyPairsHaveDistinctTableKeys) {
  EXPECT_NE(keyed_table_key(workspace_id("a"), idempotency_key("b:c")),
            keyed_table_key(workspace_id("a:b"), idempotency_key("c")));
}

TEST(Keyed, RepeatedCallGetsTheRecordedAnswer) {
  fake_table table;
  driven_call first(table, facts_of("n1", 1, time_point{} + 30s));
  first.start();
  ASSERT_TRUE(first.send_requested);
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
  EXPECT_FALSE(second.send_requested);

  driven_call other(table, facts_of("n2", 2, time_point{} + 30s, "other body"));
  other.start();
  EXPECT_EQ(other.replies.at(0).what, kind::conflict);
}

TEST(Keyed, LargeResponseIsStoredAsItsHash) {
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

// Guards against refusing a call as a duplicate of itself: the insert of its record takes effect,
// the reply is lost, and the node mistakes its own record for that of another call.
TEST(Keyed, LostWriteReplyIsResolvedByReadingBack) {
  fake_table table;
  driven_call call(table, facts_of("n1", 1, time_point{} + 30s));
  call.lose_replies = true;
  call.start();
  call.run_for(500ms);
  EXPECT_TRUE(call.send_requested);
  EXPECT_TRUE(call.send());
  EXPECT_TRUE(call.replies.empty());
}

// Guards against a call that runs twice: node 1 reserves and is paused; the caller repeats the call
// at node 2, which takes over the reservation and sends; node 1 resumes and sends, too, as it
// cannot detect its pause.
TEST(Keyed, PausedOwnerNoticesThatItWasReplaced) {
  fake_table table;
  driven_call paused(table, facts_of("n1", 1, time_point{} + 60s));
  paused.start();  // the call's record is in state `sending` from here on
  fake_table table_before_sending;
  driven_call early(table_before_sending, facts_of("n1", 1, time_point{} + 60s));
  early.hold = true;
  early.start();
  const keyed_effects insert = std::exchange(early.held, {});
  const auto& w = std::get<table_write>(insert.at(0));
  const outcome<table_written> inserted = table_before_sending.apply(w);
  early.pass(6s);

  driven_call second(table_before_sending, facts_of("n2", 1, time_point{} + 60s));
  second.pass(6s);
  second.start();
  ASSERT_TRUE(second.send()) << "a reservation without an owner is taken over";

  early.hold = false;
  early.take(early.call.on(early.now, early.wall, table_write_result{w, inserted}));
  EXPECT_FALSE(early.send());
  ASSERT_EQ(early.replies.size(), 1U);
  EXPECT_EQ(early.replies[0].what, kind::in_progress);
}

// Guards against a call that runs a minute after it was reported as not run: the record is written,
// the node is paused before the send and resumes after the send window. The permission to send has
// to expire on its own.
TEST(Keyed, PermissionToSendExpires) {
  fake_table table;
  driven_call call(table, facts_of("n1", 1, time_point{} + 60s));
  call.start();
  ASSERT_TRUE(call.send_requested);
  call.pass(2s);
  EXPECT_FALSE(call.send());
  call.tick();
  EXPECT_EQ(call.replies.at(0).what, kind::not_run);
  EXPECT_TRUE(call.call.finished());

  driven_call again(table, facts_of("n2", 1, time_point{} + 60s));
  again.start();
  EXPECT_TRUE(again.send()) << "closed as not run, so it may be tried at once";
}

// Guards against callers waiting for the entire outage of the table, and against a call that runs
// without a record.
TEST(Keyed, UnavailableTableGivesNotRun) {
  fake_table table;
  driven_call call(table, facts_of("n1", 1, time_point{} + 60s));
  call.table_unavailable = true;
  call.start();
  call.run_for(2100ms);
  ASSERT_EQ(call.replies.size(), 1U);
  EXPECT_EQ(call.replies[0].what, kind::not_run);
  EXPECT_GT(call.replies[0].retry_after, 0us);
  EXPECT_FALSE(call.send_requested);
  call.table_unavailable = false;
  call.run_for(5s);
  EXPECT_TRUE(call.call.finished());
  EXPECT_FALSE(call.send_requested);
}

// Guards against a call that was reported as not run but blocks its key, so that repeated calls get
// the answer that it may have run. The write to `sending` takes effect, its reply is lost, the
// table becomes unavailable and the node gives up; the record must not stay in `sending`.
TEST(Keyed, RecordOfUnsentCallIsClosedWhenTheTableReturns) {
  fake_table table;
  driven_call call(table, facts_of("n1", 1, time_point{} + 60s));
  call.hold = true;
  call.start();
  call.release();  // the call's record is in state `sending`
  ASSERT_TRUE(call.send_requested);
  call.table_unavailable = true;
  call.take(call.call.ended(call.now, call.wall, execution::not_run));
  EXPECT_EQ(call.replies.at(0).what, kind::not_run);
  call.run_for(3s);
  EXPECT_FALSE(call.call.finished());
  call.table_unavailable = false;
  call.run_for(3s);
  EXPECT_TRUE(call.call.finished());
  driven_call again(table, facts_of("n2", 1, time_point{} + 60s));
  again.start();
  EXPECT_TRUE(again.send());
}

// Guards against a call that was reported as not run but blocks its key: its caller disconnects
// during the write to `sending`, which takes effect after the call was given up. The reply to that
// write must not be mistaken for the reply to the write of `not_run`.
TEST(Keyed, LateMarkOfUnsentCallIsClosed) {
  fake_table table;
  driven_call call(table, facts_of("n1", 1, time_point{} + 60s));
  call.hold = true;
  call.start();
  const keyed_effects insert = std::exchange(call.held, {});
  const auto& w = std::get<table_write>(insert.at(0));
  call.take(call.call.on(call.now, call.wall, table_write_result{w, table.apply(w)}));
  ASSERT_EQ(call.held.size(), 1U) << "the write to `sending`";
  call.take(call.call.cancel(call.now, call.wall, "cancelled"));
  EXPECT_EQ(call.replies.at(0).what, kind::not_run);
  call.release();
  EXPECT_TRUE(call.call.finished());
  EXPECT_FALSE(call.send_requested);
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
  EXPECT_FALSE(later.send_requested);
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
    EXPECT_EQ(later.send_requested, wait > 24h);
  }
}

}  // namespace
}  // namespace arbutus
