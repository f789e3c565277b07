// Tests of node settings: defaults, every key, and errors with their positions in the file.
#include "process/settings.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace arbutus {
namespace {

using testing::HasSubstr;

const std::string minimal_settings = R"([node]
id = "n1"
data_centre = "hall-a"
[listen]
callers = "127.0.0.1:21400"
links = "127.0.0.1:21300"
[platform]
table = "127.0.0.1:21500"
objects = "127.0.0.1:21500"
vms = "127.0.0.1:21500"
)";

std::string problems_of(const std::string& text) {
  std::ostringstream out;
  for (const finding& f : load_settings(text, "n.toml").problems) {
    out << f << '\n';
  }
  return out.str();
}

TEST(settings, minimal_settings_load_with_defaults) {
  const settings_result result = load_settings(minimal_settings, "n.toml");
  EXPECT_EQ(problems_of(minimal_settings), "");
  EXPECT_EQ(result.settings.id, node_id{"n1"});
  EXPECT_EQ(result.settings.data_centre, data_centre_id{"hall-a"});
  EXPECT_EQ(result.settings.listen.link_endpoint, (endpoint{"127.0.0.1", 21300}));
  EXPECT_EQ(result.settings.limits.header_bytes, 16U * 1024);
  EXPECT_EQ(result.settings.log.level, log_level::info);
  EXPECT_FALSE(result.settings.timing.load_balancer_lag.has_value());
}

TEST(settings, every_key_is_read) {
  const settings_result result = load_settings(minimal_settings + R"(
[[peer]]
id = "n2"
data_centre = "hall-b"
link = "[::1]:21301"
caller = "127.0.0.1:21401"
[limits]
header_bytes = 2048
body_bytes = 4096
connections = 7
buffered_bytes = 2000000
header_timeout_ms = 1
body_timeout_ms = 2
idle_timeout_ms = 3
write_timeout_ms = 4
[log]
level = "debug"
format = "json"
[threads]
workers = 3
[timing]
balancer_lag_ms = 70
stop_limit_ms = 80
)",
                                               "n.toml");
  EXPECT_TRUE(result.problems.empty());
  const node_settings& s = result.settings;
  ASSERT_EQ(s.peers.size(), 1U);
  EXPECT_EQ(s.peers[0].id, node_id{"n2"});
  EXPECT_EQ(s.peers[0].data_centre, data_centre_id{"hall-b"});
  EXPECT_EQ(s.peers[0].link, (endpoint{"::1", 21301}));
  EXPECT_EQ(s.peers[0].caller, (endpoint{"127.0.0.1", 21401}));
  EXPECT_EQ(s.limits.header_bytes, 2048U);
  EXPECT_EQ(s.limits.body_bytes, 4096U);
  EXPECT_EQ(s.limits.connections, 7U);
  EXPECT_EQ(s.limits.buffered_bytes, 2000000U);
  EXPECT_EQ(s.limits.header_timeout, 1ms);
  EXPECT_EQ(s.limits.body_timeout, 2ms);
  EXPECT_EQ(s.limits.idle_timeout, 3ms);
  EXPECT_EQ(s.limits.write_timeout, 4ms);
  EXPECT_EQ(s.log.level, log_level::debug);
  EXPECT_EQ(s.log.format, log_format::json);
  EXPECT_EQ(s.workers, 3U);
  EXPECT_EQ(s.timing.load_balancer_lag, 70ms);
  EXPECT_EQ(s.timing.planned_stop_timeout, 80ms);
}

TEST(settings, mistakes_are_reported_together) {
  const std::string found = problems_of(R"([node]
id = "n 1"
[listen]
callers = "localhost:80"
links = 21300
[limts]
[log]
level = "wraning"
[threads]
workers = -1
)");
  EXPECT_THAT(found, HasSubstr("n.toml:2:6: error: [node] id: \"n 1\" is no name"));
  EXPECT_THAT(found, HasSubstr("n.toml:1:1: error: [node] data_centre: is missing"));
  EXPECT_THAT(found, HasSubstr("n.toml:4:11: error: [listen] callers: \"localhost:80\" is no"));
  EXPECT_THAT(found, HasSubstr("n.toml:5:9: error: [listen] links: is a whole number"));
  EXPECT_THAT(found, HasSubstr("error: platform: is missing (expected a table, as [platform])"));
  EXPECT_THAT(found, HasSubstr("n.toml:6:2: error: key \"limts\" is not known; did you mean "
                               "\"limits\"?"));
  EXPECT_THAT(found, HasSubstr("n.toml:8:9: error: [log] level \"wraning\" is not known; did you "
                               "mean \"warning\"?"));
  EXPECT_THAT(found, HasSubstr("n.toml:10:11: error: [threads] workers: is -1"));
  EXPECT_EQ(std::count(found.begin(), found.end(), '\n'), 8) << found;
}

