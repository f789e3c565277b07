// Tests requests whose route or workspace allows some regions only, over real sockets in one
// process.
#include "hosted_place_fixture.h"

namespace arbutus::testing_support {
namespace {

using standin::path_state;
using region_names = std::vector<std::string>;

constexpr std::string_view reason = "no target is in a region that the request allows";
constexpr duration load_time = 1500ms;

class HostedRegions : public hosted_place_fixture {
 protected:
  explicit HostedRegions(const standin::hosted_platform_settings& settings =
                             two_places({{"lab-a", "east"}, {"lab-b", "west"}}))
      : hosted_place_fixture(settings) {}

  // Returns a time from which on the lists apply at all nodes.
  time_point allow(const region_names& of_routes, const region_names& of_workspace) {
    const double version = metric(0, "arbutusworks_config_version");
    platform_.write_allowed_regions(of_routes, of_workspace);
    EXPECT_TRUE(all_report("arbutusworks_config_version", version + 1));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    return monotonic_now();
  }

  // Sends a call as if the node with this name had handed it over.
  http_response hand_over_from(const std::string& name, std::size_t to) {
    http_request request = make_request(stream_path, next_id(to));
    request.headers.add("X-Arbutus-Relay", "0 1 " + name);
    call_result result;
    runtime.run_on(0, [&] {
      result = client_.fetch(local(nodes_[to]->settings.listen.relay_endpoint.port), request,
                             monotonic_now() + 4s);
    });
    return result.response;
  }
};

struct list_case {
  const char* name;
  region_names of_routes;
  region_names of_workspace;
};

// Without this, the name of a test shows the addresses in the case, which differ in each run.
void PrintTo(const list_case& tested, std::ostream* out) {
  *out << tested.name;
}

class HostedRegionLists : public HostedRegions, public testing::WithParamInterface<list_case> {};

// Guards against streams for a region that the route or the workspace does not allow.
TEST_P(HostedRegionLists, StreamsStayInTheAllowedRegion) {
  ASSERT_TRUE(both_places_serve());
  const time_point from = allow(GetParam().of_routes, GetParam().of_workspace);
  const std::map<int, int> answers = send_load(load_time, stream_path);
  EXPECT_EQ(arrivals_in("lab-a", from), 0U);
  EXPECT_GT(arrivals_in("lab-b", from), 0U);
  EXPECT_EQ(answers.size(), 1U);
  EXPECT_TRUE(answers.contains(200));
}

INSTANTIATE_TEST_SUITE_P(Of, HostedRegionLists,
                         testing::Values(list_case{"Route", {"west"}, {}},
                                         list_case{"Workspace", {}, {"west"}},
                                         list_case{"Both", {"east", "west"}, {"west", "north"}}),
                         [](const auto& tested) { return std::string(tested.param.name); });

// Guards against requests that are served anyway, or wait, where nothing is allowed.
TEST_F(HostedRegions, RefusedWhereNothingIsAllowed) {
  ASSERT_TRUE(both_places_serve());
  for (const auto& [of_routes, of_workspace] :
       {std::pair<region_names, region_names>{{"north"}, {}}, {{"east"}, {"west"}}}) {
    const time_point from = allow(of_routes, of_workspace);
    expect_refused(0, stream_path, reason);
    expect_refused(1, stream_path, reason);
    expect_refused(0, call_path, reason);
    EXPECT_EQ(arrivals_in("lab-a", from) + arrivals_in("lab-b", from), 0U);
  }
  EXPECT_GE(metric(0, "arbutusworks_region_refusals{result=\"refused\"}"), 4);
}

// Guards against calls of a plain service whose only instance is in another region.
TEST_F(HostedRegions, CallsStayInTheAllowedRegion) {
  ASSERT_TRUE(both_places_serve());
  const time_point from = allow({"west"}, {});
  expect_refused(1, call_path, reason);
  EXPECT_EQ(arrivals_in("lab-a", from), 0U);
  allow({"east"}, {});
  EXPECT_EQ(ask(1, call_path).response.status, 200);
}

// Guards against a stream that is resumed in another region when its head ends.
TEST_F(HostedRegions, StreamsAreResumedInTheAllowedRegion) {
  ASSERT_TRUE(both_places_serve());
  const time_point from = allow({"west"}, {});
  const std::string head = start_stream_in("lab-b", 0);
  platform_.kill_engine(head);
  expect_whole_stream();
  EXPECT_EQ(arrivals_in("lab-a", from), 0U);
}

// Guards against a second run in another region beside a silent one.
TEST_F(HostedRegions, SecondRunsBeginInTheAllowedRegion) {
  ASSERT_TRUE(both_places_serve());
  const time_point from = allow({"west"}, {});
  const std::string head = start_stream_in("lab-b", 0);
  platform_.set_silent(head, true);
  expect_whole_stream();
  platform_.set_silent(head, false);
  EXPECT_NE(platform_.engine_of_run(stream_id_), head);
  EXPECT_EQ(arrivals_in("lab-a", from), 0U);
}

// Guards against a retry in another region after the targets of the allowed one have turned the
// request away.
TEST_F(HostedRegions, RetriesStayInTheAllowedRegion) {
  ASSERT_TRUE(both_places_serve());
  const time_point from = allow({}, {"west"});
  for (int i = 0; i < 9; ++i) {
    platform_.set_behaviour("i-lab-b-" + std::to_string(i), {true, "", false});
  }
  send_load(load_time, stream_path);
  EXPECT_GT(arrivals_in("lab-b", from), 0U);
  EXPECT_EQ(arrivals_in("lab-a", from), 0U);
}

// Guards against a call that no allowed node may take over and that is lost although one may, or
// that the node which takes it over sends to another region.
TEST_F(HostedRegions, CallsAreHandedOverToAnAllowedRegion) {
  ASSERT_TRUE(both_places_serve());
  const time_point from = allow({"west"}, {});
  platform_.set_paths(0, path_state::silent);
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  const std::map<int, int> answers = send_load(load_time, stream_path, 1);
  platform_.set_paths(0, path_state::open);
  EXPECT_TRUE(answers.contains(200));
  EXPECT_EQ(arrivals_in("lab-a", from), 0U);
}

// Guards against a body that is sent to a node in a region that is neither allowed nor that of the
// caller's node.
TEST_F(HostedRegions, BodiesAreNotHandedOverToOtherRegions) {
  ASSERT_TRUE(both_places_serve());
  allow({"east"}, {});
  const double before = metric(1, "arbutusworks_taken_over{taken=\"yes\"}");
  platform_.set_paths(0, path_state::silent);
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  const std::map<int, int> answers = send_load(load_time, stream_path, 1);
  platform_.set_paths(0, path_state::open);
  EXPECT_TRUE(answers.contains(503));
  EXPECT_FALSE(answers.contains(200));
  EXPECT_EQ(metric(1, "arbutusworks_taken_over{taken=\"yes\"}"), before);
}

// Guards against a node that takes over a call which an older configuration of the other node
// allowed there.
TEST_F(HostedRegions, NodeThatTakesACallOverChecksItsOwnRegion) {
  ASSERT_TRUE(both_places_serve());
  allow({"east"}, {});
  const http_response declined = hand_over_from("edge-0", 1);
  EXPECT_EQ(declined.status, 503);
  EXPECT_EQ(declined.headers.find("X-Arbutus-Relay-Decline"), "unfit");
  allow({"west"}, {});
  EXPECT_EQ(hand_over_from("edge-0", 1).status, 200);
}

class HostedRegionsOfOne : public HostedRegions {
 protected:
  HostedRegionsOfOne() : HostedRegions(two_places({{"lab-b", "west"}})) {}
};

// Guards against a data centre without a region that is allowed for every request.
TEST_F(HostedRegionsOfOne, DataCentreWithoutRegionServesUnrestrictedRequestsOnly) {
  ASSERT_TRUE(both_places_serve());
  const time_point from = allow({"west"}, {});
  const std::map<int, int> answers = send_load(load_time, stream_path);
  EXPECT_EQ(answers.size(), 1U);
  EXPECT_TRUE(answers.contains(200));
  EXPECT_EQ(arrivals_in("lab-a", from), 0U);
}

}  // namespace
}  // namespace arbutus::testing_support
