// Tests the import of inventory and rules: the line and column of findings, invalid input, and the
// example files.
#include "version/import.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "version/configuration.h"
#include "version/field_text.h"
#include "version/import_csv.h"
#include "version/secret.h"
#include "version/toml_reader.h"

namespace arbutus {
namespace {

using testing::HasSubstr;

std::string text_of(const finding& f) {
  std::ostringstream out;
  out << f;
  return out.str();
}

std::string text_of(const findings& list) {
  std::ostringstream out;
  for (const finding& f : list) {
    out << f << '\n';
  }
  return out.str();
}

std::string data_file(const std::string& name) {
  std::ifstream in(std::string(ARBUTUS_SOURCE_DIR) + "/tests/core/data/" + name, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

struct expected_finding {
  std::string where;
  std::string message;
};

void expect_exactly(const findings& found, const std::vector<expected_finding>& expected) {
  EXPECT_EQ(found.size(), expected.size()) << text_of(found);
  for (const expected_finding& e : expected) {
    const bool there = std::any_of(found.begin(), found.end(), [&](const finding& f) {
      const std::string text = text_of(f);
      return text.starts_with(e.where + ':') && text.find(e.message) != std::string::npos;
    });
    EXPECT_TRUE(there) << e.where << " " << e.message << " not in\n" << text_of(found);
  }
}

import_result import_pair(const std::string& inventory_text, const std::string& rules_text) {
  return import_texts(inventory_text, "inventory.csv", rules_text, "rules.toml");
}

TEST(import, eight_mistakes_give_eight_findings_with_their_places) {
  const import_result result =
      import_pair(data_file("mistakes/inventory.csv"), data_file("mistakes/rules.toml"));
  expect_exactly(
      result.problems,
      {{"inventory.csv:5:21", "address is \"10.0.0.300:8000\""},
       {"inventory.csv:6:36", "VM \"vm-1\" is in two fabric domains"},
       {"inventory.csv:7:1", "kind \"nod\" is not known; did you mean \"node\"?"},
       {"inventory.csv:9:8", "data centre \"hall-z\" is not known; did you mean \"hall-a\"?"},
       {"rules.toml:7:1",
        "key \"vms_per_repilca\" is not known; did you mean \"vms_per_replica\"?"},
       {"rules.toml:13:15", "deadline_ms: is 0"},
       {"rules.toml:17:15", "key_hashes: an entry is no hash"},
       {"rules.toml:18:11", "model \"dispach-llm\" is not known; did you mean \"dispatch-llm\"?"}});
}

TEST(import, the_examples_have_no_findings) {
  for (const std::string name : {"odtok", "qasr", "small"}) {
    const auto directory = std::filesystem::path(ARBUTUS_SOURCE_DIR) / "examples" / name;
    const import_result result = import_directory(directory);
    EXPECT_TRUE(result.problems.empty()) << name << '\n' << text_of(result.problems);
    const auto decoded = decode_content(encode_content(result.assets, result.desired), 1);
    ASSERT_TRUE(is_ok(decoded)) << name;
    EXPECT_TRUE(std::get<configuration>(decoded).assets == result.assets) << name;
    EXPECT_TRUE(std::get<configuration>(decoded).desired == result.desired) << name;
  }
}

TEST(import, every_column_and_key_is_read) {
  const import_result result =
      import_directory(std::string(ARBUTUS_SOURCE_DIR) + "/examples/odtok");
  ASSERT_EQ(result.assets.vms.size(), 55U);
  const vm_record& vm = result.assets.vms.front();
  EXPECT_EQ(vm.id, vm_id{"hall-a-vm-01"});
  EXPECT_EQ(vm.address, (endpoint{"127.0.0.1", 21000}));
  EXPECT_EQ(vm.data_centre, data_centre_id{"hall-a"});
  EXPECT_EQ(vm.fabric_domain, fabric_domain_id{"hall-a-fabric-1"});
  EXPECT_EQ(vm.accelerators, 2U);
  EXPECT_TRUE(vm.checks_fencing_tokens);
  ASSERT_EQ(result.assets.nodes.size(), 6U);
  EXPECT_EQ(result.assets.nodes[5].caller, (endpoint{"127.0.0.1", 21405}));
  EXPECT_EQ(result.assets.data_centres[1].region, "sk-west");
  EXPECT_EQ(result.assets.services[2].service, service_id{"crew-api"});
  const rules& desired = result.desired;
  EXPECT_EQ(desired.preference.group_downtime, 4.0);
  EXPECT_EQ(desired.spare_vms_per_data_centre, 3U);
  EXPECT_EQ(desired.vm_failures_per_day, 1.2);
  EXPECT_EQ(desired.models.at(0).vms_per_replica, 3U);
  EXPECT_EQ(desired.models[0].adapters.at(1), adapter_id{"address-notes"});
  EXPECT_EQ(desired.models[0].placements.at(2).replicas, 5U);
  EXPECT_EQ(desired.services.at(0).idempotent_calls.at(1).path_prefix, "/crew/pings");
  EXPECT_EQ(desired.find_class("flood")->deadline, 15s);
  EXPECT_EQ(desired.workspaces.size(), 10U);
  ASSERT_NE(authenticate(desired, "example-crew-tablets"), nullptr);
  EXPECT_EQ(authenticate(desired, "example-crew-tablets")->id, workspace_id{"crew-tablets"});
}

// Guards against a service that every workspace may call once its last workspace is removed.
TEST(import, an_empty_list_of_workspaces_is_not_an_absent_one) {
  const auto workspaces_with = [](const std::string& line) {
    const std::string service = "[[service]]\nid = \"a\"\npath_prefix = \"/a\"\n";
    return import_rules(service + line, "r.toml").desired.services.at(0).workspaces;
  };
  EXPECT_FALSE(workspaces_with(""));
  ASSERT_TRUE(workspaces_with("workspaces = []\n"));
  EXPECT_TRUE(workspaces_with("workspaces = []\n")->empty());
  EXPECT_EQ(workspaces_with("workspaces = [\"w\"]\n")->size(), 1U);
}

TEST(import, unknown_columns_are_ignored_but_misspelt_ones_are_not) {
  const auto extra = import_inventory("kind,owner,id,region\ndata_centre,Eva,a,r\n", "i.csv");
  EXPECT_TRUE(extra.problems.empty()) << text_of(extra.problems);
  EXPECT_EQ(extra.assets.data_centres.at(0).id, data_centre_id{"a"});
  const auto misspelt = import_inventory("kind,id,regoin\ndata_centre,a,r\n", "i.csv");
  expect_exactly(misspelt.problems,
                 {{"i.csv:1:9", "did you mean \"region\"?"}, {"i.csv:2:1", "region is missing"}});
}

TEST(import, a_value_in_a_column_of_another_kind_is_a_finding) {
  const auto result = import_inventory("kind,id,region,accelerators\ndata_centre,a,r,4\n", "i.csv");
  expect_exactly(result.problems, {{"i.csv:2:17", "a data_centre has no accelerators"}});
}

TEST(import, quotes_line_ends_and_byte_order_mark_are_parsed) {
  const auto result = import_inventory(
      "\xef\xbb\xbfkind,id,region,note\r\n\"data_centre\",\"a\" , r,\"said \"\"yes\"\",\r\n"
      "twice\"\r\n\r\n# comment, with a comma\r\ndata_centre,b,r,\n",
      "i.csv");
  EXPECT_TRUE(result.problems.empty()) << text_of(result.problems);
  ASSERT_EQ(result.assets.data_centres.size(), 2U);
  EXPECT_EQ(result.places.at("data_centres/1/id").line, 6U);
  findings problems;
  const auto rows = split_csv("\"a\"\"b\r\nc\",d", "f", problems);
  EXPECT_EQ(rows.at(0).at(0).text, "a\"b\nc");
  EXPECT_EQ(rows.at(0).at(1).at, (place{"f", 2, 4}));
}

// Guards against an import that crashes or hangs because it assumes valid text, when an operator
// names the wrong file or an export is corrupt.
TEST(import, invalid_inventories_yield_findings) {
  const std::vector<expected_finding> cases = {
      {"", "the inventory is empty"},
      {"\n\r\n# nothing\n", "the inventory is empty"},
      {std::string("kind,id\nvm,\0\n", 13), "control character"},
      {"kind,id\nvm,caf\xe9\n", "no UTF-8"},
      {"kind,id\nvm,\"a\n", "never closed"},
      {"kind,id\nvm,\"a\"b\n", "after the closing quote"},
      {"kind,id\nvm,a,b,c\n", "4 fields, but 2 columns"},
      {"id\na\n", "\"kind\" is missing"},
      {"kind,id,id\n", "stands twice"},
      {"kind,id,accelerators\nvm,a,-1\n", "accelerators is \"-1\""},
      {"kind,id,accelerators\nvm,a,99999999999\n", "accelerators is"},
      {"kind,id,address\nvm,a,localhost:80\n", "address is \"localhost:80\""},
      {"kind,id,address\nvm,a,127.0.0.1:65536\n", "address is \"127.0.0.1:65536\""},
  };
  for (const auto& [text, message] : cases) {
    const auto result = import_inventory(text, "i.csv");
    EXPECT_TRUE(has_errors(result.problems));
    EXPECT_THAT(text_of(result.problems), HasSubstr(message));
  }
}

TEST(import, invalid_rules_yield_findings) {
  const std::vector<expected_finding> cases = {
      {"", "the rules are empty"},
      {"[[model]\n", "r.toml:1:"},
      {"a = 1\na = 2\n", "r.toml:2:"},
      {std::string("a = \"\0\"\n", 8), "r.toml:1:"},
      {"a = \"caf\xe9\"\n", "r.toml:1:"},
      {"model = 3\n", "model: is a whole number (expected tables, as [[model]])"},
      {"[[model]]\nid = 1979-05-27\n", "id: is a date or time"},
      {"[[model]]\nid = \"a b\"\n", "r.toml:2:6: error: [[model]] id: \"a b\" is no name"},
      {"[weights]\ngroup_downtime = -1\n", "group_downtime: is -1 (expected a number from 0"},
      {"[weights]\ngroup_downtime = nan\n", "group_downtime: is nan"},
      {"[weights]\ngroup_downtime = 0\nstranded_accelerators = 0\n", "both weights are 0"},
      {"[[class]]\nname=\"a\"\ndeadline_ms = -5\n", "deadline_ms: is -5"},
      {"[[class]]\nname=\"a\"\ndeadline_ms = 5.5\n", "deadline_ms: is a number"},
      {"[[workspace]]\nid=\"a\"\nmodels=[1]\n", "models: an entry is a whole number"},
      {"[[workspace]]\nid=\"a\"\nshare=0\n", "share: is 0 (expected a number above 0"},
      {"[[service]]\nid=\"a\"\npath_prefix=\"crew\"\n", "\"crew\" is no path"},
      {"[[service]]\nid=\"a\"\npath_prefix=\"/a\"\nidempotent_calls=[\"/a\"]\n", "is no call"},
      {"[[model]]\nid=\"a\"\nversion=\"1\"\nreplicas={a=-1}\n", "replicas a: is -1"},
      {"wieghts = 1\n", "did you mean \"weights\"?"},
  };
  for (const auto& [text, message] : cases) {
    const auto result = import_rules(text, "r.toml");
    EXPECT_TRUE(has_errors(result.problems)) << text;
    EXPECT_THAT(text_of(result.problems), HasSubstr(message));
  }
}

// Guards against a crash on a short file. Without a limit, a line with thousands of dotted keys
// gives as many nested tables, and their destruction takes a stack frame for each.
TEST(import, deep_nesting_is_a_finding) {
  std::string dotted = "a";
  for (int i = 0; i < 200'000; ++i) {
    dotted += ".a";
  }
  EXPECT_TRUE(has_errors(import_rules(dotted + " = 1\n", "r.toml").problems));
  EXPECT_TRUE(has_errors(import_rules("a = " + std::string(100'000, '['), "r.toml").problems));
}

// The nesting depth of TOML text is limited over brackets and dotted keys together, since each pair
// of brackets may hold keys with many dots. Brackets and dots inside strings and comments do not
// count.
TEST(import, nesting_is_counted_over_brackets_and_dots_together) {
  std::string dots = "a";
  for (int i = 0; i < 20; ++i) {
    dots += ".a";
  }
  const auto nested = [&](int levels) {
    std::string text = "# [[[[ a.a.a\nt = \"]]]]}}}} \\\" [.\"\n" + dots + " = ";
    std::string close = "1";
    for (int i = 1; i < levels; ++i) {
      text += "[\n{ " + dots + " = ";
      close += "}]";
    }
    return text_of(import_rules(text + close + "\n", "r.toml").problems);
  };
  EXPECT_THAT(nested(2), HasSubstr("key \"a\" is not known"));
  EXPECT_THAT(nested(3), HasSubstr("r.toml:5: error: values or keys nest too deeply"));
  EXPECT_THAT(nested(120), HasSubstr("nest too deeply"));
  std::string siblings;
  for (int i = 0; i < 100; ++i) {
    siblings += "k" + std::to_string(i) + " = [{ a.b = 1.5 }, { c.d = 2.5 }]\n";
  }
  EXPECT_EQ(text_of(import_rules(siblings, "r.toml").problems).find("nest"), std::string::npos);
}

TEST(import, the_number_of_findings_is_bounded) {
  std::string rows = "kind,id\n";
  std::string tables;
  std::string keys;
  for (int i = 0; i < 20'000; ++i) {
    keys += "k" + std::to_string(i) + " = 1\n";
    rows += "x,\xff\n";
    tables += "[[model]]\n";
  }
  EXPECT_LT(import_inventory(rows, "i.csv").problems.size(), 1100U);
  EXPECT_LT(import_rules(tables, "r.toml").problems.size(), 1100U);
  EXPECT_LT(import_rules(keys, "r.toml").problems.size(), 1100U);
}

TEST(import, a_workspace_without_a_key_is_a_warning) {
  const auto result = import_rules("[[workspace]]\nid = \"a\"\n", "r.toml");
  expect_exactly(result.problems,
                 {{"r.toml:1:1", "warning: [[workspace]] key_hashes: \"a\" has no key"}});
}

TEST(import, messages_show_no_raw_bytes_and_no_keys) {
  const auto bytes = import_inventory("kind,id\n\x1b[31mvm,a\n", "i.csv");
  EXPECT_EQ(text_of(bytes.problems).find('\x1b'), std::string::npos);
  const auto key =
      import_rules("[[workspace]]\nid=\"a\"\nkey_hashes=[\"my-secret-key\"]\n", "r.toml");
  EXPECT_EQ(text_of(key.problems).find("my-secret-key"), std::string::npos);
}

// Guards against a node that calls another address than the file shows: inet_pton() stops at a NUL
// within an address and ignores the rest.
TEST(import, endpoints_are_ip_addresses_and_ports_only) {
  EXPECT_EQ(parse_endpoint("10.0.0.1:80"), (endpoint{"10.0.0.1", 80}));
  EXPECT_EQ(parse_endpoint("[fd00::1]:65535"), (endpoint{"fd00::1", 65535}));
  for (const std::string_view text :
       {"", ":", ":80", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:+8", "10.0.0.1:80 ",
        "10.0.0:80", "fd00::1:80", "[10.0.0.1]:80", "[]:80", "host:80"}) {
    EXPECT_FALSE(parse_endpoint(text).has_value()) << text;
  }
  EXPECT_FALSE(parse_endpoint(std::string_view("10.0.0.1\0x:80", 13)).has_value());
}

class scratch_directory {
 public:
  scratch_directory() {
    std::string name = testing::TempDir() + "arbutus_import_XXXXXX";
    path_ = mkdtemp(name.data());
  }
  ~scratch_directory() { std::filesystem::remove_all(path_); }
  scratch_directory(const scratch_directory&) = delete;
  scratch_directory& operator=(const scratch_directory&) = delete;
  [[nodiscard]] const std::filesystem::path& path() const { return path_; }

 private:
  std::filesystem::path path_;
};

TEST(import, missing_and_huge_files_are_findings) {
  const scratch_directory scratch;
  const auto missing = import_directory(scratch.path());
  EXPECT_EQ(missing.problems.size(), 2U);
  EXPECT_THAT(text_of(missing.problems), HasSubstr("inventory.csv: error: there is no such file"));
  std::ofstream(scratch.path() / inventory_file_name) << std::string(50U << 20U, 'x');
  std::filesystem::create_directory(scratch.path() / rules_file_name);
  const auto huge = import_directory(scratch.path());
  EXPECT_THAT(text_of(huge.problems), HasSubstr("is too large (expected at most 4194304 bytes)"));
  EXPECT_THAT(text_of(huge.problems), HasSubstr("is a directory"));
}

TEST(import, one_missing_file_does_not_hide_the_mistakes_of_the_other) {
  const scratch_directory scratch;
  std::ofstream(scratch.path() / rules_file_name) << "wieghts = 1\n";
  const auto result = import_directory(scratch.path());
  EXPECT_THAT(text_of(result.problems), HasSubstr("did you mean \"weights\"?"));
  EXPECT_THAT(text_of(result.problems), HasSubstr("there is no such file"));
}

}  // namespace
}  // namespace arbutus
