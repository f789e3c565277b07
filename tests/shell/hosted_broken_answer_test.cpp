// Tests nodes on the hosted platform whose targets give broken answers, over real sockets: no
// caller gets one of them as an answer. The whole list of such answers is in the tests of the HTTP
// client, which all readers of answers use.
#include "hosted_place_fixture.h"
#include "shell/scripted_target.h"

namespace arbutus::testing_support {
namespace {

using standin::faulty_answer;
using standin::path_state;
using standin::plain_instance_id;

constexpr const char* repeatable_path = "/note/1";
const std::string plain_stream_path = std::string(standin::plain_stream_prefix) + "1";
constexpr const char* part_of_body = "part";

standin::hosted_platform_settings short_streams() {
  standin::hosted_platform_settings settings = two_places();
  settings.events_per_answer = 4;
  return settings;
}

class HostedBrokenAnswer : public hosted_place_fixture {
 protected:
  HostedBrokenAnswer() : hosted_place_fixture(short_streams()) {}

  // No two requests are the same: none is suspected to end the targets that reset its answers.
  call_result call(std::size_t node, const std::string& path, const std::string& id) {
    http_request request = make_request(path + "-" + id, id);
    request.body = upload_;
    call_result result;
    runtime.run_on(0, [&] {
      result = client_.fetch(local(nodes_[node]->settings.listen.caller_endpoint.port), request,
                             monotonic_now() + 8s);
    });
    return result;
  }

  // One more instance of the plain service; among equals the first one by id is chosen.
  void list_faulty_instance(std::uint16_t port) {
    platform_.write_target_record(
        "a-faulty", R"({"service":"api","zone":"lab-a","slots":6,"state":"ready","born":)" +
                        std::to_string(++born_) + R"(,"address":"127.0.0.1:)" +
                        std::to_string(port) + "\"}");
  }

  // Sends calls until the target has answered one; returns the status of that call.
  int status_of_call_answered_by(const scripted_target& target, const std::string& path) {
    const int before = target.answered();
    call_result result;
    std::string id;
    EXPECT_TRUE(eventually([&] {
      id = next_id(0);
      result = call(0, path, id);
      EXPECT_TRUE(result.ok()) << to_string(result.failure);
      return target.answered() > before;
    }));
    if (result.response.status == 200) {
      const bool is_stream = path == plain_stream_path;
      EXPECT_EQ(result.response.body, is_stream ? expected_stream(id) : "card " + id);
    }
    EXPECT_EQ(result.response.body.find(part_of_body), std::string::npos);
    return result.response.status;
  }

  // The call may have run, and nothing promises that it has not.
  static bool is_unknown(int status) { return status == 502 || status == 504; }

  // A call that may be repeated is sent to the next instance while the retry budget allows it.
  void expect_calls_past(const std::vector<scripted_answer>& answers) {
    int served = 0;
    for (const scripted_answer& answer : answers) {
      const scripted_target target(answer);
      for (const std::string& path :
           {std::string(call_path), std::string(repeatable_path), plain_stream_path}) {
        list_faulty_instance(target.port());
        const int status = status_of_call_answered_by(target, path);
        const bool is_served = status == 200 && path != call_path;
        EXPECT_TRUE(is_served || is_unknown(status))
            << answer.name << ": " << path << ' ' << status;
        served += is_served ? 1 : 0;
      }
    }
    EXPECT_GT(served, 0);
  }

  // Sends streams until a head has broken one off. Each of them is complete, or refused with an
  // unknown outcome if the retry budget is used up. The answer comes from the head that the last
  // stream ran at: a nearer one may have begun to serve since the node chose another.
  void expect_streams_past(const faulty_answer& answer) {
    const double before = broken_attempts(0);
    std::string head;
    EXPECT_TRUE(eventually([&] {
      const std::string id = next_id(0);
      const call_result result = call(0, stream_path, id);
      expect_whole_or_unknown(result, id, answer);
      const bool is_broken = broken_attempts(0) > before;
      if (is_broken) {
        resumed_streams_ += result.response.status == 200 ? 1 : 0;
      } else {
        head = move_answer(answer, head, platform_.engine_of_run(id));
      }
      return is_broken || HasFailure();
    })) << answer.bytes;
    platform_.set_answer(0, {}, head);
  }

