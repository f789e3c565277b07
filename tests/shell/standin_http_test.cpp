// Tests of the stand-ins of one inventory over HTTP on loopback, as the system uses them.
#include <gtest/gtest.h>

#include <boost/fiber/future.hpp>
#include <nlohmann/json.hpp>

#include "connection/clock.h"
#include "connection/http_client.h"
#include "process/engine_wire.h"
#include "standin/expected_answer.h"
#include "standin/fleet.h"

namespace arbutus::standin {
namespace {

using json = nlohmann::json;

const data_centre_id hall_a{"hall-a"};
const model_id dispatch{"dispatch-llm"};
const service_id crew{"crew-api"};
const vm_id a1{"a1"};
const vm_id a2{"a2"};

inventory make_inventory() {
  inventory assets;
  assets.data_centres = {{hall_a, "sk-west"}};
  for (const vm_id& vm : {a1, a2}) {
    vm_record r;
    r.id = vm;
    r.address = {"127.0.0.1", 0};
    r.data_centre = hall_a;
    r.fabric_domain = fabric_domain_id{"fd1"};
    assets.vms.push_back(r);
  }
  for (int i = 0; i < 2; ++i) {
    assets.services.push_back({crew, hall_a, {"127.0.0.1", 0}});
  }
  return assets;
}

fleet_settings make_settings() {
  fleet_settings s;
  s.engine.group_join_time = 0s;
  s.engine.default_profile.batch.tokens_per_second = 2000;
  s.engine.counts_runs_by_request = true;
  return s;
}

struct answer {
  call_result result;
  std::string text;
  std::string last_finish;
  bool done = false;
};

class standin_http : public testing::Test {
 protected:
  standin_http() {
    runtime.run();
    fleet = std::make_unique<standin_fleet>(runtime, make_inventory(), make_settings());
  }

  void in_fiber(const std::function<void()>& work) { runtime.run_on(0, work); }
  static time_point test_deadline() { return monotonic_now() + 20s; }

  socket_address address(const vm_id& vm) const {
    const endpoint& e = fleet->assets().find_vm(vm)->address;
    return {e.host, e.port};
  }
  socket_address platform() const { return {fleet->platform().host, fleet->platform().port}; }
  socket_address instance(std::size_t i) const {
    const endpoint& e = fleet->assets().services.at(i).address;
    return {e.host, e.port};
  }

  call_result call(const socket_address& to, const std::string& method, const std::string& target,
                   const std::string& body = {}, http_headers headers = {}) {
    call_result result;
    in_fiber([&] {
      result = client.fetch(to, {method, target, std::move(headers), body, {}}, test_deadline());
    });
    return result;
  }

  void form() {
    for (const vm_id& vm : {a1, a2}) {
      order o;
      o.vm = vm;
      o.target = {replica_id{"r1"}, {7, 0, 0}, {a1, a2}};
      o.model = dispatch;
      o.model_version = "1";
      const auto result = call(address(vm), "POST", "/order", encode(o));
      ASSERT_EQ(result.response.status, 200);
      const auto report = decode_report(result.response.body);
      ASSERT_TRUE(is_ok(report));
      ASSERT_EQ(std::get<engine_report>(report).replica, replica_id{"r1"});
    }
  }

  static http_request completion(const std::string& id, std::uint32_t tokens, bool stream) {
    const json body = {
        {"model", dispatch.str()}, {"prompt", id}, {"max_tokens", tokens}, {"stream", stream}};
    return {"POST",
            "/v1/completions",
            {{"x-request-id", id}, {"x-replica", "r1"}, {"x-generation", to_string({7, 0, 0})}},
            body.dump(),
            {}};
  }

  // Makes a streamed call; must run in a fiber. `on_token` is called after each event with text; if
  // it returns false, the stream is aborted.
  answer stream(const http_request& request, const std::function<bool()>& on_token = {}) {
    answer a;
    std::string buffer;
    const auto on_event = [&](const std::string& event) {
      if (event == "data: [DONE]") {
        a.done = true;
        return true;
      }
      const json body = json::parse(event.substr(6));
      const json& choice = body.at("choices").at(0);
      const auto text = choice.at("text").get<std::string>();
      a.text += text;
      a.last_finish = choice.value("finish_reason", "");
      return text.empty() || !on_token || on_token();
    };
    a.result = client.stream(
        address(a1), request, test_deadline(), [](int, const http_headers&) { return true; },
        [&](std::string_view bytes) {
          buffer += bytes;
          for (auto end = buffer.find("\n\n"); end != std::string::npos;
               end = buffer.find("\n\n")) {
            const std::string event = buffer.substr(0, end);
            buffer.erase(0, end + 2);
            if (!on_event(event)) {
              return false;
            }
          }
          return true;
        });
    return a;
  }

