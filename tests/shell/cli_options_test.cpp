// Tests the command line: parsed options, and the messages for invalid ones.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "cli/options.h"

namespace arbutus {
namespace {

using testing::HasSubstr;

early_exit exit_of(const std::vector<std::string>& arguments) {
  const auto parsed = parse_command_line(arguments);
  const auto* e = std::get_if<early_exit>(&parsed);
  return e == nullptr ? early_exit{-1, "parsed"} : *e;
}

template <class Options>
Options parsed_as(const std::vector<std::string>& arguments) {
  const auto parsed = parse_command_line(arguments);
  if (const auto* e = std::get_if<early_exit>(&parsed)) {
    ADD_FAILURE() << e->text;
    return {};
  }
  return std::get<Options>(std::get<command>(parsed));
}

TEST(cli_options, a_misspelt_command_is_refused_with_a_suggestion) {
  EXPECT_EQ(exit_of({"chekc"}).status, 2);
  EXPECT_THAT(exit_of({"chekc"}).text, HasSubstr("did you mean \"check\"?"));
  EXPECT_EQ(exit_of({}).status, 2);
}

TEST(cli_options, every_command_has_help_with_an_example) {
  for (const std::string name : {"node", "check", "apply", "status", "bench", "load", "trial",
                                 "standin", "hosted", "explain"}) {
    for (const auto& arguments : {std::vector<std::string>{name, "--help"}, {"help", name}}) {
      const early_exit help = exit_of(arguments);
      EXPECT_EQ(help.status, 0) << name;
      EXPECT_THAT(help.text, HasSubstr("Usage: arbutusworks " + name));
      EXPECT_THAT(help.text, HasSubstr("Examples:\n  arbutusworks " + name));
    }
    EXPECT_THAT(exit_of({"--help"}).text, HasSubstr("\n  " + name + ' '));
  }
  EXPECT_EQ(exit_of({"--version"}).text, "arbutusworks " ARBUTUS_VERSION "\n");
}

TEST(cli_options, values_are_parsed) {
  EXPECT_EQ(parsed_as<node_options>({"node", "n.toml"}).settings_file, "n.toml");
  const auto check = parsed_as<check_options>({"check", "a", "b", "--strict"});
  EXPECT_EQ(check.paths, (std::vector<std::string>{"a", "b"}));
  EXPECT_TRUE(check.strict);
  const auto apply = parsed_as<apply_options>({"apply", "d", "--node", "10.0.0.1:1", "--node",
                                               "[::1]:2", "--key", "k", "--base", "7", "--proposal",
                                               "p", "--dry-run", "--timeout", "1.5"});
  EXPECT_EQ(apply.directory, "d");
  EXPECT_EQ(apply.nodes, (std::vector<endpoint>{{"10.0.0.1", 1}, {"::1", 2}}));
  EXPECT_EQ(apply.key, "k");
  EXPECT_EQ(apply.base_version, 7U);
  EXPECT_EQ(apply.proposal, "p");
  EXPECT_TRUE(apply.dry_run);
  EXPECT_EQ(apply.timeout, 1500ms);
  EXPECT_EQ(parsed_as<status_options>({"status", "10.0.0.1:1", "10.0.0.1:2"}).nodes.size(), 2U);
  const auto bench = parsed_as<bench_options>(
      {"bench", "--seed", "9", "--filter", "planner", "--full", "--seconds", "0.5"});
  EXPECT_EQ(bench.seed, 9U);
  EXPECT_EQ(bench.filter, "planner");
  EXPECT_TRUE(bench.full);
  EXPECT_EQ(bench.measurement_length, 500ms);
  EXPECT_FALSE(parsed_as<bench_options>({"bench"}).full);
  const auto load = parsed_as<load_options>(
      {"load", "e.toml", "--variant", "a", "--variant", "b", "--out", "d", "--seed", "7"});
  EXPECT_EQ(load.experiment_file, "e.toml");
  EXPECT_EQ(load.variants, (std::vector<std::string>{"a", "b"}));
  EXPECT_EQ(load.out_directory, "d");
  EXPECT_EQ(load.seed, 7U);
  EXPECT_FALSE(load.json);
  EXPECT_TRUE(parsed_as<load_options>({"load", "e.toml", "--json"}).json);
  EXPECT_FALSE(parsed_as<trial_options>({"trial"}).keep_nodes_running);
  EXPECT_TRUE(parsed_as<trial_options>({"trial", "--keep-up"}).keep_nodes_running);
  const auto standin =
      parsed_as<standin_options>({"standin", "d", "--settings", "s", "--only", "engines"});
  EXPECT_TRUE(standin.engines);
  EXPECT_FALSE(standin.platform);
  EXPECT_FALSE(standin.services);
}

TEST(cli_options, wrong_values_are_usage_errors) {
  const auto with = [](const std::vector<std::string>& before, const std::string& option,
                       const std::string& value) {
    auto arguments = before;
    arguments.push_back(option);
    arguments.push_back(value);
    return exit_of(arguments);
  };
  const std::vector<std::string> load = {"load", "e.toml"};
  const std::vector<std::string> apply = {"apply", "d", "--node", "10.0.0.1:1"};
  const std::vector<std::string> bench = {"bench"};
  EXPECT_EQ(exit_of(load).status, -1);
  EXPECT_EQ(exit_of(apply).status, -1);
  EXPECT_EQ(exit_of(bench).status, -1);
  EXPECT_EQ(exit_of({"load"}).status, 2);
  EXPECT_EQ(exit_of({"load", "a", "b"}).status, 2);
  for (const auto& [option, value] : std::vector<std::pair<std::string, std::string>>{
           {"--seed", "-1"}, {"--seed", "x"}, {"--seeed", "1"}, {"--var", "x"}}) {
    EXPECT_EQ(with(load, option, value).status, 2) << option << ' ' << value;
  }
  for (const auto& [option, value] :
       std::vector<std::pair<std::string, std::string>>{{"--timeout", "0"},
                                                        {"--timeout", "nan"},
                                                        {"--timeout", "1e9"},
                                                        {"--base", "-1"},
                                                        {"--base", "x"},
                                                        {"--node", "localhost:80"}}) {
    EXPECT_EQ(with(apply, option, value).status, 2) << option << ' ' << value;
  }
  EXPECT_EQ(with(bench, "--seconds", "-1").status, 2);
  EXPECT_EQ(with(bench, "--seconds", "nan").status, 2);
  EXPECT_THAT(with(load, "--seeed", "1").text, HasSubstr("did you mean \"--seed\"?"));
  EXPECT_EQ(exit_of({"check"}).text.find("arbutusworks: an argument is missing"), 0U);
  EXPECT_THAT(exit_of({"apply", "d"}).text, HasSubstr("--node\" is missing"));
  EXPECT_EQ(exit_of({"apply", "d", "--node", "10.0.0.1:1", "--base", "-1"}).status, 2);
  EXPECT_EQ(exit_of({"trial", "a"}).status, 2);
  EXPECT_EQ(exit_of({"bench", "--seed", "-1"}).status, 2);
  EXPECT_EQ(exit_of({"bench", "--seconds", "0"}).status, 2);
  EXPECT_EQ(exit_of({"standin", "d", "--settings", "s", "--only", "x"}).status, 2);
}

}  // namespace
}  // namespace arbutus
