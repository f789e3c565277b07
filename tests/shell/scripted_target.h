// A target that gives the same scripted answer to each request, and lists of such answers: broken
// ones, which must not reach a caller, and unusual ones that are sound.
#pragma once

#include <atomic>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "shell/raw_peer.h"
#include "standin/network_paths.h"

namespace arbutus::testing_support {

// How the target goes on after its answer.
enum class after_answer : std::uint8_t {
  closes,            // and leaves what it has not read of the request
  resets,            // the connection
  reads_on,          // half-closes, and reads the rest of the request
  reads_to_the_end,  // of the request, and then closes
};

struct scripted_answer {
  std::string name;
  std::string bytes;  // request_id_mark stands for the id of the request
  after_answer then = after_answer::closes;
  bool is_early = false;  // sent once the head of the request has come, before its body is read
  std::string body = {};  // of a sound answer
};

using standin::request_id_mark;

// Larger than the buffers of a connection: a target that does not read is answering while the body
// is still being written.
inline constexpr std::size_t upload_bytes = 4UL * 1024 * 1024;

// The fields that the platform asks of a target's success.
inline std::string signed_head(const std::string& status_line) {
  return status_line + "\r\nX-Request-Id: " + std::string(request_id_mark) +
         "\r\nX-Response-Seal: seal." + std::string(request_id_mark) + "\r\n";
}
inline std::string signed_success() {
  return signed_head("HTTP/1.1 200 OK");
}

inline std::vector<scripted_answer> answers_with_odd_status() {
  std::vector<scripted_answer> answers;
  for (const std::string status : {"000", "001", "099", "600", "999"}) {
    const std::string head = signed_head("HTTP/1.1 " + status + " Odd");
    answers.push_back({"status " + status, head + "Content-Length: 4\r\n\r\npart"});
    answers.push_back({"status " + status + " to the end", head + "\r\npart"});
  }
  for (const std::string line : {"HTTP/1.1 20 Odd", "HTTP/1.1 2000 Odd", "HTTP/1.1 2x0 Odd",
                                 "HTTP/1.1 -200 Odd", "HTTP/2.0 200 OK", "http/1.1 200 OK"}) {
    answers.push_back({line, signed_head(line) + "Content-Length: 4\r\n\r\npart"});
  }
  for (const std::string status : {"100", "101", "102"}) {
    answers.push_back({"last head is " + status, signed_head("HTTP/1.1 " + status + " Odd") +
                                                     "Content-Length: 4\r\n\r\npart"});
  }
  return answers;
}

// To be sent to requests with a body of upload_bytes.
inline std::vector<scripted_answer> answers_reset_during_the_upload() {
  const std::string to_the_end = signed_success() + "\r\npart";
  const std::string http_1_0 = signed_head("HTTP/1.0 200 OK") + "\r\npart";
  const std::string chunked = signed_success() + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n";
  const std::string failure = signed_head("HTTP/1.1 503 Busy") + "X-Not-Executed: 1\r\n\r\npart";
  constexpr auto resets = after_answer::resets;
  constexpr auto closes = after_answer::closes;
  return {
      {"no length, reset", to_the_end, resets, true},
      {"no length, closed with unread bytes", to_the_end, closes, true},
      {"HTTP/1.0, reset", http_1_0, resets, true},
      {"HTTP/1.0, closed with unread bytes", http_1_0, closes, true},
      {"no length and no body, reset", signed_success() + "\r\n", resets, true},
      {"length not reached", signed_success() + "Content-Length: 9\r\n\r\npart", resets, true},
      {"chunks", chunked, resets, true},
      {"middle of the head", signed_success(), resets, true},
      {"503 without length", failure, resets, true},
  };
}

inline std::vector<scripted_answer> answers_with_odd_names() {
  using namespace std::string_literals;
  std::vector<scripted_answer> answers;
  for (const std::string& name :
       {"X Odd"s, "X\tOdd"s, "X\x01Odd"s, "X\0Odd"s, "X\x7fOdd"s, "X\xe9Odd"s, "X(Odd"s, ""s,
        "X-Odd "s, "Content-Length "s, "Transfer-Encoding "s}) {
    answers.push_back(
        {"name '" + name + "'", signed_success() + name + ": 4\r\nContent-Length: 4\r\n\r\npart"});
    answers.push_back(
        {"name '" + name + "' to the end", signed_success() + name + ": 4\r\n\r\npart"});
  }
  answers.push_back({"no colon", signed_success() + "X-Odd\r\nContent-Length: 4\r\n\r\npart"});
  return answers;
}

inline std::vector<scripted_answer> answers_that_end_in_the_head() {
  const std::string head = signed_success();
  std::vector<scripted_answer> answers;
  for (const std::string& bytes :
       {std::string("HTTP/1.1 2"), std::string("HTTP/1.1 200 OK\r\n"), head + "X-Na",
        head + "X-Name: val", head, head + "Content-Length: 0\r\n",
        head + "Content-Length: 0\r\n\r"}) {
    const std::string name = "head ends after '" + bytes.substr(bytes.size() - 4) + "', ";
    answers.push_back({name + "closed", bytes, after_answer::closes});
    answers.push_back({name + "half-closed", bytes, after_answer::reads_on});
    answers.push_back({name + "reset", bytes, after_answer::resets});
  }
  return answers;
}

inline std::vector<scripted_answer> answers_with_odd_bodies() {
  const std::string chunked = signed_success() + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string head = signed_success();
  return {
      {"short body", head + "Content-Length: 9\r\n\r\npart"},
      {"no last chunk", chunked + "4\r\npart\r\n"},
      {"no end of the trailer", chunked + "4\r\npart\r\n0\r\nX-Trailer: 1\r\n"},
      {"odd size of a chunk", chunked + "0x4\r\npart\r\n0\r\n\r\n"},
      {"negative size of a chunk", chunked + "-4\r\npart\r\n0\r\n\r\n"},
      {"two lengths", head + "Content-Length: 4\r\nContent-Length: 3\r\n\r\npart"},
      {"negative length", head + "Content-Length: -4\r\n\r\npart"},
      {"too large length", head + "Content-Length: 99999999999999999999\r\n\r\npart"},
      {"no length, reset", head + "\r\npart", after_answer::resets},
  };
}

inline std::vector<scripted_answer> answers_with_odd_encodings() {
  std::vector<scripted_answer> answers;
  const std::string chunks = "\r\n4\r\npart\r\n0\r\n\r\n";
  for (const std::string encoding :
       {"gzip, chunked", "xx", "gzip", "identity", "chunked, gzip", "chunked, chunked"}) {
    answers.push_back({"encoding " + encoding,
                       signed_success() + "Transfer-Encoding: " + encoding + "\r\n" + chunks});
  }
  answers.push_back({"two encodings", signed_success() + "Transfer-Encoding: gzip\r\n" +
                                          "Transfer-Encoding: chunked\r\n" + chunks});
  return answers;
}

inline std::vector<scripted_answer> sound_answers() {
  const std::string head = signed_success();
  const std::string with_length = "Content-Length: 5\r\n\r\nwhole";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  constexpr auto closes = after_answer::closes;
  constexpr auto reads_on = after_answer::reads_on;
  constexpr auto reads_to_the_end = after_answer::reads_to_the_end;
  return {
      {"no length, closed", head + "\r\nwhole", closes, false, "whole"},
      {"HTTP/1.0, closed", signed_head("HTTP/1.0 200 OK") + "\r\nwhole", closes, false, "whole"},
      {"no length, early, reads on", head + "\r\nwhole", reads_on, true, "whole"},
      {"length, early, reads on", head + with_length, reads_to_the_end, true, "whole"},
      {"length, early, closed", head + with_length, closes, true, "whole"},
      {"chunks, early, closed", chunked + "5\r\nwhole\r\n0\r\n\r\n", closes, true, "whole"},
      {"interim answers",
       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + head + with_length, closes,
       false, "whole"},
      {"every token character", head + "!#$%&'*+-.^_`|~09azAZ: 1\r\n" + with_length, closes, false,
       "whole"},
      {"bytes above 0x7f in a value", head + "X-Value: \x80\xe9\xff\r\n" + with_length, closes,
       false, "whole"},
      {"no reason", signed_head("HTTP/1.1 200 ") + with_length, closes, false, "whole"},
      {"extensions of chunks and trailers", chunked + "5;a=b\r\nwhole\r\n0\r\nX-Trailer: 1\r\n\r\n",
       closes, false, "whole"},
  };
}

class scripted_target {
 public:
  explicit scripted_target(scripted_answer answer)
      : answer_(std::move(answer)), thread_([this] { serve_all(); }) {}
  ~scripted_target() {
    stopping_ = true;
    thread_.join();
  }
  scripted_target(const scripted_target&) = delete;
  scripted_target& operator=(const scripted_target&) = delete;
  scripted_target(scripted_target&&) = delete;
  scripted_target& operator=(scripted_target&&) = delete;

