// Tests the HTTP client with targets whose answers are broken, and with sound answers that look
// like them. Everything that reads an answer uses this client.
#include <functional>
#include <string>
#include <vector>

#include "connection/http_client.h"
#include "shell/connection_fixture.h"
#include "shell/scripted_target.h"

namespace arbutus {
namespace {

using namespace testing_support;

// Whether the answer is read as a whole or passed on as it arrives.
enum class reading : std::uint8_t { buffered, streamed };

class connection_broken_answer : public connection_fixture {
 protected:
  call_result call(const scripted_target& target, reading how, const std::string& upload) {
    const http_request request{"POST", "/job", {{"X-Request-Id", "q1"}}, upload, {}};
    const socket_address to = local(target.port());
    call_result result;
    in_fiber([&] {
      if (how == reading::buffered) {
        result = client.fetch(to, request, test_deadline());
        return;
      }
      std::string body;
      result = client.stream(
          to, request, test_deadline(), [](int, const http_headers&) { return true; },
          [&](std::string_view bytes) {
            body += bytes;
            return true;
          });
      result.response.body = body;
    });
    return result;
  }

  std::size_t idle_connections() {
    std::size_t count = 0;
    in_fiber([&] { count = client.idle_connections(); });
    return count;
  }

  void expect_no_answer(const scripted_answer& answer, const std::string& upload) {
    for (const reading how : {reading::buffered, reading::streamed}) {
      const scripted_target target(answer);
      const call_result result = call(target, how, upload);
      EXPECT_EQ(result.outcome, call_outcome::unknown) << answer.name;
      EXPECT_TRUE(result.failure == call_failure::malformed ||
                  result.failure == call_failure::connection_lost)
          << answer.name << ": " << to_string(result.failure) << ' ' << result.detail;
      EXPECT_EQ(idle_connections(), 0U) << answer.name;
    }
  }

  void expect_no_answers(const std::vector<scripted_answer>& answers,
                         const std::string& upload = "card") {
    for (const scripted_answer& answer : answers) {
      expect_no_answer(answer, upload);
    }
  }

  http_client client{runtime};
  const std::string large = std::string(upload_bytes, 'u');
};

// Guards against an answer whose status is no status of HTTP.
TEST_F(connection_broken_answer, a_status_out_of_range_is_no_answer) {
  expect_no_answers(answers_with_odd_status());
}

// Guards against a part of a body that is taken for the whole, since the write of the request has
// consumed the report of the reset.
TEST_F(connection_broken_answer, a_body_reset_during_the_upload_is_not_complete) {
  expect_no_answers(answers_reset_during_the_upload(), large);
}

// Guards against an encoded body that is taken for the target's.
TEST_F(connection_broken_answer, an_unknown_transfer_encoding_is_no_answer) {
  expect_no_answers(answers_with_odd_encodings());
}

// Guards against heads whose fields are read differently by others.
TEST_F(connection_broken_answer, an_odd_name_of_a_field_is_no_answer) {
  expect_no_answers(answers_with_odd_names());
}

// Guards against half a head that is taken for an answer without a body.
TEST_F(connection_broken_answer, a_head_that_ends_early_is_no_answer) {
  expect_no_answers(answers_that_end_in_the_head());
}

// Guards against a part of a body that is taken for the whole.
TEST_F(connection_broken_answer, an_odd_body_is_not_complete) {
  expect_no_answers(answers_with_odd_bodies());
}

// Guards against checks of broken answers that reject sound ones.
TEST_F(connection_broken_answer, sound_answers_are_read) {
  for (const scripted_answer& answer : sound_answers()) {
    for (const reading how : {reading::buffered, reading::streamed}) {
      const scripted_target target(answer);
      const call_result result = call(target, how, large);
      EXPECT_TRUE(result.ok()) << answer.name << ": " << to_string(result.failure) << ' '
                               << result.detail;
      EXPECT_EQ(result.response.status, 200) << answer.name;
      EXPECT_EQ(result.response.body, answer.body) << answer.name;
    }
  }
}

}  // namespace
}  // namespace arbutus
