// Tests which headers of a caller reach targets and peers, on each way that a request is rewritten.
#include <gtest/gtest.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "platform/http_fields.h"

namespace arbutus {
namespace {

using namespace std::chrono_literals;

constexpr const char* relay_header_name = "X-Arbutus-Relay";

// A caller's header and its values at the receiver; empty: it does not arrive.
struct header_case {
  std::string name;
  std::string sent;
  std::optional<std::string> at_target;
  std::optional<std::string> at_peer;
};

const std::vector<header_case> header_cases = {
    {"Accept", "text/event-stream", "text/event-stream", "text/event-stream"},
    {"Cookie", "a=1", "a=1", "a=1"},
    {"Host", "f.example", "f.example", "f.example"},
    {"X-Length-Hint", "70", "70", "70"},
    {"X-Model", "m0", "m0", "m0"},
    {"X-Prefix-Hash", "5c1e07a2:800,e4402b7d:250", "5c1e07a2:800,e4402b7d:250",
     "5c1e07a2:800,e4402b7d:250"},
    {"X-Request-Id", "b7e2", "b7e2", "b7e2"},
    {"X-Token-Count", "1460,80", "1460,80", "1460,80"},
    {"X-Expect-Version", "3", "3", "3"},
    // Set by the node that sends the request to the target.
    {"X-Deadline-Ms", "8000", "1500", "1500"},
    {"X-Expect-Instance", "forged", "i-7", "forged"},
    {"X-Request-Priority", "0", "4", "0"},
    {"X-Tenant", "forged", "desk", "forged"},
    // The peer checks the key; no target receives it.
    {"Authorization", "Bearer k1", std::nullopt, "Bearer k1"},
    // Only nodes speak with this header.
    {relay_header_name, "0 1 edge-9", std::nullopt, std::nullopt},
    // Of one connection.
    {"Connection", "keep-alive", std::nullopt, std::nullopt},
    {"Keep-Alive", "timeout=5", std::nullopt, std::nullopt},
    {"Proxy-Authorization", "Basic x", std::nullopt, "Basic x"},
    {"TE", "trailers", std::nullopt, std::nullopt},
    {"Upgrade", "h2c", std::nullopt, std::nullopt},
};

constexpr const char* resume_header = "Last-Event-Id";
constexpr const char* event_of_caller = "12";
constexpr const char* later_event = "17";

http_request request_of_caller() {
  http_request request;
  request.method = "POST";
  request.target = "/a/2f?x=1";
  request.body = "body";
  for (const header_case& header : header_cases) {
    request.headers.add(header.name, header.sent);
  }
  request.headers.add(resume_header, event_of_caller);
  return request;
}

forwarded_fields fields_of_node() {
  forwarded_fields fields;
  fields.target = target_id{"i-7"};
  fields.time_left = 1500ms;
  fields.workspace = workspace_id{"desk"};
  fields.urgency = 4;
  return fields;
}

http_request send_to_target(const http_request& request) {
  return make_target_request(request, fields_of_node());
}

// A run that goes on behind an event that this node has passed on to the caller.
http_request resume_at_target(const http_request& request) {
  forwarded_fields fields = fields_of_node();
  fields.resume_after = later_event;
  return make_target_request(request, fields);
}

http_request hand_over(const http_request& request) {
  return make_relay_request(request, 1500ms, {});
}

http_request resume_at_peer(const http_request& request) {
  return make_relay_request(request, 1500ms, later_event);
}

struct rewrite_case {
  const char* name;
  std::function<http_request(const http_request&)> rewrite;
  bool is_for_target;
  const char* last_event;
};

// Without this, the name of a test shows the addresses in the case, which differ in each run.
void PrintTo(const rewrite_case& tested, std::ostream* out) {
  *out << tested.name;
}

const std::vector<rewrite_case> rewrite_cases = {
    {"Send", send_to_target, true, event_of_caller},
    {"ResumedRun", resume_at_target, true, later_event},
    {"HandOver", hand_over, false, event_of_caller},
    {"HandOverOfAResumedRun", resume_at_peer, false, later_event},
    {"SendAfterHandOver", [](const http_request& r) { return send_to_target(hand_over(r)); }, true,
     event_of_caller},
    {"SendAfterHandOverOfAResumedRun",
     [](const http_request& r) { return send_to_target(resume_at_peer(r)); }, true, later_event},
};

std::vector<std::string> values_of(const http_request& request, const std::string& name) {
  std::vector<std::string> values;
  for (const auto& [field, value] : request.headers) {
    if (equal_ignoring_case(field, name)) {
      values.push_back(value);
    }
  }
  return values;
}

class ForwardedHeaders : public testing::TestWithParam<rewrite_case> {};

// Guards against a header that a caller sends and that one of the ways to a target leaves out.
TEST_P(ForwardedHeaders, ArriveUnlessTheyConcernOneConnectionOrTheNodeSetsThem) {
  const http_request out = GetParam().rewrite(request_of_caller());
  EXPECT_EQ(out.method, "POST");
  EXPECT_EQ(out.target, "/a/2f?x=1");
  EXPECT_EQ(out.body, "body");
  for (const header_case& header : header_cases) {
    const auto& expected = GetParam().is_for_target ? header.at_target : header.at_peer;
    const auto values = expected ? std::vector<std::string>{*expected} : std::vector<std::string>{};
    EXPECT_EQ(values_of(out, header.name), values) << header.name;
  }
}

// Guards against a stream that begins anew at its next target, so that its caller gets the events
// that it has a second time.
TEST_P(ForwardedHeaders, NameTheLastEventThatTheCallerHas) {
  const http_request out = GetParam().rewrite(request_of_caller());
  EXPECT_EQ(values_of(out, resume_header), std::vector<std::string>{GetParam().last_event});
}

// Guards against a request for a whole stream that is resumed somewhere.
TEST_P(ForwardedHeaders, NameNoEventIfTheCallerHasNone) {
  http_request request = request_of_caller();
  request.headers.remove(resume_header);
  const bool is_resumed = GetParam().last_event != std::string_view(event_of_caller);
  const auto expected =
      is_resumed ? std::vector<std::string>{GetParam().last_event} : std::vector<std::string>{};
  EXPECT_EQ(values_of(GetParam().rewrite(request), resume_header), expected);
}

INSTANTIATE_TEST_SUITE_P(Of, ForwardedHeaders, testing::ValuesIn(rewrite_cases),
                         [](const auto& tested) { return std::string(tested.param.name); });

}  // namespace
}  // namespace arbutus