  [[nodiscard]] std::uint16_t port() const { return listener_.port(); }
  [[nodiscard]] int answered() const { return answered_; }

 private:
  void serve_all() {
    while (!stopping_) {
      if (!listener_.has_pending_connection()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
        continue;
      }
      raw_connection caller = listener_.accept();
      const std::string head = caller.read_until("\r\n\r\n");
      if (head.ends_with("\r\n\r\n")) {
        answer(caller, head);
      }
    }
  }

  void answer(raw_connection& caller, const std::string& head) {
    std::size_t unread = number_of(value_of(head, "content-length"));
    if (!answer_.is_early) {
      unread -= caller.read_bytes(unread);
    }
    std::string bytes = answer_.bytes;
    const std::string id = value_of(head, "x-request-id");
    for (auto at = bytes.find(request_id_mark); at != std::string::npos;
         at = bytes.find(request_id_mark)) {
      bytes.replace(at, request_id_mark.size(), id);
    }
    ++answered_;
    caller.send(bytes);
    if (answer_.then == after_answer::resets) {
      caller.reset();
    } else if (answer_.then == after_answer::reads_on) {
      caller.close_send_side();
      caller.read_bytes(unread);
    } else if (answer_.then == after_answer::reads_to_the_end) {
      caller.read_bytes(unread);
    }
  }

  // The value of a field by its name in lower case; empty: there is none.
  static std::string value_of(std::string head, std::string_view name) {
    const std::string original = head;
    for (char& c : head) {
      c = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    }
    const std::string start = "\r\n" + std::string(name) + ": ";
    const auto at = head.find(start);
    if (at == std::string::npos) {
      return {};
    }
    const auto begin = at + start.size();
    return original.substr(begin, original.find("\r\n", begin) - begin);
  }
  static std::size_t number_of(const std::string& text) {
    return text.empty() ? 0 : std::stoul(text);
  }

  const scripted_answer answer_;
  raw_listener listener_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> answered_{0};
  std::thread thread_;
};

}  // namespace arbutus::testing_support
