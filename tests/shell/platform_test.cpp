// Tests the parsing of the platform's documents and HTTP headers.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "platform/base64.h"
#include "platform/documents.h"
#include "platform/http_fields.h"
#include "platform/store_rows.h"
#include "process/target_incarnation.h"

namespace arbutus {
namespace {

const char* const configuration = R"({"version":7,"routes":[
 {"name":"r1","hostname":"f.example","prefix":"/a/","route-type":"streaming","timeout-ms":8000,
  "target-latency-ms":300,"priority":1,"traffic-split":[{"service":"llm","weight":90},{"service":"api","weight":10}],
  "max-attempts":2,"public":false,"stream-resume":true,"gap-target-ms":300},
 {"name":"r2","hostname":"f.example","prefix":"/b/","route-type":"unsafe","timeout-ms":800,"service":"api",
  "max-attempts":1,"public":true}],
 "services":[{"name":"llm","health-check":"/h","max-connections":304,"engine":{"slots":26,"stride":7,
  "models":[{"name":"m0","size":4,"share":0.57,"pace":1.0,"load-s":16.0,"warm-s":1.6}],"step_ms":5.95,
  "read_per_s":50700.0,"report_lag_ms":200.0,"loads-per-s":4.5,"loads_at_once":6,"usual":{"prompt":1115,"answer":178},
  "far_x":2.5,"form-ms":300.0}},{"name":"api","health-check":"/h","max-connections":96}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
 "tenants":[{"name":"desk","api-keys":["k1","k2"],"priority":1}]})";

TEST(PlatformDocuments, ReadsAConfiguration) {
  const auto read = read_service_map(configuration);
  ASSERT_TRUE(read.map);
  const route* stream = read.map->find_route("f.example", "/a/x");
  ASSERT_NE(stream, nullptr);
  EXPECT_EQ(stream->kind, route_kind::stream);
  EXPECT_TRUE(stream->repeatable());
  EXPECT_EQ(stream->timeout, 8s);
  EXPECT_EQ(stream->shares.size(), 2U);
  const route* once = read.map->find_route("f.example", "/b/x");
  EXPECT_FALSE(once->repeatable());
  EXPECT_FALSE(once->needs_workspace);
  const service_spec* llm = read.map->find_service(service_id{"llm"});
  ASSERT_TRUE(llm->engine);
  EXPECT_EQ(llm->engine->find_model(model_id{"m0"})->size, 4U);
  EXPECT_EQ(llm->engine->report_lag, 200ms);
  EXPECT_FALSE(read.map->find_service(service_id{"api"})->engine);
  EXPECT_EQ(read.map->find_workspace("k2")->id, workspace_id{"desk"});
}

TEST(PlatformDocuments, ReportsEveryMistakeWithItsPlace) {
  const auto read = read_service_map(
      R"({"version":1,"routes":[{"hostname":5,"prefix":"/a/","route-type":"odd","service":"s"}],"services":[{}]})");
  EXPECT_FALSE(read.map);
  ASSERT_EQ(read.problems.size(), 3U);
  EXPECT_EQ(read.problems[0].where.file, "routes[0].hostname");
  EXPECT_EQ(read.problems[1].where.file, "routes[0].route-type");
  EXPECT_EQ(read.problems[2].where.file, "services[0].name");
  EXPECT_FALSE(read_service_map("{").map);
  EXPECT_FALSE(read_service_map("[]").map);
}

