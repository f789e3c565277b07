// Tests the summaries of capacity that data centres send each other: how often they are sent, and
// how long they are valid.
#include "process/summaries.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace arbutus {
namespace {

constexpr time_point start{100s};

data_centre_id data_centre(std::size_t i) {
  return data_centre_id{"dc-" + std::to_string(100 + i)};
}

inventory make(std::size_t data_centres, std::size_t nodes_each) {
  inventory assets;
  for (std::size_t d = 0; d < data_centres; ++d) {
    assets.data_centres.push_back({data_centre(d), "r"});
    for (std::size_t n = 0; n < nodes_each; ++n) {
      assets.nodes.push_back(
          {node_id{data_centre(d).str() + "-" + std::to_string(10 + n)}, data_centre(d), {}, {}});
    }
  }
  return assets;
}

// Number of summaries that one node sends in a minute, by receiver.
std::map<node_id, int> sent_in_a_minute(const inventory& assets) {
  summary_board board(assets.nodes[0].id, data_centre(0));
  std::map<node_id, int> sent;
  for (time_point now = start; now < start + 60s; now += 100ms) {
    for (const node_id& to : board.due_recipients(now, assets)) {
      ++sent[to];
    }
  }
  return sent;
}

int total(const std::map<node_id, int>& sent) {
  int sum = 0;
  for (const auto& [to, count] : sent) {
    sum += count;
  }
  return sum;
}

// Guards against idle nodes that exceed their traffic budget in a deployment of 16 data centres,
// which occurs if the interval does not depend on their number.
TEST(Summaries, ANodeSendsNoMoreThanTwoASecondHoweverManyDataCentresThereAre) {
  EXPECT_EQ(total(sent_in_a_minute(make(3, 2))), 60) << "both others every 2 s";
  const int many = total(sent_in_a_minute(make(16, 21)));
  EXPECT_LE(many, 120 + 15);
  EXPECT_GE(many, 120 - 15);
}

// Guards against remote capacity that disappears and returns, which occurs if a summary expires
// when the next two are lost.
TEST(Summaries, TwoLostSummariesInARowDoNotExpireTheRemoteCapacity) {
  for (const std::size_t data_centres : {3UL, 16UL}) {
    const inventory assets = make(data_centres, 2);
    summary_board board(assets.nodes[0].id, data_centre(0));
    summary s;
    s.data_centre = data_centre(1);
    s.models = {{model_id{"m"}, 4, 0ms}};
    board.receive(start, s);
    const duration interval = summary_interval_for(assets);
    EXPECT_EQ(board.remote_capacities(start + 3 * interval, assets).size(), 1U) << data_centres;
    EXPECT_TRUE(board.remote_capacities(start + 6 * interval, assets).empty()) << data_centres;
  }
}

}  // namespace
}  // namespace arbutus
