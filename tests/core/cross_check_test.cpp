// Tests of the checks across records of a configuration, such as references to missing ones. Each
// case breaks one thing in a valid configuration.
#include "version/cross_check.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <functional>
#include <sstream>

#include "version/secret.h"

namespace arbutus {
namespace {

using testing::HasSubstr;

const data_centre_id hall_a{"hall-a"};
const data_centre_id hall_b{"hall-b"};

struct test_config {
  inventory assets;
  rules desired;
};

void add_vm(inventory& assets, const std::string& id, const data_centre_id& dc,
            const std::string& domain) {
  const auto port = static_cast<std::uint16_t>(8000 + assets.vms.size());
  assets.vms.push_back({vm_id{id}, {"10.0.0.1", port}, dc, fabric_domain_id{domain}, 2, true});
}

test_config valid_config() {
  test_config b;
  b.assets.data_centres = {{hall_a, "sk-west"}, {hall_b, "sk-west"}};
  add_vm(b.assets, "a1", hall_a, "fab-a");
  add_vm(b.assets, "a2", hall_a, "fab-a");
  add_vm(b.assets, "b1", hall_b, "fab-b1");
  add_vm(b.assets, "b2", hall_b, "fab-b2");
  b.assets.nodes = {{node_id{"n1"}, hall_a, {"10.0.1.1", 1}, {"10.0.1.1", 2}},
                    {node_id{"n2"}, hall_b, {"10.0.1.2", 1}, {"10.0.1.2", 2}}};
  b.assets.services = {{service_id{"crew-api"}, hall_a, {"10.0.2.1", 1}}};
  model_rule model;
  model.id = model_id{"dispatch-llm"};
  model.vms_per_replica = 2;
  model.accelerators_per_vm = 2;
  model.placements = {{hall_a, 1}};
  b.desired.models = {model};
  b.desired.services = {{service_id{"crew-api"}, "/crew", {{"GET", "/crew/cards"}}, {}}};
  b.desired.workspaces = {{workspace_id{"w"}, {sha256_hex("w")}, {model.id}}};
  b.desired.classes = {{"interactive", 0, 30s, 2s}};
  return b;
}

std::string check(const test_config& b) {
  std::ostringstream out;
  for (const finding& f : cross_check(b.assets, b.desired, {})) {
    out << f << '\n';
  }
  return out.str();
}

TEST(cross_check, a_valid_configuration_has_no_findings) {
  EXPECT_EQ(check(valid_config()), "");
}

struct defect {
  const char* name;
  std::function<void(test_config&)> apply;
  const char* expected;
};

class each_defect : public testing::TestWithParam<defect> {};

TEST_P(each_defect, is_found_and_nothing_else) {
  test_config b = valid_config();
  GetParam().apply(b);
  const std::string found = check(b);
  EXPECT_THAT(found, HasSubstr(GetParam().expected));
  EXPECT_EQ(std::count(found.begin(), found.end(), '\n'), 1) << found;
}

const defect defects[] = {
    {"vm_listed_twice", [](test_config& b) { add_vm(b.assets, "a1", hall_a, "fab-a"); },
     "vms/4/id: error: VM \"a1\" is listed already"},
    {"vm_in_two_domains", [](test_config& b) { add_vm(b.assets, "a1", hall_a, "fab-x"); },
     "in two fabric domains, \"fab-x\" here and \"fab-a\""},
    {"domain_in_two_data_centres", [](test_config& b) { add_vm(b.assets, "b3", hall_b, "fab-a"); },
     "fabric domain \"fab-a\" is in data centre \"hall-a\""},
    {"node_named_as_vm", [](test_config& b) { b.assets.nodes[0].id = node_id{"a1"}; },
     "the name \"a1\" of this node is taken"},
    {"service_named_as_model",
     [](test_config& b) {
       b.assets.services[0].service = service_id{"dispatch-llm"};
       b.desired.services[0].id = service_id{"dispatch-llm"};
     },
     "the name \"dispatch-llm\" of this service is taken"},
    {"data_centre_twice",
     [](test_config& b) {
       b.assets.data_centres.push_back({hall_a, "r"});
     },
     "of this data centre is taken"},
    {"workspace_twice",
     [](test_config& b) {
       b.desired.workspaces.push_back({workspace_id{"w"}, {sha256_hex("v")}, {}});
     },
     "of this workspace is taken"},
    {"class_twice", [](test_config& b) { b.desired.classes.push_back(b.desired.classes[0]); },
     "class \"interactive\" is listed already"},
    {"endpoints_equal", [](test_config& b) { b.assets.nodes[1].caller = b.assets.vms[0].address; },
     "nodes/1/caller: error: endpoint 10.0.0.1:8000 is taken"},
    {"unknown_data_centre_of_vm",
     [](test_config& b) { add_vm(b.assets, "c", data_centre_id{"x"}, "f"); },
     "data centre \"x\" is not known"},
    {"unknown_data_centre_of_model",
     [](test_config& b) {
       b.desired.models[0].placements.push_back({data_centre_id{"hall-q"}, 0});
     },
     "data centre \"hall-q\" is not known; did you mean \"hall-a\"?"},
    {"unknown_service",
     [](test_config& b) {
       b.assets.services.push_back({service_id{"crew-ap"}, hall_a, {"10.0.2.2", 1}});
     },
     "service \"crew-ap\" is not known; did you mean \"crew-api\"?"},
    {"unknown_workspace",
     [](test_config& b) { b.desired.services[0].workspaces.emplace(1, workspace_id{"other"}); },
     "workspace \"other\" is not known"},
    {"unknown_model",
     [](test_config& b) { b.desired.workspaces[0].models = {model_id{"dispatch-lm"}}; },
     "model \"dispatch-lm\" is not known; did you mean \"dispatch-llm\"?"},
    {"shared_key",
     [](test_config& b) {
       b.desired.workspaces.push_back({workspace_id{"v"}, {sha256_hex("w")}, {}});
     },
     "the key belongs to workspace \"w\" already"},
    {"no_caller", [](test_config& b) { b.desired.services[0].workspaces.emplace(); },
     "no workspace may call service \"crew-api\""},
    {"no_target", [](test_config& b) { b.assets.services.clear(); }, "has no target"},
    {"no_node", [](test_config& b) { b.assets.nodes.pop_back(); }, "has no node"},
    {"no_placement", [](test_config& b) { b.desired.models[0].placements.clear(); },
     "placed nowhere"},
    {"first_token_late", [](test_config& b) { b.desired.classes[0].first_token = 31s; },
     "after the deadline"},
    {"prefix_of_models",
     [](test_config& b) {
       b.desired.services[0].path_prefix = "/v1/crew";
       b.desired.services[0].idempotent_calls.clear();
     },
     "belongs to the models' own interface"},
    {"prefix_twice",
     [](test_config& b) {
       b.desired.services.push_back({service_id{"other"}, "/crew", {}, {}});
       b.assets.services.push_back({service_id{"other"}, hall_a, {"10.0.2.2", 1}});
     },
     "path \"/crew\" is taken"},
    {"prefix_below_another",
     [](test_config& b) {
       b.desired.services.push_back({service_id{"other"}, "/crew/x/y", {}, {}});
       b.assets.services.push_back({service_id{"other"}, hall_a, {"10.0.2.2", 1}});
     },
     "path \"/crew/x/y\" is below \"/crew\""},
    {"call_outside",
     [](test_config& b) { b.desired.services[0].idempotent_calls[0].path_prefix = "/crews"; },
     "is not below the service's path"},
    {"too_few_vms", [](test_config& b) { b.desired.models[0].vms_per_replica = 3; },
     "can never fit: 2 such VMs are there (expected 3 VMs with 2 accelerators each"},
    {"too_few_accelerators", [](test_config& b) { b.desired.models[0].accelerators_per_vm = 3; },
     "can never fit: 0 such VMs are there"},
    {"larger_than_any_domain",
     [](test_config& b) {
       b.desired.models[0].placements = {{hall_b, 1}};
     },
     "larger than any fabric domain (largest: 1 such VMs) and may not cross"},
    {"too_many_positions", [](test_config& b) { b.desired.standbys_per_replica = 31; },
     "members and standbys of a replica are more than 32"},
};

INSTANTIATE_TEST_SUITE_P(cross_check, each_defect, testing::ValuesIn(defects),
                         [](const auto& tested) { return std::string(tested.param.name); });

TEST(cross_check, a_replica_that_may_cross_fits_over_domains) {
  test_config b = valid_config();
  b.desired.models[0].placements = {{hall_b, 1}};
  b.desired.models[0].may_cross_fabric_domains = true;
  EXPECT_EQ(check(b), "");
}

TEST(cross_check, paths_that_only_begin_alike_do_not_overlap) {
  test_config b = valid_config();
  b.desired.services.push_back({service_id{"other"}, "/crews", {}, {}});
  b.assets.services.push_back({service_id{"other"}, hall_a, {"10.0.2.2", 1}});
  EXPECT_EQ(check(b), "");
}

TEST(cross_check, placements_beyond_capacity_warn_once) {
  test_config b = valid_config();
  b.desired.models[0].placements = {{hall_a, 2}};
  const findings found = cross_check(b.assets, b.desired, {});
  ASSERT_EQ(found.size(), 1U);
  EXPECT_EQ(found[0].level, severity::warning);
  EXPECT_THAT(found[0].message, HasSubstr("2 replicas wanted, at most 1 fit"));
}

TEST(cross_check, models_that_fit_alone_but_not_together_warn) {
  test_config b = valid_config();
  b.desired.models.push_back(b.desired.models[0]);
  b.desired.models[1].id = model_id{"other-llm"};
  EXPECT_THAT(check(b), HasSubstr("the models want 4 VMs in \"hall-a\", which has 2"));
}

}  // namespace
}  // namespace arbutus