TEST(PlatformDocuments, ReadsARecordOfAnEngine) {
  std::string problem;
  const auto record = read_target_record(
      "i-1",
      R"({"service":"llm","address":"10.0.0.7:9000","zone":"a","slots":26,"state":"draining","domain":"a-d0",
          "staged":["m0"],"models":[{"name":"m0","version":1}],"sequence":4,
          "group":{"name":"r3","epoch":12,"rank":1,"state":"ready"}})",
      problem);
  ASSERT_TRUE(record) << problem;
  EXPECT_TRUE(record->draining);
  EXPECT_EQ(record->address.port, 9000);
  EXPECT_EQ(record->loaded, model_id{"m0"});
  ASSERT_TRUE(record->member_of);
  EXPECT_EQ(record->member_of->replica, (replica_key{"r3", 12}));
  EXPECT_EQ(record->member_of->state, member_state::ready);
  EXPECT_FALSE(read_target_record("i-1", "{}", problem));
  EXPECT_FALSE(read_target_record("i-1", R"({"address":"10.0.0.1:1","slots":"x"})", problem));
}

TEST(PlatformDocuments, AnIncarnationIsTheNameAndTheStart) {
  std::string problem;
  const auto record = read_target_record(
      "i-1", R"({"service":"llm","address":"10.0.0.7:9000","zone":"a","slots":26,"state":"ready",
                 "born":1764722262000,"group":null,"models":[],"staged":[]})",
      problem);
  ASSERT_TRUE(record) << problem;
  EXPECT_EQ(record->id, incarnation_of("i-1", 1764722262000));
}

TEST(PlatformDocuments, ARowOfAnotherWriterIsNoTarget) {
  // Guards against requests to something that is not an engine, and against one bad row hiding all
  // other targets. Another program writes into the table of targets; missing fields must not get
  // default values, and an unknown state must not count as ready.
  using nlohmann::json;
  const json complete = {{"service", "llm"},
                         {"address", "10.0.0.7:9000"},
                         {"zone", "a"},
                         {"slots", 26},
                         {"state", "ready"},
                         {"born", 7},
                         {"models", {{{"name", "m0"}, {"version", 1}}}},
                         {"staged", {"m0"}},
                         {"group", {{"name", "r"}, {"epoch", 3}, {"rank", 0}, {"state", "open"}}}};
  const auto reads = [](std::string_view name, const json& document) {
    std::string problem;
    const bool readable = read_target_record(name, document.dump(), problem).has_value();
    EXPECT_EQ(readable, problem.empty()) << problem;
    return readable;
  };
  ASSERT_TRUE(reads("i-1", complete));
  for (const char* needed : {"service", "address", "zone", "slots", "state"}) {
    json without = complete;
    without.erase(needed);
    EXPECT_FALSE(reads("i-1", without)) << needed;
  }
  for (const char* field :
       {"service", "address", "zone", "slots", "state", "born", "models", "staged", "group"}) {
    for (const json& odd : {json("x"), json(-1), json(2.5), json::array({1}), json(true)}) {
      const bool is_text = odd.is_string();
      const bool any_text =
          is_text && (field == std::string_view("service") || field == std::string_view("zone"));
      json changed = complete;
      changed[field] = odd;
      EXPECT_EQ(reads("i-1", changed), any_text) << field << " " << odd;
    }
  }
  for (const char* field : {"name", "epoch", "rank", "state"}) {
    json changed = complete;
    changed["group"][field] = json::object();
    EXPECT_FALSE(reads("i-1", changed)) << field;
  }
  json unknown_state = complete;
  unknown_state["group"]["state"] = "asleep";
  EXPECT_FALSE(reads("i-1", unknown_state));
  EXPECT_FALSE(reads("no engine", complete));
  EXPECT_FALSE(reads("i-1~3", complete));
  std::string problem;
  for (const char* text : {"", "{", "[]", "null", "\xff\xfe", "7"}) {
    EXPECT_FALSE(read_target_record("i-1", text, problem)) << text;
  }
}

