// Encoding and decoding of configuration content and head, and authentication of callers by API
// key.
#include "version/configuration.h"

#include <gtest/gtest.h>

#include <limits>

#include "version/secret.h"

namespace arbutus {
namespace {

inventory full_inventory() {
  inventory assets;
  assets.data_centres = {{data_centre_id{"hall-a"}, "sk-west"}};
  assets.vms = {{vm_id{"vm-1"},
                 {"127.0.0.1", 21000},
                 data_centre_id{"hall-a"},
                 fabric_domain_id{"fab-1"},
                 4,
                 false}};
  assets.nodes = {
      {node_id{"n1"}, data_centre_id{"hall-a"}, {"127.0.0.1", 21300}, {"127.0.0.1", 21400}}};
  assets.services = {{service_id{"crew-api"}, data_centre_id{"hall-a"}, {"127.0.0.1", 21200}}};
  return assets;
}

rules full_rules() {
  rules desired;
  model_rule model;
  model.id = model_id{"dispatch-llm"};
  model.version = "2";
  model.vms_per_replica = 3;
  model.accelerators_per_vm = 2;
  model.slots = 9;
  model.may_cross_fabric_domains = true;
  model.rank = 7;
  model.adapters = {adapter_id{"brief"}};
  model.placements = {{data_centre_id{"hall-a"}, 5}};
  desired.models = {model};
  desired.services = {{service_id{"crew-api"},
                       "/crew",
                       {{"GET", "/crew/cards"}},
                       std::vector<workspace_id>{workspace_id{"w"}}}};
  desired.workspaces = {
      {workspace_id{"w"}, {sha256_hex("key-w")}, {model_id{"dispatch-llm"}}, 2.5, 0.1, 30}};
  desired.classes = {{"interactive", 1, 12345678us, 1500ms}};
  desired.preference = {4.0, 0.3};
  desired.spare_vms_per_data_centre = 2;
  desired.standbys_per_replica = 1;
  desired.vm_failures_per_day = 0.7;
  desired.vm_repair_hours = 3.25;
  return desired;
}

std::string reason(const outcome<configuration>& result) {
  const auto* no = std::get_if<refused>(&result);
  return no == nullptr ? "" : no->reason;
}

TEST(configuration, content_round_trips_with_every_field_set) {
  const auto decoded = decode_content(encode_content(full_inventory(), full_rules()), 42);
  const auto* value = std::get_if<configuration>(&decoded);
  ASSERT_NE(value, nullptr) << reason(decoded);
  EXPECT_EQ(value->version, 42U);
  EXPECT_TRUE(value->assets == full_inventory());
  EXPECT_TRUE(value->desired == full_rules());
}

// Guards against a service that every workspace may call once its last workspace is removed.
TEST(configuration, a_service_without_any_workspace_keeps_its_empty_list) {
  const workspace_id w{"w"};
  rules desired = full_rules();
  std::optional<std::vector<workspace_id>>& listed = desired.services[0].workspaces;
  for (const auto& list :
       {std::optional<std::vector<workspace_id>>{}, std::optional(std::vector<workspace_id>{}),
        std::optional(std::vector<workspace_id>{w})}) {
    listed = list;
    const auto decoded = decode_content(encode_content(full_inventory(), desired), 1);
    const auto* value = std::get_if<configuration>(&decoded);
    ASSERT_NE(value, nullptr) << reason(decoded);
    EXPECT_EQ(value->desired.services[0].workspaces, list);
    EXPECT_EQ(value->desired.services[0].may_be_called_by(w), !list || !list->empty());
    EXPECT_EQ(value->desired.services[0].may_be_called_by(workspace_id{"v"}), !list);
  }
}

// Guards against a service that nobody may call after an upgrade: earlier releases wrote an empty
// list where all may.
TEST(configuration, an_empty_list_of_an_earlier_release_lets_all_workspaces_call) {
  rules desired = full_rules();
  desired.services[0].workspaces.reset();
  const std::string content = encode_content(full_inventory(), desired);
  EXPECT_NE(content.find(R"("workspaces":[])"), std::string::npos);
  EXPECT_EQ(content.find("lists_workspaces"), std::string::npos);
  const auto decoded = decode_content(content, 1);
  EXPECT_FALSE(std::get<configuration>(decoded).desired.services[0].workspaces);
}

TEST(configuration, equal_values_give_equal_bytes) {
  const std::string once = encode_content(full_inventory(), full_rules());
  const auto decoded = decode_content(once, 1);
  const auto& value = std::get<configuration>(decoded);
  EXPECT_EQ(encode_content(value.assets, value.desired), once);
}

TEST(configuration, head_round_trips) {
  const config_head head{7, "abc", {proposal_id{"p2"}, proposal_id{"p1"}}};
  EXPECT_TRUE(std::get<config_head>(decode_head(encode(head))) == head);
}

// Guards against a node that crashes, or runs with a part of a configuration, when the store
// returns truncated or changed bytes and the decoder does not validate them.
TEST(configuration, every_truncation_is_refused) {
  const std::string whole = encode_content(full_inventory(), full_rules());
  for (std::size_t length = 0; length < whole.size(); ++length) {
    EXPECT_FALSE(is_ok(decode_content(whole.substr(0, length), 1))) << length;
  }
}

TEST(configuration, damage_is_refused_with_its_place) {
  std::string port = encode_content(full_inventory(), full_rules());
  port.replace(port.find("21000"), 5, "86536");
  EXPECT_NE(reason(decode_content(port, 1)).find("vms: address: port"), std::string::npos)
      << reason(decode_content(port, 1));
  std::string format = encode_content({}, {});
  format.replace(format.find("\"format\":1"), 10, "\"format\":2");
  EXPECT_NE(reason(decode_content(format, 1)).find("format 2"), std::string::npos);
  EXPECT_FALSE(is_ok(decode_content(std::string(1 << 20, '['), 1)));
  EXPECT_FALSE(is_ok(decode_content("[1,2]", 1)));
  EXPECT_FALSE(is_ok(decode_head("{\"version\":-1,\"hash\":\"\",\"proposals\":[]}")));
}

TEST(configuration, encoding_never_throws) {
  inventory assets = full_inventory();
  assets.vms[0].id = vm_id{"\xff\xfe"};
  rules desired = full_rules();
  desired.vm_failures_per_day = std::numeric_limits<double>::quiet_NaN();
  EXPECT_NO_THROW((void)encode_content(assets, desired));
  EXPECT_FALSE(is_ok(decode_content(encode_content(assets, desired), 1)));
}

TEST(secret, sha256_matches_the_published_vector) {
  EXPECT_EQ(sha256_hex("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST(secret, compares_content_and_length) {
  EXPECT_TRUE(equal_constant_time("", ""));
  EXPECT_TRUE(equal_constant_time("abc", "abc"));
  EXPECT_FALSE(equal_constant_time("abc", "abd"));
  EXPECT_FALSE(equal_constant_time("abc", "ab"));
  EXPECT_FALSE(equal_constant_time("ab", "abc"));
}

TEST(secret, a_key_opens_its_own_workspace_only) {
  rules desired = full_rules();
  desired.workspaces.push_back({workspace_id{"v"}, {sha256_hex("old"), sha256_hex("new")}, {}});
  const workspace_rule* found = authenticate(desired, "new");
  ASSERT_NE(found, nullptr);
  EXPECT_EQ(found->id, workspace_id{"v"});
  ASSERT_NE(authenticate(desired, "key-w"), nullptr);
  EXPECT_EQ(authenticate(desired, "key-w")->id, workspace_id{"w"});
  EXPECT_EQ(authenticate(desired, "other"), nullptr);
  // An empty API key is refused even if its hash is in the rules, which a script with an empty
  // variable may have put there.
  desired.workspaces.push_back({workspace_id{"u"}, {sha256_hex("")}, {}});
  EXPECT_EQ(authenticate(desired, ""), nullptr);
  // The hash of a key is not accepted as the key.
  EXPECT_EQ(authenticate(desired, sha256_hex("new")), nullptr);
}

}  // namespace
}  // namespace arbutus
