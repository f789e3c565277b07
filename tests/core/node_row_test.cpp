// Tests the encoding of the rows of nodes in the platform's store.
#include "process/node_row.h"

#include <gtest/gtest.h>

namespace arbutus {
namespace {

const node_id id{"edge-1"};

TEST(NodeRow, RoundTrips) {
  node_row row;
  row.record = {id, data_centre_id{"lab-a"}, {"10.0.0.1", 7000}, {}};
  row.record.strength = {250, 100};
  row.record.relay = {"10.0.0.1", 7001};
  row.first_start = std::chrono::milliseconds{5};
  const auto back = decode_node_row(id, encode(row));
  ASSERT_TRUE(back);
  EXPECT_EQ(back->record, row.record);
  EXPECT_EQ(back->first_start, row.first_start);
}

TEST(NodeRow, ARowOfAnEarlierReleaseTellsNoStart) {
  const auto row = decode_node_row(id, R"(["lab-a","10.0.0.1:7000"])");
  ASSERT_TRUE(row);
  EXPECT_EQ(row->first_start, std::chrono::milliseconds{0});
  EXPECT_TRUE(row->record.relay.host.empty());
}

// Guards against numbers that are cut to another valid one.
TEST(NodeRow, NumbersThatDoNotFitCountAsAbsent) {
  const auto row = decode_node_row(
      id, R"(["lab-a","10.0.0.1:7000",4294967297,1,"10.0.0.1:70001",18446744073709551615])");
  ASSERT_TRUE(row);
  EXPECT_EQ(row->record.strength, node_strength{});
  EXPECT_TRUE(row->record.relay.host.empty());
  EXPECT_EQ(row->first_start, std::chrono::milliseconds{0});
}

TEST(NodeRow, OddTextIsNoRow) {
  const std::string nested = std::string(200'000, '[') + std::string(200'000, ']');
  for (const std::string& text :
       {std::string{}, std::string("{"), std::string("7"), std::string(R"(["lab-a"])"),
        std::string(R"(["lab-a","10.0.0.1:70000"])"), std::string(R"([1,"10.0.0.1:1"])"), nested,
        "[\"lab-a\"," + nested + "]"}) {
    EXPECT_FALSE(decode_node_row(id, text)) << text.substr(0, 40);
  }
}

}  // namespace
}  // namespace arbutus
