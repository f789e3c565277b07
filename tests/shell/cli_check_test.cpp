// Tests the `check` subcommand: findings, summary and exit status.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "cli/commands.h"

namespace arbutus {
namespace {

using testing::HasSubstr;

const std::string source = ARBUTUS_SOURCE_DIR;

struct check_run {
  int status{};
  std::string text;
};

check_run check(const std::vector<std::string>& paths, bool strict = false) {
  std::ostringstream out;
  const int status = run_check({paths, strict}, out);
  return {status, out.str()};
}

TEST(cli_check, a_valid_configuration_with_its_nodes_passes) {
  const auto run =
      check({source + "/examples/odtok", source + "/examples/odtok/nodes/hall-a-node-1.toml",
             source + "/examples/odtok/nodes/hall-c-node-2.toml"});
  EXPECT_EQ(run.text, "checked 1 configuration and 2 files: 0 errors, 0 warnings\n");
  EXPECT_EQ(run.status, 0);
}

TEST(cli_check, all_errors_are_printed_and_give_status_3) {
  const auto run = check({source + "/tests/core/data/mistakes"});
  EXPECT_EQ(run.status, 3);
  EXPECT_THAT(run.text, HasSubstr("rules.toml:18:11: error:"));
  EXPECT_THAT(run.text, HasSubstr("8 errors, 0 warnings"));
}

TEST(cli_check, single_files_are_checked_by_their_kind) {
  EXPECT_EQ(check({source + "/examples/small/inventory.csv"}).status, 0);
  EXPECT_EQ(check({source + "/examples/small/rules.toml"}).status, 0);
  EXPECT_EQ(check({source + "/examples/small/nodes/lab-a-node-1.toml"}).status, 0);
  EXPECT_EQ(check({source + "/no-such-file"}).status, 3);
}

TEST(cli_check, a_node_of_another_configuration_is_reported) {
  const auto run =
      check({source + "/examples/odtok", source + "/examples/small/nodes/lab-a-node-1.toml"});
  EXPECT_EQ(run.status, 3);
  EXPECT_THAT(run.text, HasSubstr("node \"lab-a-node-1\" is not in the inventory"));
}

TEST(cli_check, warnings_fail_only_when_strict) {
  const std::string file = testing::TempDir() + "/rules.toml";
  {
    std::ofstream out(file);
    out << "[[workspace]]\nid = \"w\"\n";
  }
  EXPECT_EQ(check({file}).status, 0);
  EXPECT_EQ(check({file}, true).status, 3);
}

}  // namespace
}  // namespace arbutus
