// The HTTP server and client against each other on loopback.
#include <gtest/gtest.h>

#include <boost/fiber/future.hpp>

#include "connection/clock.h"
#include "connection/http_client.h"
#include "connection/http_server.h"

namespace arbutus {
namespace {

const socket_address any_port{"127.0.0.1", 0};

class connection_http : public testing::Test {
 protected:
  connection_http() { runtime.run(); }

  // Runs `work` in a fiber of worker 0 and waits for it.
  void in_fiber(const std::function<void()>& work) { runtime.run_on(0, work); }

  static time_point soon() { return monotonic_now() + 10s; }

  fiber_runtime runtime{2};
};

void echo(const http_request& request, response_writer& writer) {
  writer.send(200, {{"Content-Type", "text/plain"}, {"X-Target", request.target}},
              request.method + " " + request.body);
}

TEST_F(connection_http, answers_requests_on_one_kept_connection) {
  http_server server(runtime, any_port, {}, echo);
  http_client client(runtime);
  in_fiber([&] {
    for (int i = 0; i < 3; ++i) {
      http_request request{"POST", "/a", {}, "body " + std::to_string(i), {}};
      const auto result = client.fetch({"127.0.0.1", server.port()}, request, soon());
      ASSERT_TRUE(result.ok()) << result.detail;
      EXPECT_EQ(result.response.status, 200);
      EXPECT_EQ(result.response.body, "POST body " + std::to_string(i));
      EXPECT_EQ(result.response.headers.find("x-target"), "/a");
      EXPECT_EQ(client.idle_connections(), 1U);
    }
  });
  EXPECT_EQ(server.connections(), 1U);
}

TEST_F(connection_http, streams_chunk_by_chunk) {
  boost::fibers::promise<void> first_seen;
  auto may_go_on = first_seen.get_future();
  http_server server(runtime, any_port, {}, [&](const http_request&, response_writer& writer) {
    writer.start(200, {{"Content-Type", "text/event-stream"}});
    writer.write("one");
    may_go_on.wait();  // the second chunk is written only after the first was read
    writer.write("two");
    writer.finish();
  });
  http_client client(runtime);
  in_fiber([&] {
    std::string seen;
    const auto result = client.stream(
        {"127.0.0.1", server.port()}, {}, soon(),
        [](int status, const http_headers&) { return status == 200; },
        [&](std::string_view chunk) {
          if (seen.empty()) {
            first_seen.set_value();
          }
          seen += chunk;
          return true;
        });
    EXPECT_TRUE(result.ok()) << result.detail;
    EXPECT_EQ(seen, "onetwo");
    EXPECT_EQ(client.idle_connections(), 1U);
  });
}

}  // namespace
}  // namespace arbutus
