// Tests of the platform's stand-ins: their behaviour, and that each of their faults is observable.
#include <gtest/gtest.h>

#include "standin/object_standin.h"
#include "standin/table_standin.h"
#include "standin/vm_list_standin.h"
#include "standin/weight_standin.h"

namespace arbutus::standin {
namespace {

constexpr time_point start{100s};

TEST(standin_table, writes_only_at_the_expected_version) {
  table_standin table;
  EXPECT_EQ(table.read(start, "dc/a").status, store_status::missing);
  const table_reply first = table.write(start, "dc/a", "one", 0);
  ASSERT_EQ(first.status, store_status::ok);
  EXPECT_EQ(table.write(start, "dc/a", "two", 0).status, store_status::conflict);
  const table_reply second = table.write(start, "dc/a", "two", first.row.version);
  EXPECT_EQ(second.status, store_status::ok);
  EXPECT_GT(second.row.version, first.row.version);
  EXPECT_EQ(table.write(start, "dc/a", "three", first.row.version).row, second.row);
  EXPECT_EQ(table.read(start, "dc/a").row.value, "two");
}

TEST(standin_table, erased_row_is_recreated_with_a_higher_version) {
  table_standin table;
  const auto first = table.write(start, "k", "one", 0).row.version;
  EXPECT_EQ(table.erase(start, "k", first + 1).status, store_status::conflict);
  EXPECT_EQ(table.erase(start, "k", first).status, store_status::ok);
  EXPECT_EQ(table.read(start, "k").status, store_status::missing);
  EXPECT_GT(table.write(start, "k", "two", 0).row.version, first);
}

TEST(standin_table, lists_by_prefix) {
  table_standin table;
  for (const char* key : {"a/1", "a/2", "b/1"}) {
    table.write(start, key, "", 0);
  }
  EXPECT_EQ(table.list(start, "a/").keys, (std::vector<std::string>{"a/1", "a/2"}));
  EXPECT_EQ(table.list(start, "c").keys, std::vector<std::string>{});
}

// The connection to the table breaks after a write took effect and before the reply: the writer
// gets no response, and its retry conflicts with its own write.
TEST(standin_table, loses_the_reply_after_the_write_took_effect) {
  table_standin table;
  table.faults().lose_replies = 1;
  EXPECT_EQ(table.write(start, "k", "mine", 0).status, store_status::no_response);
  EXPECT_EQ(table.read(start, "k").row.value, "mine");
  EXPECT_EQ(table.write(start, "k", "mine", 0).status, store_status::conflict);
  EXPECT_EQ(table.counters().lost_replies, 1U);
}

TEST(standin_table, loses_the_request_without_effect) {
  table_standin table;
  table.faults().lose_requests = 1;
  EXPECT_EQ(table.write(start, "k", "mine", 0).status, store_status::no_response);
  EXPECT_EQ(table.read(start, "k").status, store_status::missing);
  EXPECT_EQ(table.write(start, "k", "mine", 0).status, store_status::ok);
}

TEST(standin_table, loses_about_the_configured_fraction_of_replies) {
  table_standin table;
  table.faults().lose_fraction = 0.25;
  for (int i = 0; i < 1000; ++i) {
    table.write(start, std::to_string(i), "", 0);
  }
  EXPECT_EQ(table.counters().writes, 1000U);
  EXPECT_NEAR(static_cast<double>(table.counters().lost_replies), 250.0, 60.0);
}

TEST(standin_table, is_down_until_the_outage_ends) {
  table_standin table;
  table.faults().down_until = start + 5s;
  EXPECT_EQ(table.write(start, "k", "", 0).status, store_status::down);
  EXPECT_EQ(table.read(start + 4s, "k").status, store_status::down);
  EXPECT_EQ(table.read(start + 5s, "k").status, store_status::missing);
  EXPECT_EQ(table.counters().refused, 2U);
}

TEST(standin_table, limits_writes_but_not_reads) {
  table_standin table;
  table.faults().writes_per_second = 10;
  int done = 0;
  for (int i = 0; i < 100; ++i) {
    done += table.write(start, std::to_string(i), "", 0).status == store_status::ok ? 1 : 0;
  }
  EXPECT_EQ(done, 10);
  EXPECT_EQ(table.read(start, "0").status, store_status::ok);
  EXPECT_EQ(table.write(start + 100ms, "x", "", 0).status, store_status::ok);
  EXPECT_EQ(table.write(start + 100ms, "y", "", 0).status, store_status::limited);
}

TEST(standin_table, cuts_off_one_data_centre_only) {
  table_standin table;
  table.faults().cut_off.emplace("hall-a");
  EXPECT_EQ(table.write(start, "k", "", 0, data_centre_id{"hall-a"}).status,
            store_status::no_response);
  EXPECT_EQ(table.read(start, "k", data_centre_id{"hall-b"}).status, store_status::missing);
}

// The stand-in table restores its version counter with the rows: a backup is taken, a row is
// written, the backup is restored and the row is written again. Both contents then have the same
// version.
TEST(standin_table, reuses_versions_after_an_old_copy_was_restored) {
  table_standin table;
  table.write(start, "k", "one", 0);
  const table_copy backup = table.snapshot();
  const auto lost = table.write(start, "k", "two", 1).row;
  table.restore(backup);
  EXPECT_EQ(table.read(start, "k").row.value, "one");
  EXPECT_EQ(table.write(start, "k", "other", 1).row.version, lost.version);
}

TEST(standin_objects, keep_content_and_share_the_faults) {
  object_standin objects;
  EXPECT_EQ(objects.get(start, "x").status, store_status::missing);
  objects.faults().lose_replies = 1;
  EXPECT_EQ(objects.put(start, "x", "content").status, store_status::no_response);
  EXPECT_EQ(objects.get(start, "x").content, "content");
  objects.faults().down = true;
  EXPECT_EQ(objects.get(start, "x").status, store_status::down);
}

TEST(standin_weights, share_one_rate) {
  weight_standin weights(100.0);
  EXPECT_EQ(weights.load_time(start, 200), duration(2s));
  EXPECT_EQ(weights.load_time(start + 1s, 100), duration(2s));
  EXPECT_EQ(weights.load_time(start + 10s, 100), duration(1s));
}

TEST(standin_vm_list, shows_each_change_after_the_lag) {
  vm_list_standin list;
  list.set_lag(3s);
  const vm_id vm{"a1"};
  list.set(start, vm, vm_presence::live);
  list.set(start + 10s, vm, vm_presence::leaving);
  list.set(start + 20s, vm, vm_presence::removed);
  EXPECT_TRUE(list.read(start + 2s).empty());
  EXPECT_FALSE(list.read(start + 12s).at(0).leaving);
  EXPECT_TRUE(list.read(start + 13s).at(0).leaving);
  EXPECT_EQ(list.read(start + 22s).size(), 1U);
  EXPECT_TRUE(list.read(start + 23s).empty());
}

}  // namespace
}  // namespace arbutus::standin