  // Waits for a condition that another fiber establishes.
  void await(const std::function<bool()>& condition) {
    in_fiber([&] {
      const time_point give_up = test_deadline();
      while (!condition() && monotonic_now() < give_up) {
        sleep_until(monotonic_now() + 1ms);
      }
    });
    ASSERT_TRUE(condition());
  }

  fiber_runtime runtime{2};
  http_client client{runtime};
  std::unique_ptr<standin_fleet> fleet;
};

TEST_F(standin_http, streams_the_expected_answer) {
  form();
  in_fiber([&] {
    const answer a = stream(completion("q1", 40, true));
    EXPECT_TRUE(a.result.ok()) << a.result.detail;
    EXPECT_EQ(a.result.response.headers.find("x-request-id"), "q1");
    EXPECT_EQ(a.text, expected_answer(dispatch, "q1", 40));
    EXPECT_EQ(a.last_finish, "stop");
    EXPECT_TRUE(a.done);
  });
  EXPECT_EQ(fleet->counters(a1).completed, 1U);
}

TEST_F(standin_http, answers_chats_completely) {
  form();
  const json body = {{"model", dispatch.str()},
                     {"messages", {{{"role", "user"}, {"content", "drain \"blocked\""}}}},
                     {"max_tokens", 5}};
  const auto result = call(address(a1), "POST", "/v1/chat/completions", body.dump());
  ASSERT_EQ(result.response.status, 200) << result.response.body;
  const json got = json::parse(result.response.body);
  EXPECT_EQ(got["choices"][0]["message"]["content"],
            expected_answer(dispatch, "user: drain \"blocked\"\n", 5));
  EXPECT_EQ(got["usage"]["completion_tokens"], 5);
}

TEST_F(standin_http, marks_refused_requests_as_not_run) {
  form();
  http_request request = completion("q1", 5, false);
  request.headers.set("x-generation", to_string({6, 0, 0}));
  const auto result =
      call(address(a1), request.method, request.target, request.body, request.headers);
  EXPECT_EQ(result.response.status, 409);
  EXPECT_EQ(json::parse(result.response.body)["error"]["type"], "not_run");
  EXPECT_EQ(fleet->runs(request_id{"q1"}), 0U);
}

// The engine's process dies during a stream and restarts: the stream breaks and connections are
// refused; after the restart the VM has a new incarnation and belongs to no replica.
TEST_F(standin_http, breaks_streams_when_killed_and_restarts_unloaded) {
  form();
  const auto port = address(a1).port;
  boost::fibers::promise<answer> streamed;
  auto ended = streamed.get_future();
  boost::fibers::promise<void> first;
  auto begun = first.get_future();
  runtime.post(1, [&] {
    int tokens = 0;
    streamed.set_value(stream(completion("q1", 1000000, true), [&] {
      if (++tokens == 1) {
        first.set_value();
      }
      return true;
    }));
  });
  begun.wait();
  fleet->kill_vm(a1);
  const answer a = ended.get();
  EXPECT_EQ(a.result.outcome, call_outcome::unknown);
  EXPECT_FALSE(a.done);
  EXPECT_EQ(call(address(a1), "GET", "/report").outcome, call_outcome::not_sent);
  fleet->restart_vm(a1);
  EXPECT_EQ(address(a1).port, port);
  const auto report = decode_report(call(address(a1), "GET", "/report").response.body);
  ASSERT_TRUE(is_ok(report));
  EXPECT_EQ(std::get<engine_report>(report).incarnation, 2U);
  EXPECT_EQ(std::get<engine_report>(report).state, engine_state::idle);
}

TEST_F(standin_http, cuts_the_heads_streams_when_another_member_dies) {
  form();
  in_fiber([&] {
    bool killed = false;
    const answer a = stream(completion("q1", 1000000, true), [&] {
      if (!std::exchange(killed, true)) {
        fleet->kill_vm(a2);
      }
      return true;
    });
    EXPECT_EQ(a.result.outcome, call_outcome::unknown);
  });
  EXPECT_EQ(fleet->counters(a1).cut, 1U);
}

// Guards against slots that stay occupied by abandoned requests: a caller closes its connection in
// the middle of a stream, because it gives up or because a node cancels the slower of two hedged
// requests.
TEST_F(standin_http, cancels_when_the_caller_disconnects) {
  form();
  in_fiber([&] {
    const answer a = stream(completion("q1", 1000000, true), [] { return false; });
    EXPECT_EQ(a.result.failure, call_failure::abandoned);
  });
  await([&] { return fleet->counters(a1).cancelled == 1; });
  EXPECT_EQ(fleet->report(a1).running, 0U);
}

TEST_F(standin_http, frees_the_slot_of_a_truncated_answer) {
  form();
  pending_answer_faults faults;
  faults.truncated = 1;
  fleet->set_answer_faults(a1, faults);
  fleet->set_straggler(a1, 0.1);
  in_fiber([&] {
    const answer a = stream(completion("q1", 40, true));
    EXPECT_EQ(a.result.outcome, call_outcome::unknown);
    EXPECT_EQ(a.text, expected_answer(dispatch, "q1", 20));
  });
  // The engine is stopped (speed 0), so a request that still held its slot would never end.
  fleet->set_straggler(a1, 0.0);
  await([&] { return fleet->report(a1).running == 0; });
}

TEST_F(standin_http, shows_that_a_vm_leaves_in_its_report_and_in_the_list) {
  fleet->set_leaving(a2, true);
  EXPECT_TRUE(fleet->report(a2).leaving);
  EXPECT_EQ(call(platform(), "GET", "/vms").response.body,
            R"([{"leaving":false,"vm":"a1"},{"leaving":true,"vm":"a2"}])");
  fleet->remove_vm(a2);
  EXPECT_EQ(call(platform(), "GET", "/vms").response.body, R"([{"leaving":false,"vm":"a1"}])");
}

TEST_F(standin_http, executes_requests_while_unresponsive) {
  form();
  fleet->set_unresponsive(a1, true);
  in_fiber([&] {
    const auto result =
        client.fetch(address(a1), completion("q1", 5, false), monotonic_now() + 100ms);
    EXPECT_EQ(result.failure, call_failure::deadline);
  });
  EXPECT_EQ(fleet->runs(request_id{"q1"}), 1U);
  fleet->set_unresponsive(a1, false);
  EXPECT_TRUE(call(address(a1), "GET", "/report").ok());
}

TEST_F(standin_http, answers_nothing_while_paused) {
  form();
  EXPECT_EQ(call(address(a1), "POST", "/faults", R"({"paused":true})").response.status, 200);
  in_fiber([&] {
    const auto result =
        client.fetch(address(a1), completion("q1", 5, false), monotonic_now() + 100ms);
    EXPECT_EQ(result.failure, call_failure::deadline);
  });
  EXPECT_EQ(fleet->runs(request_id{"q1"}), 0U);
  EXPECT_EQ(call(address(a1), "POST", "/faults", R"({"paused":false})").response.status, 200);
  const auto after = completion("q2", 5, false);
  EXPECT_EQ(
      call(address(a1), after.method, after.target, after.body, after.headers).response.status,
      200);
}

TEST_F(standin_http, writes_rows_conditionally) {
  const auto put = [&](const char* version, const std::string& value) {
    return call(platform(), "PUT", "/table/dc/hall-a", value, {{"if-match", version}});
  };
  EXPECT_EQ(call(platform(), "GET", "/table/dc/hall-a").response.status, 404);
  const auto first = put("0", std::string("a\0b", 3));
  ASSERT_EQ(first.response.status, 200);
  const auto version = std::string(*first.response.headers.find("x-row-version"));
  const auto refused = put("0", "other");
  EXPECT_EQ(refused.response.status, 412);
  EXPECT_EQ(refused.response.headers.find("x-row-version"), version);
  const auto got = call(platform(), "GET", "/table/dc/hall-a");
  EXPECT_EQ(got.response.body, std::string("a\0b", 3));
  EXPECT_EQ(got.response.headers.find("x-row-version"), version);
  EXPECT_EQ(call(platform(), "GET", "/table-list/dc/").response.body, R"(["dc/hall-a"])");
  EXPECT_EQ(call(platform(), "PUT", "/table/x", "").response.status, 428);
}

TEST_F(standin_http, shows_the_faults_of_the_platform) {
  fleet->lose_replies(1);
  const auto lost = call(platform(), "PUT", "/table/k", "mine", {{"if-match", "0"}});
  EXPECT_EQ(lost.outcome, call_outcome::unknown);
  EXPECT_EQ(call(platform(), "GET", "/table/k").response.body, "mine");
  fleet->table_outage(true);
  EXPECT_EQ(call(platform(), "GET", "/table/k").response.status, 503);
  fleet->table_outage(false);
  EXPECT_EQ(
      call(platform(), "POST", "/faults", R"({"table":{"reads_per_second":1}})").response.status,
      200);
  EXPECT_EQ(call(platform(), "GET", "/table/k").response.status, 200);
  EXPECT_EQ(call(platform(), "GET", "/table/k").response.status, 429);
  fleet->cut_off(hall_a, true);
  EXPECT_FALSE(call(platform(), "GET", "/vms", {}, {{"x-data-centre", "hall-a"}}).ok());
  EXPECT_TRUE(call(platform(), "GET", "/vms", {}, {{"x-data-centre", "hall-b"}}).ok());
}

TEST_F(standin_http, restores_an_old_copy_of_the_table) {
  const auto put = [&](const char* version, const char* value) {
    return call(platform(), "PUT", "/table/k", value, {{"if-match", version}}).response.status;
  };
  EXPECT_EQ(put("0", "old"), 200);
  EXPECT_EQ(call(platform(), "POST", "/snapshot").response.status, 200);
  EXPECT_EQ(put("1", "new"), 200);
  EXPECT_EQ(call(platform(), "POST", "/restore").response.status, 200);
  EXPECT_EQ(call(platform(), "GET", "/table/k").response.body, "old");
}

TEST_F(standin_http, refuses_unknown_faults) {
  EXPECT_EQ(call(platform(), "POST", "/faults", R"({"table":{"dwon":true}})").response.status, 400);
  EXPECT_EQ(call(address(a1), "POST", "/faults", R"({"silnet":true})").response.status, 400);
  // A fault command with one unknown name changes nothing.
  EXPECT_EQ(call(platform(), "POST", "/faults/vm/a2", R"({"killed":true,"zzz":1})").response.status,
            400);
  EXPECT_TRUE(call(address(a2), "GET", "/report").ok());
  EXPECT_EQ(
      call(platform(), "POST", "/faults", R"({"table":{"down":true,"zzz":1}})").response.status,
      400);
  EXPECT_EQ(call(platform(), "GET", "/table/k").response.status, 404);
}

TEST_F(standin_http, kills_and_lists_vms_through_the_platforms_port) {
  EXPECT_EQ(call(platform(), "POST", "/faults/vm/a2", R"({"killed":true})").response.status, 200);
  EXPECT_FALSE(call(address(a2), "GET", "/report").ok());
  EXPECT_EQ(call(platform(), "POST", "/faults/vm/a2", R"({"killed":false,"leaving":true})")
                .response.status,
            200);
  EXPECT_TRUE(fleet->report(a2).leaving);
  EXPECT_EQ(call(platform(), "GET", "/vms").response.body,
            R"([{"leaving":false,"vm":"a1"},{"leaving":true,"vm":"a2"}])");
}

TEST_F(standin_http, lists_vms_whose_engines_are_elsewhere) {
  fleet_settings settings = make_settings();
  settings.engines = false;
  settings.services = false;
  fleet = std::make_unique<standin_fleet>(runtime, make_inventory(), settings);
  EXPECT_EQ(call(platform(), "POST", "/faults/vm/a1", R"({"leaving":true})").response.status, 200);
  EXPECT_EQ(call(platform(), "POST", "/faults/vm/b1", R"({"leaving":true})").response.status, 404);
  EXPECT_EQ(call(platform(), "GET", "/vms").response.body,
            R"([{"leaving":true,"vm":"a1"},{"leaving":false,"vm":"a2"}])");
}

// The stand-in has to show a job card that is written twice: the first instance writes it and its
// connection breaks before the response, and the caller, which treats the missing response as a
// failure, retries on the second instance.
TEST_F(standin_http, records_calls_over_all_instances_of_a_service) {
  service_faults faults;
  faults.cut_after = 1;
  fleet->set_service_faults(crew, faults);
  const http_headers headers{{"idempotency-key", "card-1"}, {"x-request-id", "q1"}};
  EXPECT_EQ(call(instance(0), "POST", "/cards", "{}", headers).outcome, call_outcome::unknown);
  EXPECT_EQ(fleet->executions_of(crew, "card-1"), 1U);
  const auto second = call(instance(1), "POST", "/cards", "{}", headers);
  EXPECT_EQ(second.response.body,
            service_standin::expected_body(
                crew, {"POST", "/cards", idempotency_key{"card-1"}, request_id{"q1"}, "{}"}));
  EXPECT_EQ(json::parse(call(instance(0), "GET", "/standin/executions").response.body),
            (json{{"executions", 2}, {"keys", 1}, {"most_per_key", 2}, {"turned_away", 0}}));
  faults = {};
  faults.cut_before = 1;
  fleet->set_service_faults(crew, faults);
  EXPECT_EQ(call(instance(0), "POST", "/cards", "{}", {{"idempotency-key", "card-2"}}).outcome,
            call_outcome::unknown);
  EXPECT_EQ(fleet->executions_of(crew, "card-2"), 0U);
}

}  // namespace
}  // namespace arbutus::standin
