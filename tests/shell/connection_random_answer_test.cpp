// Tests the HTTP client with answers drawn at random: status, framing, size of the body, how much
// of it is sent, and how the connection ends. An answer is read if and only if it is whole.
//
// ARBUTUS_ANSWER_SEEDS=FIRST-LAST plays other seeds than those of CI.
#include <cstdlib>
#include <string>
#include <utility>

#include "base/rng.h"
#include "connection/http_client.h"
#include "shell/connection_fixture.h"
#include "shell/scripted_target.h"

namespace arbutus {
namespace {

using namespace testing_support;

constexpr int answers_per_seed = 40;

enum class framing : std::uint8_t { length, chunks, end_of_connection };

struct drawn_answer {
  scripted_answer answer;
  bool is_whole = false;
  std::string upload;
};

class random_answers {
 public:
  explicit random_answers(std::uint64_t seed) : random_(seed) {}

  drawn_answer next() {
    drawn_answer drawn;
    const int status = draw_status();
    const auto framed_by = static_cast<framing>(below(3));
    const bool is_early = below(2) == 0;
    drawn.upload.assign(below(3) == 0 ? upload_bytes : 100, 'u');
    const auto then = draw_end(is_early);
    const std::string body = "whole " + std::string(below(5000), 'b');
    std::string bytes = head_of(status) + framed(framed_by, body);
    const std::size_t whole = bytes.size();
    if (below(3) == 0) {
      bytes.resize(below(whole));
    }
    const bool is_cut = bytes.size() < whole && framed_by != framing::end_of_connection;
    const bool ends_in_head = bytes.find("\r\n\r\n") == std::string::npos;
    drawn.is_whole = status >= 200 && status <= 599 && !is_cut && !ends_in_head &&
                     (framed_by != framing::end_of_connection || is_orderly(then, is_early));
    drawn.answer = {describe(status, framed_by, then, is_early, whole - bytes.size()), bytes, then,
                    is_early, bytes.substr(std::min(bytes.size(), bytes.find("\r\n\r\n") + 4))};
    drawn.answer.body = framed_by == framing::end_of_connection ? drawn.answer.body : body;
    return drawn;
  }

 private:
  std::size_t below(std::size_t limit) { return random_.below(limit); }

  int draw_status() {
    constexpr int numbers = 1000;
    constexpr int first_final = 200;
    constexpr int finals = 400;
    const bool is_any = below(3) == 0;
    const int status = static_cast<int>(is_any ? below(numbers) : first_final + below(finals));
    // Answers with these have no body, and interim answers are followed by another head.
    const bool is_special = status == 204 || status == 304 || status / 100 == 1;
    return is_special ? 0 : status;
  }

  // A target that has not read the request resets the connection if it closes.
  static bool is_orderly(after_answer then, bool is_early) {
    return then == after_answer::reads_on || (then == after_answer::closes && !is_early) ||
           then == after_answer::reads_to_the_end;
  }

  after_answer draw_end(bool is_early) {
    constexpr after_answer ends[] = {after_answer::closes, after_answer::resets,
                                     after_answer::reads_on, after_answer::reads_to_the_end};
    const after_answer then = ends[below(std::size(ends))];
    // After a whole request nothing is left to read.
    return is_early || then == after_answer::resets ? then : after_answer::closes;
  }

  static std::string head_of(int status) {
    const std::string digits = std::to_string(1000 + status).substr(1);
    return signed_head("HTTP/1.1 " + digits + " Drawn");
  }

  std::string framed(framing by, const std::string& body) {
    if (by == framing::length) {
      return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    if (by == framing::end_of_connection) {
      return "\r\n" + body;
    }
    std::string text = "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t at = 0; at < body.size();) {
      const std::size_t size = std::min(body.size() - at, 1 + below(2000));
      char length[32];
      std::snprintf(length, sizeof length, "%zx\r\n", size);
      text += length + body.substr(at, size) + "\r\n";
      at += size;
    }
    return text + "0\r\n\r\n";
  }

  static std::string describe(int status, framing by, after_answer then, bool is_early,
                              std::size_t missing) {
    return "status " + std::to_string(status) + ", framing " +
           std::to_string(static_cast<int>(by)) + ", end " +
           std::to_string(static_cast<int>(then)) + (is_early ? ", early, " : ", ") +
           std::to_string(missing) + " bytes missing";
  }

  rng random_;
};

class connection_random_answer : public connection_fixture {
 protected:
  static std::pair<std::uint64_t, std::uint64_t> seeds() {
    const char* given = std::getenv("ARBUTUS_ANSWER_SEEDS");
    const std::string text = given == nullptr ? "1-10" : given;
    return {std::stoul(text), std::stoul(text.substr(text.find('-') + 1))};
  }

  void play(const drawn_answer& drawn, std::uint64_t seed) {
    const scripted_target target(drawn.answer);
    const http_request request{"POST", "/job", {{"X-Request-Id", "q1"}}, drawn.upload, {}};
    call_result result;
    in_fiber([&] { result = client.fetch(local(target.port()), request, test_deadline()); });
    const std::string what = "seed " + std::to_string(seed) + ": " + drawn.answer.name;
    EXPECT_EQ(result.ok(), drawn.is_whole) << what << ": " << result.reason();
    if (result.ok()) {
      EXPECT_EQ(result.response.body, drawn.answer.body) << what;
    } else {
      EXPECT_EQ(result.outcome, call_outcome::unknown) << what << ": " << result.reason();
    }
  }

  http_client client{runtime};
};

// Guards against answers that are taken for whole by their status, their framing or their end.
TEST_F(connection_random_answer, is_read_if_and_only_if_it_is_whole) {
  const auto [first, last] = seeds();
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    random_answers answers(seed);
    for (int i = 0; i < answers_per_seed; ++i) {
      play(answers.next(), seed);
    }
  }
}

}  // namespace
}  // namespace arbutus
