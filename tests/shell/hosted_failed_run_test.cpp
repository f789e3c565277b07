// Tests nodes on the hosted platform whose targets run requests and fail them with a status that
// promises callers "not run", over real sockets. The table of all cases is in target_answer_test.
#include "hosted_place_fixture.h"
#include "shell/scripted_target.h"

namespace arbutus::testing_support {
namespace {

using standin::path_state;
using standin::plain_instance_id;

const std::string once_plain_stream_path = std::string(standin::once_plain_stream_prefix) + "1";
const std::string once_stream_path = std::string(standin::once_stream_prefix) + "1";
constexpr const char* repeatable_path = "/note/1";
constexpr const char* body_of_failure = "part";
constexpr const char* seal_field = "X-Response-Seal";
constexpr const char* retry_field = "Retry-After";
const std::string asks_for_rest = "Retry-After: 0.2\r\n";
const std::string states_not_run = "X-Not-Executed: 1\r\n";
const std::vector<std::string> promising_statuses = {"503", "429", "408"};

// A target's signed answer that is no success.
std::string failure(const std::string& status, const std::string& more_fields = {}) {
  return signed_head("HTTP/1.1 " + status + " Odd") + more_fields +
         "X-Instance-Load: 1,0,6\r\nContent-Length: 4\r\n\r\n" + body_of_failure;
}

standin::hosted_platform_settings short_streams() {
  standin::hosted_platform_settings settings = two_places();
  settings.events_per_answer = 4;
  return settings;
}

class HostedFailedRun : public hosted_place_fixture {
 protected:
  HostedFailedRun() : hosted_place_fixture(short_streams()) {}

  // The node at which targets answer `bytes` from now on; empty bytes: as they would.
  void set_answers(std::size_t node, const std::string& bytes) {
    platform_.set_answer(node, {bytes});
  }

  // The answer is the node's own and promises nothing.
  static void expect_unknown(const call_result& result, const std::string& what) {
    const http_headers& headers = result.response.headers;
    EXPECT_TRUE(result.ok()) << what;
    EXPECT_EQ(result.response.status, 504) << what;
    EXPECT_EQ(result.response.body.find(body_of_failure), std::string::npos) << what;
    EXPECT_FALSE(headers.find(seal_field)) << what;
    EXPECT_FALSE(headers.find(retry_field)) << what;
    EXPECT_FALSE(headers.find("X-Instance-Load")) << what;
  }

  static void expect_unchanged(const call_result& result, const std::string& status) {
    EXPECT_EQ(std::to_string(result.response.status), status);
    EXPECT_EQ(result.response.body, body_of_failure) << status;
    EXPECT_TRUE(result.response.headers.find(seal_field)) << status;
  }

  // Sends the request again for as long as the node refuses it for this reason, which passes.
  call_result ask_past(std::size_t node, const std::string& path, std::string_view reason) {
    call_result result;
    EXPECT_TRUE(eventually([&] {
      result = ask(node, path);
      return result.response.body.find(reason) == std::string::npos;
    })) << reason;
    return result;
  }

  // Requests that may not be repeated, at targets that answer with each promising status.
  void expect_no_promise(std::size_t node, std::size_t answering_node, const std::string& path) {
    for (const std::string& status : promising_statuses) {
      for (const std::string& fields : {std::string{}, asks_for_rest}) {
        set_answers(answering_node, failure(status, fields));
        const call_result result = ask_past(node, path, "backoff");
        expect_unknown(result, path + ' ' + status + ' ' + fields);
      }
    }
    set_answers(answering_node, {});
  }

  // One more instance of the plain service; among equals the first one by id is chosen.
  void list_instance(const std::string& id, const scripted_target& target) {
    platform_.write_target_record(
        id, R"({"service":"api","zone":"lab-a","slots":6,"state":"ready","born":1000000,)"
            R"("address":"127.0.0.1:)" +
                std::to_string(target.port()) + "\"}");
  }

