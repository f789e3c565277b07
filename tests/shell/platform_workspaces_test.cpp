// Tests how the list of workspaces is read from the platform's configuration.
#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

#include "platform/documents.h"

namespace arbutus {
namespace {

// A version with one route and this list of workspaces; empty: it has none.
std::string document_with(std::uint64_t version, const std::string& workspaces) {
  const std::string list = workspaces.empty() ? "" : R"(,"tenants":)" + workspaces;
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"r","hostname":"a.example","prefix":"/a/","route-type":"safe",)"
         R"("service":"s"}],"services":[{"name":"s"}])" +
         list + "}";
}

constexpr const char* one_workspace = R"([{"name":"desk","api-keys":["k"]}])";

// Guards against an empty list that is taken for none, in whole reads.
TEST(PlatformWorkspaces, AnEmptyListIsAList) {
  EXPECT_TRUE(read_service_map(document_with(1, "[]")).map->has_workspaces());
  EXPECT_TRUE(read_service_map(document_with(1, one_workspace)).map->has_workspaces());
  EXPECT_FALSE(read_service_map(document_with(1, "")).map->has_workspaces());
}

// Guards against a list that the version before had, or had not, where only changes are read.
TEST(PlatformWorkspaces, EachVersionHasItsOwnList) {
  struct step {
    const char* workspaces;
    bool has_list;
    bool knows_key;
  };
  const std::vector<step> steps = {
      {"", false, false},          {"[]", true, false},
      {one_workspace, true, true}, {"[]", true, false},
      {one_workspace, true, true}, {"", false, false},
      {one_workspace, true, true}, {R"([{"name":"desk"}])", true, false},
      {"[]", true, false},         {"", false, false}};
  service_map_reader reader;
  std::uint64_t version = 0;
  for (const step& s : steps) {
    const auto map = reader.read(document_with(++version, s.workspaces)).map;
    ASSERT_TRUE(map) << version;
    EXPECT_EQ(map->has_workspaces(), s.has_list) << version;
    EXPECT_EQ(map->find_workspace("k") != nullptr, s.knows_key) << version;
  }
}

// Guards against a list that cannot be read and is left out, so that everybody is served.
TEST(PlatformWorkspaces, AVersionWhoseListCannotBeReadIsRefused) {
  for (const char* list : {"{}", "7", "\"desk\"", "[7]", R"([{"api-keys":["k"]}])"}) {
    EXPECT_FALSE(read_service_map(document_with(1, list)).map) << list;
    EXPECT_FALSE(service_map_reader().read(document_with(1, list)).map) << list;
  }
}

}  // namespace
}  // namespace arbutus