TEST(settings, peers_and_endpoints_must_differ) {
  const std::string peer = "[[peer]]\nid = \"n2\"\ndata_centre = \"hall-b\"\n";
  const std::string found = problems_of(
      minimal_settings + peer + "link = \"127.0.0.1:21400\"\ncaller = \"127.0.0.1:1\"\n" + peer +
      "link = \"127.0.0.1:2\"\ncaller = \"127.0.0.1:3\"\n[[peer]]\nid = \"n1\"\n" +
      "data_centre = \"a\"\nlink = \"127.0.0.1:4\"\ncaller = \"127.0.0.1:5\"\n");
  EXPECT_THAT(found, HasSubstr("n.toml:14:8: error: endpoint 127.0.0.1:21400 is taken at line 5"));
  EXPECT_THAT(found, HasSubstr("id: \"n2\" is listed already"));
  EXPECT_THAT(found, HasSubstr("id: \"n1\" is this node itself"));
}

// Guards against a value that is not the hash of any key, which would lock operators out without an
// error.
TEST(settings, the_operators_key_is_a_hash) {
  const std::string hash(64, 'a');
  EXPECT_EQ(load_settings(minimal_settings + "[operators]\nkey_hash = \"" + hash + "\"\n", "n.toml")
                .settings.operator_key_hash,
            hash);
  EXPECT_THAT(problems_of(minimal_settings + "[operators]\nkey_hash = \"secret\"\n"),
              HasSubstr("n.toml:12:12: error: [operators] key_hash"));
}

// Guards against a setting for timing that all nodes of a data centre must share: it cannot be set
// for one node.
TEST(settings, shared_timing_is_not_a_setting) {
  EXPECT_THAT(problems_of(minimal_settings + "[timing]\nprobe_ms = 500\n"), HasSubstr("probe_ms"));
}

TEST(settings, invalid_text_yields_findings) {
  EXPECT_THAT(problems_of(""), HasSubstr("the settings are empty"));
  EXPECT_THAT(problems_of("[node"), HasSubstr("n.toml:1:"));
  EXPECT_THAT(problems_of(std::string("\0\xff", 2)), HasSubstr("n.toml:1:"));
  EXPECT_THAT(problems_of("node = 1\nlisten = []\nplatform = \"x\"\n"),
              HasSubstr("platform: is a text (expected a table, as [platform])"));
}

TEST(settings, windows_line_ends_are_read) {
  std::string text;
  for (const char c : minimal_settings) {
    text += c == '\n' ? "\r\n" : std::string(1, c);
  }
  EXPECT_EQ(problems_of(text), "");
}

TEST(settings, the_settings_of_the_examples_load) {
  std::size_t files = 0;
  for (const std::string name : {"odtok", "qasr", "small"}) {
    const std::string nodes = std::string(ARBUTUS_SOURCE_DIR) + "/examples/" + name + "/nodes";
    for (const auto& file : std::filesystem::directory_iterator(nodes)) {
      std::ifstream in(file.path());
      const std::string text{std::istreambuf_iterator<char>(in), {}};
      EXPECT_EQ(problems_of(text), "") << file.path();
      EXPECT_EQ(load_settings(text, "n.toml").settings.peers.size(), 5U);
      ++files;
    }
  }
  EXPECT_EQ(files, 18U);
}

TEST(settings, differences_from_the_inventory_are_findings) {
  const node_settings settings = load_settings(minimal_settings, "n.toml").settings;
  inventory assets;
  EXPECT_THAT(compare_settings(settings, assets, "n.toml").at(0).message,
              HasSubstr("\"n1\" is not in the inventory"));
  assets.nodes = {
      {node_id{"n1"}, data_centre_id{"hall-a"}, {"127.0.0.1", 21300}, {"127.0.0.1", 21400}}};
  EXPECT_TRUE(compare_settings(settings, assets, "n.toml").empty());
  assets.nodes[0].caller.port = 80;
  assets.nodes[0].data_centre = data_centre_id{"hall-b"};
  EXPECT_EQ(compare_settings(settings, assets, "n.toml").size(), 2U);
}

TEST(settings, level_names_round_trip) {
  EXPECT_EQ(parse_log_level(to_string(log_level::warning)), log_level::warning);
  EXPECT_FALSE(parse_log_level("loud").has_value());
}

}  // namespace
}  // namespace arbutus