// Guards against numbers that are cut to another valid one, which differs between kinds of machine.
TEST(PlatformDocuments, ANumberThatDoesNotFitIsUnreadable) {
  using nlohmann::json;
  const json beyond_32_bits = std::uint64_t{1} << 32U;
  const json complete = {{"service", "llm"},
                         {"address", "10.0.0.7:9000"},
                         {"zone", "a"},
                         {"slots", 26},
                         {"state", "ready"},
                         {"sequence", 1},
                         {"group", {{"name", "r"}, {"epoch", 3}, {"rank", 0}, {"state", "open"}}}};
  std::string problem;
  ASSERT_TRUE(read_target_record("i-1", complete.dump(), problem)) << problem;
  ASSERT_TRUE(read_target_report("i-1", complete.dump(), problem)) << problem;
  json rank = complete;
  rank["group"]["rank"] = beyond_32_bits;
  EXPECT_FALSE(read_target_record("i-1", rank.dump(), problem));
  EXPECT_FALSE(read_target_report("i-1", rank.dump(), problem));
  json slots = complete;
  slots["slots"] = beyond_32_bits;
  EXPECT_FALSE(read_target_record("i-1", slots.dump(), problem));
  for (const char* field : {"queued", "active"}) {
    for (const json& odd : {beyond_32_bits, json(-1), json(2.5), json(1e300)}) {
      json report = complete;
      report[field] = odd;
      EXPECT_FALSE(read_target_report("i-1", report.dump(), problem)) << field << " " << odd;
    }
  }
}

TEST(PlatformDocuments, ASlowdownIsBounded) {
  std::string problem;
  const auto report = read_target_report("i-1", R"({"sequence":1,"pace":1e300})", problem);
  ASSERT_TRUE(report) << problem;
  EXPECT_LE(report->slowdown_factor, 1000);
}

// Guards against a store's answer that ends the process: copies of a JSON value recurse.
TEST(PlatformDocuments, ADeeplyNestedAnswerOfTheStoreHasNoRows) {
  constexpr std::size_t depth = 200'000;
  const std::string nested = std::string(depth, '[') + std::string(depth, ']');
  EXPECT_FALSE(read_store_rows(R"({"ver":1,"rows":)" + nested + "}", 1));
}

http_request sample_request() {
  http_request request;
  request.method = "POST";
  request.target = "/a/2f?x=1";
  request.headers = {{"Host", "f.example"},
                     {"X-Request-Id", "b7e2"},
                     {"X-Model", "m0"},
                     {"X-Token-Count", "1460,80"},
                     {"X-Deadline-Ms", "8000"},
                     {"Authorization", "Bearer k1"},
                     {"X-Tenant", "forged"},
                     {"X-Expect-Instance", "forged"},
                     {"Connection", "keep-alive"},
                     {"Last-Event-Id", "12"},
                     {"Other", "kept"}};
  request.body = "body";
  return request;
}

TEST(PlatformDialect, ReadsRequestFields) {
  const request_fields head = read_request_fields(sample_request());
  EXPECT_EQ(head.id, request_id{"b7e2"});
  EXPECT_EQ(head.path, "/a/2f");
  EXPECT_EQ(head.api_key, "k1");
  EXPECT_EQ(head.time_left, std::optional<duration>{8s});
  EXPECT_EQ(head.size.prompt_tokens, 1460);
  EXPECT_EQ(head.size.answer_tokens, 80);
  EXPECT_EQ(head.resume_after, "12");
}

TEST(PlatformDialect, ReadsSharedBlocksOfPromptsOfAnyForm) {
  const auto blocks_of = [](const std::string& text) {
    http_request request = sample_request();
    request.headers.add("X-Prefix-Hash", text);
    return read_request_fields(request).shared_blocks;
  };
  const std::vector<std::uint64_t> two = blocks_of("5c1e07a2:800,91bd3f06:410,e4402b7d:250");
  ASSERT_EQ(two.size(), 2U);
  EXPECT_EQ(blocks_of("91bd3f06:9,e4402b7d:250"), std::vector<std::uint64_t>{two[1]});
  EXPECT_EQ(blocks_of("5c1e07a2, 91bd3f06:410,x").size(), 2U);
  EXPECT_EQ(blocks_of("5c1e07a2:1,91bd3f06:1,5c1e07a2:1,x:1"), two);
  EXPECT_EQ(blocks_of("no hex,a much longer id than sixteen digits:5,x").size(), 2U);
  for (const char* none : {"", "5c1e07a2:800", ",", ":4,x", ",,,,"}) {
    EXPECT_TRUE(blocks_of(none).empty()) << none;
  }
  std::string many;
  for (int i = 0; i < 5000; ++i) {
    many += std::to_string(i) + ":1,";
  }
  EXPECT_EQ(blocks_of(many).size(), 64U);
}

