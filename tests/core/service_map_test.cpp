// Tests lookups of services and routes in an accepted version of the configuration.
#include "version/service_map.h"

#include <gtest/gtest.h>

namespace arbutus {
namespace {

route make_route(std::string name, std::string host, std::string prefix) {
  route r;
  r.name = std::move(name);
  r.host = std::move(host);
  r.prefix = std::move(prefix);
  r.shares = {{service_id{"s"}, 1}};
  return r;
}

service_map sample() {
  return {7,
          {make_route("short", "a.example", "/x/"), make_route("long", "a.example", "/x/y/"),
           make_route("other", "b.example", "/")},
          {},
          std::vector<workspace_spec>{{workspace_id{"desk"}, {"k1", "k2"}, 1}},
          {}};
}

TEST(ServiceMap, TakesTheLongestPrefixOfTheHost) {
  const service_map map = sample();
  EXPECT_EQ(map.find_route("a.example", "/x/1")->name, "short");
  EXPECT_EQ(map.find_route("A.example:8080", "/x/y/1")->name, "long");
  EXPECT_EQ(map.find_route("a.example", "/xy"), nullptr);
  EXPECT_EQ(map.find_route("c.example", "/x/"), nullptr);
}

TEST(ServiceMap, KnowsEachKeyOfAWorkspace) {
  const service_map map = sample();
  EXPECT_EQ(map.find_workspace("k1"), map.find_workspace("k2"));
  EXPECT_EQ(map.find_workspace("k3"), nullptr);
}

TEST(ServiceMap, SplitsByWeightAndKeepsASubjectWithItsService) {
  route r = make_route("split", "a", "/");
  r.shares = {{service_id{"big"}, 90}, {service_id{"small"}, 10}};
  int big = 0;
  for (int i = 0; i < 1000; ++i) {
    const std::string id = "request-" + std::to_string(i);
    EXPECT_EQ(pick_service(r, id), pick_service(r, id));
    big += pick_service(r, id)->str() == "big" ? 1 : 0;
  }
  EXPECT_NEAR(big, 900, 40);
}

TEST(ServiceMap, AWeightOfZeroGetsNothing) {
  route r = make_route("split", "a", "/");
  r.shares = {{service_id{"off"}, 0}, {service_id{"on"}, 5}};
  for (int i = 0; i < 100; ++i) {
    EXPECT_EQ(pick_service(r, std::to_string(i))->str(), "on");
  }
}

}  // namespace
}  // namespace arbutus