  void expect_whole_or_unknown(const call_result& result, const std::string& id,
                               const faulty_answer& answer) {
    const int status = result.response.status;
    EXPECT_TRUE(status == 200 || is_unknown(status)) << status << " after " << answer.bytes;
    EXPECT_EQ(result.response.body.find(part_of_body), std::string::npos) << answer.bytes;
    if (status == 200) {
      EXPECT_EQ(result.response.body, expected_stream(id)) << answer.bytes;
    }
  }

  // Lets the head `to` give the answer in place of `from`; an empty name is no head. Returns the
  // head that gives it now.
  std::string move_answer(const faulty_answer& answer, const std::string& from,
                          const std::string& to) {
    if (to.empty() || to == from) {
      return from;
    }
    if (!from.empty()) {
      platform_.set_answer(0, {}, from);
    }
    platform_.set_answer(0, answer, to);
    return to;
  }

  // Attempts of streams that may have run, whatever had been received.
  double broken_attempts(std::size_t node) {
    double sum = 0;
    for (const std::string received : {"nothing", "head", "events"}) {
      const std::string labels = R"({ran="perhaps",answered=")" + received + "\"}";
      sum += std::max(0.0, metric(node, "arbutusworks_attempts_broken" + labels));
    }
    return sum;
  }

  std::string upload_ = "card";
  std::uint64_t born_ = 1'000'000;
  int resumed_streams_ = 0;  // complete, although a head broke them off
};

// Guards against an answer whose status is no status of HTTP, in a call.
TEST_F(HostedBrokenAnswer, AStatusOutOfRangeReachesNoCaller) {
  ASSERT_TRUE(both_nodes_serve());
  expect_calls_past(answers_with_odd_status());
}

// Guards against an answer whose status is no status of HTTP, in a stream of a model.
TEST_F(HostedBrokenAnswer, AStatusOutOfRangeReachesNoStream) {
  ASSERT_TRUE(both_places_serve());
  for (const scripted_answer& answer : answers_with_odd_status()) {
    expect_streams_past({answer.bytes});
  }
  EXPECT_GT(resumed_streams_, 0);
}

// Guards against a part of a body, reset during the upload, that a caller gets as the whole.
TEST_F(HostedBrokenAnswer, ABodyResetDuringTheUploadReachesNoCaller) {
  ASSERT_TRUE(both_nodes_serve());
  upload_.assign(upload_bytes, 'u');
  expect_calls_past(answers_reset_during_the_upload());
}

// Guards against a stream that ends at a reset, before, between or inside its events.
TEST_F(HostedBrokenAnswer, AStreamResetDuringTheUploadGoesOnElsewhere) {
  ASSERT_TRUE(both_places_serve());
  upload_.assign(upload_bytes, 'u');
  expect_streams_past({signed_success() + "\r\n", true});
  expect_streams_past({signed_success() + "\r\npart", true});
  expect_streams_past({signed_head("HTTP/1.0 200 OK") + "\r\n", true});
  const std::string first_event = "id: 1\ndata: " + std::string(standin::request_id_mark) + "\n\n";
  expect_streams_past({signed_success() + "\r\n" + first_event, true});
  EXPECT_GT(resumed_streams_, 0);
}

// Guards against broken answers that come back from a peer that has taken the call over.
TEST_F(HostedBrokenAnswer, ABrokenAnswerAtAPeerReachesNoCaller) {
  ASSERT_TRUE(both_nodes_serve());
  upload_.assign(upload_bytes, 'u');
  platform_.set_paths(0, path_state::silent);
  const std::vector<faulty_answer> answers = {
      {signed_head("HTTP/1.1 000 Odd") + "Content-Length: 4\r\n\r\npart"},
      {signed_success() + "\r\npart", true}};
  for (const faulty_answer& answer : answers) {
    platform_.set_answer(1, answer, plain_instance_id);
    const double before = metric(1, "arbutusworks_attempts_broken");
    EXPECT_TRUE(eventually([&] {
      const call_result result = call(0, call_path, next_id(0));
      EXPECT_TRUE(result.ok() && result.response.status >= 500) << answer.bytes;
      EXPECT_EQ(result.response.body.find(part_of_body), std::string::npos) << answer.bytes;
      return metric(1, "arbutusworks_attempts_broken") > before || HasFailure();
    })) << answer.bytes;
  }
  platform_.set_paths(0, path_state::open);
}

