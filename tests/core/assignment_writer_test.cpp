// Tests of how one node reads and writes the assignment row, with scripted answers of the table.
#include "process/assignment_writer.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace arbutus {
namespace {

using namespace std::chrono_literals;

const data_centre_id hall{"hall-a"};
const node_id self{"n0"};
const std::vector<node_id> alone{self};

assignment row_of(std::uint64_t version, const char* proposal = "other") {
  assignment a;
  a.data_centre = hall;
  a.version = version;
  a.proposal = proposal_id{proposal};
  replica_plan r;
  r.id = replica_id{"r"};
  r.members = {vm_id{"a"}};
  r.fencing_generation = {.row = 1, .step = 0, .lost = 0};
  a.replicas = {r};
  return a;
}

class assignment_writing : public ::testing::Test {
 protected:
  void tick(duration d = 100ms) {
    now_ += d;
    for (effect& e : writer_.tick(now_, alone)) {
      effects_.push_back(std::move(e));
    }
  }
  void answer_read(std::uint64_t table_version, const std::optional<assignment>& row) {
    const table_row value{row ? encode(*row) : "", table_version};
    (void)writer_.on(now_, table_read_result{{row_key(hall)}, value});
  }
  void fail_read() {
    (void)writer_.on(now_, table_read_result{{row_key(hall)}, unknown{"timeout"}});
  }
  // Returns the last write of the row that the writer requested, if any; clears the collected
  // effects.
  std::optional<table_write> take_write() {
    std::optional<table_write> found;
    for (const effect& e : effects_) {
      if (const auto* w = std::get_if<table_write>(&e)) {
        found = *w;
      }
    }
    effects_.clear();
    return found;
  }
  void propose(assignment next) { effects_ = writer_.propose(now_, std::move(next)); }