TEST(PlatformDialect, ForwardsNeitherKeysNorForgedFields) {
  // Guards against a target that receives a caller's API key or attributes a request to the wrong
  // workspace: headers that only this node may set must not be forwarded from the caller.
  forwarded_fields facts;
  facts.target = target_id{"i-7"};
  facts.time_left = 1500ms;
  facts.workspace = workspace_id{"desk"};
  facts.urgency = 12;
  const http_request out = make_target_request(sample_request(), facts);
  EXPECT_EQ(out.target, "/a/2f?x=1");
  EXPECT_EQ(out.body, "body");
  EXPECT_FALSE(out.headers.find("Authorization"));
  EXPECT_FALSE(out.headers.find("Connection"));
  EXPECT_EQ(out.headers.find("Last-Event-Id"), "12") << "nothing has been passed on yet";
  EXPECT_EQ(out.headers.find("X-Tenant"), "desk");
  EXPECT_EQ(out.headers.find("X-Expect-Instance"), "i-7");
  EXPECT_EQ(out.headers.find("X-Deadline-Ms"), "1500");
  EXPECT_EQ(out.headers.find("X-Request-Priority"), "9");
  EXPECT_EQ(out.headers.find("Other"), "kept");
  EXPECT_EQ(out.headers.find("X-Model"), "m0");
}

TEST(PlatformDialect, AcceptsOnlyASignedResponseToItsOwnRequest) {
  // Guards against a caller that gets another caller's response, or one that no engine generated.
  const request_id id{"b7e2"};
  const http_headers signed_own = {{"X-Request-Id", "b7e2"}, {"X-Response-Seal", "s"}};
  EXPECT_EQ(read_response_fields(200, signed_own, id).kind, answer_kind::succeeded);
  EXPECT_EQ(
      read_response_fields(200, {{"X-Request-Id", "other"}, {"X-Response-Seal", "s"}}, id).kind,
      answer_kind::mismatched);
  EXPECT_EQ(read_response_fields(200, {{"X-Request-Id", "b7e2"}}, id).kind,
            answer_kind::unsigned_success);
  EXPECT_EQ(read_response_fields(200, {{"X-Response-Seal", "s"}}, id).kind,
            answer_kind::unsigned_success);
  http_headers encoded = signed_own;
  encoded.add("Content-Encoding", "gzip");
  EXPECT_EQ(read_response_fields(200, encoded, id).kind, answer_kind::unsigned_success);
  EXPECT_EQ(read_response_fields(503, {{"X-Not-Executed", "1"}}, id).kind, answer_kind::not_run);
  EXPECT_EQ(read_response_fields(421, {}, id).kind, answer_kind::not_run);
  EXPECT_EQ(read_response_fields(500, {{"X-Request-Id", "b7e2"}}, id).kind, answer_kind::failed);
  const auto loaded =
      read_response_fields(200, {{"X-Request-Id", "b7e2"}, {"X-Instance-Load", "3,2,8"}}, id);
  EXPECT_EQ(loaded.running_requests, 3U);
  EXPECT_EQ(loaded.waiting_requests, 2U);
}