// Guards against broken answers to streams of a model that a peer has taken over.
TEST_F(HostedBrokenAnswer, ABrokenAnswerAtAPeerReachesNoStream) {
  ASSERT_TRUE(both_places_serve());
  platform_.set_paths(0, path_state::silent);
  std::vector<faulty_answer> answers = {{signed_success() + "\r\npart", true},
                                        {signed_success() + "\r\n", true}};
  for (const scripted_answer& answer : answers_with_odd_status()) {
    answers.push_back({answer.bytes});
  }
  for (const faulty_answer& answer : answers) {
    const double before = broken_attempts(1);
    upload_.assign(answer.resets_early ? upload_bytes : 4, 'u');
    platform_.set_answer(1, answer);
    EXPECT_TRUE(eventually([&] {
      const std::string id = next_id(0);
      const call_result result = call(0, stream_path, id);
      const int status = result.response.status;
      EXPECT_TRUE(result.ok() && status >= 500) << status << " after " << answer.bytes;
      EXPECT_EQ(result.response.body.find(part_of_body), std::string::npos) << answer.bytes;
      return broken_attempts(1) > before || HasFailure();
    })) << answer.bytes;
    platform_.set_answer(1, {});
  }
  platform_.set_paths(0, path_state::open);
}

// Guards against a promise "not run" that was broken off.
TEST_F(HostedBrokenAnswer, ARefusalThatBreaksOffIsNoPromise) {
  ASSERT_TRUE(both_places_serve());
  upload_.assign(upload_bytes, 'u');
  const std::string refusal = signed_head("HTTP/1.1 503 Busy") + "X-Not-Executed: 1\r\n\r\npart";
  expect_streams_past({refusal, true});
}

// Guards against a body that a caller gets in an encoding which it has not asked for.
TEST_F(HostedBrokenAnswer, AnUnknownTransferEncodingReachesNoCaller) {
  ASSERT_TRUE(both_nodes_serve());
  expect_calls_past(answers_with_odd_encodings());
}

// Guards against broken heads that are taken for an answer.
TEST_F(HostedBrokenAnswer, BrokenHeadsReachNoCaller) {
  ASSERT_TRUE(both_nodes_serve());
  expect_calls_past(answers_with_odd_names());
  expect_calls_past(answers_that_end_in_the_head());
}

TEST_F(HostedBrokenAnswer, BrokenHeadsReachNoStream) {
  ASSERT_TRUE(both_places_serve());
  for (const scripted_answer& answer : answers_with_odd_names()) {
    expect_streams_past({answer.bytes});
  }
  for (const scripted_answer& answer : answers_that_end_in_the_head()) {
    expect_streams_past({answer.bytes});
  }
}

// Guards against checks of broken answers that reject sound ones.
TEST_F(HostedBrokenAnswer, SoundAnswersReachTheirCallers) {
  ASSERT_TRUE(both_nodes_serve());
  upload_.assign(upload_bytes, 'u');
  for (const scripted_answer& answer : sound_answers()) {
    const scripted_target target(answer);
    list_faulty_instance(target.port());
    EXPECT_TRUE(eventually([&] {
      const call_result result = call(0, call_path, next_id(0));
      EXPECT_EQ(result.response.status, 200) << answer.name;
      if (target.answered() > 0) {
        EXPECT_EQ(result.response.body, answer.body) << answer.name;
      }
      return target.answered() > 0 || HasFailure();
    })) << answer.name;
  }
}

}  // namespace
}  // namespace arbutus::testing_support