  double replaced(std::size_t node, const std::string& status) {
    return metric(node, "arbutusworks_failures_replaced{status=\"" + status + "\"}");
  }
};

// Guards against callers that send a call again which has run.
TEST_F(HostedFailedRun, AFailureOfACallIsNoPromise) {
  ASSERT_TRUE(both_nodes_serve());
  expect_no_promise(0, 0, call_path);
  for (const std::string& status : promising_statuses) {
    EXPECT_EQ(replaced(0, status), 2) << status;
  }
}

TEST_F(HostedFailedRun, AFailureOfAPlainStreamIsNoPromise) {
  ASSERT_TRUE(both_nodes_serve());
  expect_no_promise(0, 0, once_plain_stream_path);
}

// Guards against streams of a model that may not be resumed and are sent again after a run.
TEST_F(HostedFailedRun, AFailureOfAStreamOfAModelIsNoPromise) {
  ASSERT_TRUE(both_nodes_serve());
  expect_no_promise(0, 0, once_stream_path);
}

// Guards against the same of a stream that its caller resumes though it may not be resumed.
TEST_F(HostedFailedRun, AFailureOfAResumedStreamIsNoPromise) {
  ASSERT_TRUE(both_nodes_serve());
  for (const std::string& path : {once_plain_stream_path, once_stream_path}) {
    for (const std::string& status : promising_statuses) {
      set_answers(0, failure(status));
      http_request request = make_request(path, next_id(0));
      request.headers.add("Last-Event-Id", "2");
      call_result result;
      runtime.run_on(0, [&] {
        result = client_.fetch(local(nodes_[0]->settings.listen.caller_endpoint.port), request,
                               monotonic_now() + 8s);
      });
      expect_unknown(result, path + ' ' + status);
    }
  }
}

// Guards against a first refusal that vouches for the run of the next target.
TEST_F(HostedFailedRun, ARefusalBeforeTheFailureDoesNotMakeItAPromise) {
  ASSERT_TRUE(both_nodes_serve());
  const scripted_target refusing({"not run", failure("503", states_not_run)});
  list_instance("a-refusing", refusing);
  platform_.set_answer(0, {failure("503")}, plain_instance_id);
  call_result result;
  EXPECT_TRUE(eventually([&] {
    const int before = refusing.answered();
    result = ask(0, call_path);
    expect_unknown(result, "after a refusal");
    return refusing.answered() > before || HasFailure();
  }));
}

// Guards against a promise by the last target after another one may have run the call.
TEST_F(HostedFailedRun, AStatementAfterAPossibleRunIsNoPromise) {
  ASSERT_TRUE(both_nodes_serve());
  const scripted_target breaking({"broken off", signed_success()});
  list_instance("a-breaking", breaking);
  platform_.set_answer(0, {failure("503", states_not_run)}, plain_instance_id);
  call_result result;
  EXPECT_TRUE(eventually([&] {
    const int before = breaking.answered();
    result = ask(0, repeatable_path);
    return breaking.answered() > before;
  }));
  EXPECT_EQ(result.response.status, 502);
  EXPECT_FALSE(result.response.headers.find(retry_field));
}

// Guards against a peer that passes on the failure of a call that it has taken over.
TEST_F(HostedFailedRun, AFailureAtAPeerIsNoPromise) {
  ASSERT_TRUE(both_nodes_serve());
  platform_.set_paths(0, path_state::silent);
  for (const std::string& path : {std::string(call_path), once_plain_stream_path}) {
    expect_no_promise(0, 1, path);
  }
  EXPECT_GT(replaced(1, "503"), 0);
}

TEST_F(HostedFailedRun, AFailureOfAStreamOfAModelAtAPeerIsNoPromise) {
  ASSERT_TRUE(both_nodes_serve());
  platform_.set_paths(0, path_state::silent);
  expect_no_promise(0, 1, once_stream_path);
}

// Guards against a promise withheld from callers whose request has not run.
TEST_F(HostedFailedRun, AStatementOfTheTargetStaysAPromise) {
  ASSERT_TRUE(both_nodes_serve());
  for (const std::string& path : {std::string(call_path), once_stream_path}) {
    for (const std::string& status : promising_statuses) {
      set_answers(0, failure(status, states_not_run));
      const call_result result = ask(0, path);
      EXPECT_EQ(result.response.status, 503) << path << ' ' << status;
      EXPECT_TRUE(result.response.headers.find(retry_field)) << path << ' ' << status;
      EXPECT_FALSE(result.response.headers.find(seal_field)) << path << ' ' << status;
    }
  }
}

// Guards against failures of targets that their callers no longer see.
TEST_F(HostedFailedRun, OtherFailuresReachTheirCallersUnchanged) {
  ASSERT_TRUE(both_nodes_serve());
  for (const std::string status : {"400", "404", "500", "502", "504"}) {
    set_answers(0, failure(status));
    expect_unchanged(ask(0, call_path), status);
    expect_unchanged(ask(0, once_stream_path), status);
  }
}

TEST_F(HostedFailedRun, TheLastFailureOfACallThatMayBeRepeatedReachesItsCaller) {
  ASSERT_TRUE(both_nodes_serve());
  set_answers(0, failure("429"));
  expect_unchanged(ask(0, repeatable_path), "429");
  expect_unchanged(ask(0, stream_path), "429");
}

// Guards against a target that gets requests in its backoff, since its answer was replaced.
TEST_F(HostedFailedRun, ATargetWhoseFailureIsReplacedGetsItsBackoff) {
  ASSERT_TRUE(both_nodes_serve());
  set_answers(0, failure("503", "Retry-After: 5\r\n"));
  expect_unknown(ask(0, call_path), "first");
  expect_refused(0, call_path, "the targets asked for a backoff");
}

}  // namespace
}  // namespace arbutus::testing_support
