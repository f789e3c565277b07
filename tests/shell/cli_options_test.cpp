// The command line: what is parsed, and what is refused with which help.
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

TEST(cli_options, a_misspelt_command_is_refused_with_the_nearest) {
  EXPECT_EQ(exit_of({"chekc"}).status, 2);
  EXPECT_THAT(exit_of({"chekc"}).text, HasSubstr("did you mean \"check\"?"));
  EXPECT_EQ(exit_of({}).status, 2);
}

TEST(cli_options, every_command_explains_itself_with_an_example) {
  for (const std::string name :
       {"node", "check", "apply", "status", "bench", "load", "trial", "standin"}) {
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

TEST(cli_options, values_arrive) {
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
  EXPECT_EQ(apply.base, 7U);
  EXPECT_EQ(apply.proposal, "p");
  EXPECT_TRUE(apply.dry_run);
  EXPECT_EQ(apply.timeout, 1500ms);
  EXPECT_EQ(parsed_as<status_options>({"status", "10.0.0.1:1", "10.0.0.1:2"}).nodes.size(), 2U);
  const auto bench = parsed_as<bench_options>(
      {"bench", "--seed", "9", "--filter", "planner", "--full", "--seconds", "0.5"});
  EXPECT_EQ(bench.seed, 9U);
  EXPECT_EQ(bench.filter, "planner");
  EXPECT_TRUE(bench.full);
  EXPECT_EQ(bench.length, 500ms);
  EXPECT_FALSE(parsed_as<bench_options>({"bench"}).full);
  const auto load = parsed_as<load_options>({"load", "--node", "10.0.0.1:1", "--key", "k",
                                             "--model", "m", "--rate", "0.5", "--stream",
                                             "--prompt-tokens", "7", "--class", "c"});
  EXPECT_EQ(load.rate, 0.5);
  EXPECT_TRUE(load.stream);
  EXPECT_EQ(load.prompt_tokens, 7U);
  EXPECT_EQ(load.answer_tokens, 50U);
  EXPECT_EQ(load.request_class, "c");
  EXPECT_FALSE(parsed_as<trial_options>({"trial"}).keep_up);
  EXPECT_TRUE(parsed_as<trial_options>({"trial", "--keep-up"}).keep_up);
  const auto standin =
      parsed_as<standin_options>({"standin", "d", "--settings", "s", "--only", "engines"});
  EXPECT_TRUE(standin.engines);
  EXPECT_FALSE(standin.platform);
  EXPECT_FALSE(standin.services);
}

TEST(cli_options, wrong_values_are_usage_errors) {
  const std::vector<std::string> load = {"load", "--node",  "10.0.0.1:1", "--key",
                                         "k",    "--model", "m"};
  const auto with = [&](const std::string& option, const std::string& value) {
    auto arguments = load;
    arguments.push_back(option);
    arguments.push_back(value);
    return exit_of(arguments);
  };
  EXPECT_EQ(exit_of(load).status, -1);
  for (const auto& [option, value] :
       std::vector<std::pair<std::string, std::string>>{{"--rate", "0"},
                                                        {"--rate", "nan"},
                                                        {"--seconds", "-1"},
                                                        {"--seconds", "1e9"},
                                                        {"--prompt-tokens", "-1"},
                                                        {"--answer-tokens", "x"},
                                                        {"--seed", "-1"},
                                                        {"--node", "localhost:80"},
                                                        {"--raet", "1"},
                                                        {"--str", "1"}}) {
    EXPECT_EQ(with(option, value).status, 2) << option << ' ' << value;
  }
  EXPECT_THAT(with("--raet", "1").text, HasSubstr("did you mean \"--rate\"?"));
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