  time_point now_{1s};
  assignment_writer writer_{self, hall, 1};
  effects effects_;
};

TEST_F(assignment_writing, first_row_must_not_exist_yet) {
  tick();
  answer_read(0, std::nullopt);
  ASSERT_TRUE(writer_.row_missing_in_table());
  propose(row_of(1));
  const auto write = take_write();
  ASSERT_TRUE(write);
  EXPECT_EQ(write->expected, 0U);
  (void)writer_.on(now_, table_write_result{*write, table_written{1}});
  EXPECT_EQ(writer_.row().version, 1U);
  EXPECT_EQ(writer_.counters().writes_won, 1U);
}

// Guards against adopting an outdated row: the node reads version 7, then the table is restored and
// returns version 4. A later read does not always return a newer version.
TEST_F(assignment_writing, keeps_the_newest_version_and_rewrites_a_restored_copy) {
  tick();
  answer_read(7, row_of(7));
  tick(2s);
  answer_read(4, row_of(4));
  EXPECT_EQ(writer_.row().version, 7U);
  tick(500ms);  // sends the second read, which has to confirm the older version
  EXPECT_FALSE(take_write());
  answer_read(4, row_of(4));
  tick(500ms);
  const auto write = take_write();
  ASSERT_TRUE(write);
  EXPECT_EQ(write->expected, 4U);
  const auto rewritten = std::get<assignment>(decode_assignment(write->value));
  EXPECT_EQ(rewritten.version, 7U + row_restore_version_gap);
  EXPECT_EQ(rewritten.replicas, row_of(7).replicas);
}

// Guards against mistaking an outdated read for a restored copy: the answer to a read arrives after
// the reply to a later write.
TEST_F(assignment_writing, outdated_read_is_not_a_restored_copy) {
  tick();
  answer_read(3, row_of(3));
  tick(2s);  // sends a read of the row that is answered later
  propose(row_of(4));
  const auto write = take_write();
  ASSERT_TRUE(write);
  (void)writer_.on(now_, table_write_result{*write, table_written{4}});
  answer_read(3, row_of(3));
  tick(500ms);
  EXPECT_FALSE(take_write());
  answer_read(4, std::get<assignment>(decode_assignment(write->value)));
  tick(500ms);
  EXPECT_FALSE(take_write());
  EXPECT_EQ(writer_.row().version, 4U);
}

// Guards against making a change twice: a write takes effect but its reply is lost, and the row
// contains the proposal. An unknown outcome must not be handled as a refusal.
TEST_F(assignment_writing, lost_reply_is_resolved_by_reading_back) {
  tick();
  answer_read(3, row_of(3));
  propose(row_of(4));
  const auto write = take_write();
  ASSERT_TRUE(write);
  now_ += 900ms;
  const effects next = writer_.on(now_, table_write_result{*write, unknown{"timeout"}});
  ASSERT_EQ(next.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<table_read>(next.front()));
  EXPECT_TRUE(writer_.unwritable(now_));
  answer_read(4, std::get<assignment>(decode_assignment(write->value)));
  EXPECT_EQ(writer_.counters().writes_won, 1U);
  EXPECT_EQ(writer_.counters().writes_lost, 0U);
  EXPECT_FALSE(writer_.unwritable(now_));
}

TEST_F(assignment_writing, lost_race_is_counted_and_waits) {
  tick();
  answer_read(3, row_of(3));
  propose(row_of(4));
  const auto write = take_write();
  ASSERT_TRUE(write);
  (void)writer_.on(now_, table_write_result{*write, refused{"version"}});
  answer_read(4, row_of(4, "theirs"));
  EXPECT_EQ(writer_.counters().writes_lost, 1U);
  EXPECT_EQ(writer_.row().proposal, proposal_id{"theirs"});
  EXPECT_FALSE(writer_.may_propose(now_));
  EXPECT_TRUE(writer_.may_propose(now_ + row_write_backoff_first));
}

// Guards against a newly started node that plans from an outdated row: it reads version 4 while a
// peer reports 9, because the table was restored or the read was answered late.
TEST_F(assignment_writing, proposes_nothing_while_behind) {
  tick();
  answer_read(4, row_of(4));
  writer_.note_peer_version(now_, 9);
  EXPECT_TRUE(writer_.newer_version_known());
  EXPECT_FALSE(writer_.may_propose(now_ + 1min));
}

// Guards against targets that refuse every order forever: they obey version 9, while table and
// nodes know only version 4. The content of version 9 is lost, but its tokens are still in force.
TEST_F(assignment_writing, lost_content_is_rewritten_above_the_version_targets_obey) {
  tick();
  answer_read(4, row_of(4));
  writer_.note_target_version(now_, 9);
  for (int i = 0; i < 60; ++i) {
    tick();
    answer_read(4, row_of(4));
    if (const auto write = take_write()) {
      const auto row = std::get<assignment>(decode_assignment(write->value));
      EXPECT_EQ(row.version, 9U + row_restore_version_gap);
      EXPECT_EQ(row.replicas.front().fencing_generation.row, row.version);
      EXPECT_GE(now_, time_point{1s} + lost_content_timeout);
      return;
    }
  }
  FAIL() << "never written";
}

TEST_F(assignment_writing, unresponsive_table_counts_as_not_writable) {
  tick();
  tick(row_reply_timeout);
  EXPECT_TRUE(writer_.unreadable_since());
  EXPECT_TRUE(writer_.unwritable(now_));
  answer_read(1, row_of(1));
  EXPECT_FALSE(writer_.unwritable(now_));
}

TEST_F(assignment_writing, adopts_only_newer_copies_from_peers) {
  fail_read();
  EXPECT_TRUE(writer_.adopt(now_, row_of(5)));
  EXPECT_FALSE(writer_.adopt(now_, row_of(5, "another")));
  EXPECT_FALSE(writer_.adopt(now_, row_of(4)));
  EXPECT_EQ(writer_.row().version, 5U);
}

}  // namespace
}  // namespace arbutus
