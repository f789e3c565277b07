// Tests the HTTP server with callers that are broken, slow or malicious.
#include <string>
#include <vector>

#include "connection/http_client.h"
#include "connection/http_server.h"
#include "shell/connection_fixture.h"
#include "shell/raw_peer.h"

namespace arbutus {
namespace {

using namespace testing_support;

class connection_bad_http : public connection_fixture {
 protected:
  connection_bad_http() {
    limits.max_header_bytes = 2048;
    limits.max_body_bytes = 1000;
    limits.max_connections = 3;
  }

  void start() {
    server = std::make_unique<http_server>(
        runtime, any_port, limits, [this](const http_request& request, response_writer& writer) {
          ++handled;
          writer.send(200, {}, request.body);
        });
  }

  // Sends `bytes` as a request, returns the complete response, and expects the server to close the
  // connection.
  std::string answer_to(std::string_view bytes, bool end_after = false) {
    auto caller = raw_connection::to(server->port());
    caller.send(bytes);
    if (end_after) {
      caller.close_send_side();
    }
    std::string answer = caller.read_all();
    EXPECT_TRUE(caller.ended()) << "not closed after: " << answer;
    return answer;
  }

  void expect_serving() {
    const auto answer =
        answer_to("POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi");
    EXPECT_EQ(answer.substr(0, 15), "HTTP/1.1 200 OK");
    EXPECT_EQ(answer.substr(answer.size() - 2), "hi");
  }