TEST(PlatformDialect, WritesRetryAfterInFractionsOfASecond) {
  const http_headers headers = local_response_headers({503, 250ms, "full"}, request_id{"x"});
  EXPECT_EQ(headers.find("Retry-After"), "0.250");
  EXPECT_EQ(headers.find("X-Request-Id"), "x");
  EXPECT_FALSE(
      local_response_headers({504, std::nullopt, ""}, request_id{"x"}).find("Retry-After"));
}

TEST(PlatformBase64, RoundTrips) {
  for (std::size_t n = 0; n < 70; ++n) {
    const std::string bytes(n, static_cast<char>(n * 7));
    EXPECT_EQ(base64_decode(base64_encode(bytes)), bytes);
  }
  EXPECT_FALSE(base64_decode("abc"));
  EXPECT_FALSE(base64_decode("a$c="));
}

std::optional<duration> retry_after_in(const http_headers& headers) {
  return read_target_notice(503, headers).retry_after;
}

TEST(PlatformHeaders, RetryAfterIsATimeInSeconds) {
  EXPECT_EQ(retry_after_in({{"Retry-After", "3"}}), 3s);
  EXPECT_EQ(retry_after_in({{"retry-after", "0.25"}}), 250ms);
  EXPECT_EQ(retry_after_in({{"Retry-After", "0"}}), 0s);
  EXPECT_EQ(retry_after_in({{"Retry-After", "1"}, {"Retry-After", "4"}, {"Retry-After", "2"}}), 4s);
  EXPECT_EQ(retry_after_in({{"Retry-After", "1e9"}}), std::chrono::seconds(1'000'000'000));
  EXPECT_EQ(retry_after_in({}), std::nullopt);
}

TEST(PlatformHeaders, InvalidRetryAfterIsReported) {
  for (const std::string value :
       {"", "-1", "nan", "inf", "1e400", "soon", "3 s", "3, 5", "\xff\x80",
        "21 Oct 2026 07:28:00 GMT", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
    const target_notice notice = read_target_notice(503, {{"Retry-After", value}});
    EXPECT_FALSE(notice.retry_after) << value;
    EXPECT_TRUE(notice.has_unreadable_retry_after) << value;
  }
  const target_notice mixed =
      read_target_notice(503, {{"Retry-After", "later"}, {"Retry-After", "2"}});
  EXPECT_EQ(mixed.retry_after, 2s);
}

// Guards against a backoff because of a time that a failure or a success names for its request.
TEST(PlatformHeaders, RetryAfterCountsWithStatus503Only) {
  for (const int status : {200, 202, 301, 421, 429, 500, 502, 504}) {
    EXPECT_TRUE(read_target_notice(status, {{"Retry-After", "3"}}).is_empty()) << status;
  }
}

TEST(PlatformHeaders, LeavingIsReadFromAnyResponse) {
  for (const int status : {200, 421, 429, 500, 503}) {
    EXPECT_TRUE(read_target_notice(status, {{"server-leaving", "1"}}).is_leaving) << status;
  }
  for (const std::string value : {"0", "", "true", "no"}) {
    EXPECT_FALSE(read_target_notice(200, {{"Server-Leaving", value}}).is_leaving) << value;
  }
  // Guards against a notice of another target that has taken over the address.
  EXPECT_TRUE(
      read_response_fields(421, {{"Server-Leaving", "1"}}, request_id{"b7e2"}).notice.is_empty());
  EXPECT_TRUE(
      read_response_fields(500, {{"Server-Leaving", "1"}}, request_id{"b7e2"}).notice.is_leaving);
}

TEST(PlatformDocuments, KeysOfEvacuationsNameTheDataCentre) {
  EXPECT_EQ(read_evacuation_key("evacuate/hall-a"), data_centre_id{"hall-a"});
  EXPECT_EQ(read_evacuation_key("config"), std::nullopt);
  EXPECT_EQ(read_evacuation_key("evacuated"), std::nullopt);
}

}  // namespace
}  // namespace arbutus