  http_server_limits limits;
  std::atomic<int> handled{0};
  std::unique_ptr<http_server> server;
};

struct bad_request {
  std::string name;
  std::string bytes;
  std::string status;
};

// Guards against a handler that runs on half a request, and against the rest of a message being
// parsed as the next request, whose response then goes to the wrong caller. A caller, or a proxy in
// front of it, sends a message with ambiguous framing, and the server guesses instead of refusing
// it and closing.
TEST_F(connection_bad_http, each_malformed_request_is_refused_and_closed) {
  const std::string post = "POST / HTTP/1.1\r\n";
  const std::vector<bad_request> cases = {
      {"no HTTP", "hello there\r\n\r\n", "400"},
      {"bad version", "GET / HTTP/9.1\r\n\r\n", "400"},
      {"length and encoding",
       post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
      {"encoding and length",
       post + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", "400"},
      {"two lengths", post + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc", "400"},
      {"the same length twice", post + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nab", "400"},
      {"a list of lengths", post + "Content-Length: 2, 2\r\n\r\nab", "400"},
      {"a negative length", post + "Content-Length: -2\r\n\r\nab", "400"},
      {"an unknown encoding", post + "Transfer-Encoding: gzip\r\n\r\nGET / HTTP/1.1\r\n\r\n",
       "400"},
      {"two encodings",
       post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
      {"chunks of HTTP/1.0", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       "400"},
      {"bad chunk size", post + "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n", "400"},
      {"bad chunk end", post + "Transfer-Encoding: chunked\r\n\r\n2\r\nabcd\r\n0\r\n\r\n", "400"},
      {"long body", post + "Content-Length: 1001\r\n\r\n", "413"},
      {"long chunks",
       post + "Transfer-Encoding: chunked\r\n\r\n3e9\r\n" + std::string(1001, 'x') +
           "\r\n0\r\n\r\n",
       "413"},
      {"long header", "GET / HTTP/1.1\r\nX: " + std::string(3000, 'x') + "\r\n\r\n", "431"},
  };
  start();
  for (const auto& bad : cases) {
    const auto answer = answer_to(bad.bytes);
    EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 " + bad.status) << bad.name;
    EXPECT_NE(answer.find("application/json"), std::string::npos) << bad.name;
    EXPECT_NE(answer.find("\"code\":" + bad.status), std::string::npos) << bad.name;
    EXPECT_EQ(answer.find("HTTP/1.1", 1), std::string::npos) << "answered twice: " << bad.name;
  }
  EXPECT_EQ(handled, 0);
  expect_serving();
}

// Guards against memory that grows until the read timeout with what Beast buffers without a limit.
TEST_F(connection_bad_http, chunk_extensions_and_trailers_without_end_are_refused) {
  limits.read_timeout = 3s;
  start();
  const std::string chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  EXPECT_EQ(answer_to(chunked + "5;a=" + std::string(20'000, 'x')).substr(0, 12), "HTTP/1.1 431");
  EXPECT_EQ(answer_to(chunked + "0\r\nX: " + std::string(20'000, 'x')).substr(0, 12),
            "HTTP/1.1 431");
  EXPECT_EQ(handled, 0);
  expect_serving();
}

// Guards against a watch for the caller's end that reads more than the input buffer may hold.
TEST_F(connection_bad_http, a_caller_that_pipelines_without_end_is_read_up_to_a_limit) {
  awaitable_value<bool> release;
  http_server slow(runtime, any_port, limits, [&](const http_request&, response_writer& writer) {
    writer.on_caller_disconnect([] {});
    EXPECT_TRUE(fiber_wait_until([&] { return release.get(); }));
    writer.send(200, {}, "first");
  });
  auto caller = raw_connection::to(slow.port());
  caller.send("GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\nX: " + std::string(20'000, 'x'));
  release.set(true);
  EXPECT_NE(caller.read_until("first").find("200 OK"), std::string::npos);
  EXPECT_EQ(caller.read_until("\r\n").substr(0, 12), "HTTP/1.1 431");
}

TEST_F(connection_bad_http, a_truncated_request_is_refused) {
  start();
  const std::vector<std::string> cuts = {
      "GET / HT", "GET / HTTP/1.1\r\nHost: a\r\n", "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab",
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"};
  for (const auto& cut : cuts) {
    EXPECT_EQ(answer_to(cut, true).substr(0, 12), "HTTP/1.1 400") << cut;
  }
  EXPECT_EQ(handled, 0);
  expect_serving();
}

// Guards against a caller that occupies a connection forever by sending a byte now and then. The
// time limit has to apply to the whole request, not to single reads. Here part of a request
// arrives, then nothing.
TEST_F(connection_bad_http, a_slow_request_is_timed_out) {
  limits.read_timeout = 30ms;
  start();
  EXPECT_EQ(answer_to("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab").substr(0, 12),
            "HTTP/1.1 408");
  EXPECT_EQ(answer_to("GET /").substr(0, 12), "HTTP/1.1 408");
}

TEST_F(connection_bad_http, an_idle_connection_is_closed_without_a_response) {
  limits.idle_timeout = 30ms;
  start();
  EXPECT_EQ(answer_to(""), "");
}

TEST_F(connection_bad_http, a_connection_above_the_limit_gets_a_503) {
  start();
  std::vector<raw_connection> others;
  for (std::size_t i = 0; i < limits.max_connections; ++i) {
    others.push_back(raw_connection::to(server->port()));
    others.back().send("GET / HTTP/1.1\r\n\r\n");
    EXPECT_EQ(others.back().read_until("\r\n\r\n").substr(0, 12), "HTTP/1.1 200");
  }
  EXPECT_EQ(answer_to("GET / HTTP/1.1\r\n\r\n").substr(0, 12), "HTTP/1.1 503");
  others.clear();
  in_fiber([&] { EXPECT_TRUE(fiber_wait_until([&] { return server->connections() == 0; })); });
  expect_serving();
}

TEST_F(connection_bad_http, sends_100_continue_when_expected) {
  start();
  auto caller = raw_connection::to(server->port());
  caller.send("POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
  EXPECT_EQ(caller.read_until("\r\n\r\n"), "HTTP/1.1 100 Continue\r\n\r\n");
  caller.send("hi");
  EXPECT_EQ(caller.read_until("hi").substr(0, 15), "HTTP/1.1 200 OK");
}

TEST_F(connection_bad_http, pipelined_requests_are_answered_in_order) {
  start();
  const auto answer = answer_to(
      "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\none"
      "POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 3\r\n\r\ntwo");
  const auto first = answer.find("one");
  const auto second = answer.find("two");
  ASSERT_NE(first, std::string::npos);
  ASSERT_NE(second, std::string::npos);
  EXPECT_LT(first, second);
}

// Guards against memory that grows, or other streams that are cut, because one caller reads slowly:
// chunks must not be queued in the process. The handler writes without end and the caller reads
// nothing, so a write waits, and fails at the write timeout.
TEST_F(connection_bad_http, a_caller_that_does_not_read_fails_the_write) {
  limits.write_timeout = 50ms;
  awaitable_value<bool> failed;
  http_server endless(runtime, any_port, limits, [&](const http_request&, response_writer& writer) {
    writer.start(200, {});
    const std::string chunk(64UL * 1024, 'x');
    while (writer.write(chunk)) {
    }
    EXPECT_FALSE(writer.finish());
    failed.set(true);
  });
  auto caller = raw_connection::to(endless.port(), 4096);
  caller.send("GET / HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(failed.wait_for(true));
}

// Guards against memory that grows with the number of callers that do not read their answers. New
// requests are refused before their bodies are read, and are taken again once a write has failed.
TEST_F(connection_bad_http, requests_are_refused_while_buffers_are_full) {
  constexpr std::size_t answer_bytes = 8UL * 1024 * 1024;
  http_server upstream(runtime, any_port, limits, [](const http_request&, response_writer& writer) {
    writer.send(200, {}, std::string(answer_bytes, 'x'));
  });
  buffer_account buffers(answer_bytes / 2);
  http_client_limits client_limits;
  client_limits.buffers = &buffers;
  http_client client(runtime, client_limits);
  limits.buffers = &buffers;
  limits.refuses_when_full = true;
  limits.write_timeout = 500ms;
  http_server entry(
      runtime, any_port, limits, [&](const http_request& request, response_writer& writer) {
        const auto big = request.target == "/big";
        const auto answer =
            big ? client.fetch(local(upstream.port()), {}, test_deadline()) : call_result{};
        writer.send(200, {}, big ? answer.response.body : request.body);
      });
  const auto status_of = [&](std::string_view request) {
    auto caller = raw_connection::to(entry.port());
    caller.send(request);
    return caller.read_until("\r\n").substr(0, 12);
  };
  const std::string small = "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi";
  EXPECT_EQ(status_of(small), "HTTP/1.1 200");
  auto slow = raw_connection::to(entry.port(), 4096);
  slow.send("GET /big HTTP/1.1\r\n\r\n");
  in_fiber([&] { EXPECT_TRUE(fiber_wait_until([&] { return buffers.is_full(); })); });
  EXPECT_EQ(status_of(small), "HTTP/1.1 503");
  EXPECT_EQ(buffers.refusals(), 1U);
  in_fiber([&] { EXPECT_TRUE(fiber_wait_until([&] { return buffers.held() == 0; })); });
  EXPECT_EQ(status_of(small), "HTTP/1.1 200");
}

// Guards against header injection: a line break in a caller's text that is copied into a header
// must not add headers to the response.
TEST_F(connection_bad_http, a_header_with_a_line_break_is_not_sent) {
  http_server plain(runtime, any_port, limits, [](const http_request&, response_writer& writer) {
    writer.send(200, {{"X-Bad", "a\r\nSet-Cookie: b"}, {"X-Good", "c"}}, "");
  });
  auto caller = raw_connection::to(plain.port());
  caller.send("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
  const auto answer = caller.read_all();
  EXPECT_EQ(answer.find("Set-Cookie"), std::string::npos);
  EXPECT_NE(answer.find("X-Good: c"), std::string::npos);
}

}  // namespace
}  // namespace arbutus
