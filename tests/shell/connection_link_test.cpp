// Tests the connections (links) between nodes, with real peers and with peers scripted with raw
// sockets.
#include "connection/frame_queue.h"
#include "connection/link.h"
#include "shell/connection_fixture.h"
#include "shell/raw_peer.h"

namespace arbutus {
namespace {

using namespace testing_support;

using bytes = std::vector<std::uint8_t>;

bytes frame_of(std::string_view text) {
  return {text.begin(), text.end()};
}

std::string wire_of(std::string_view payload) {
  std::string wire(4, '\0');
  wire[2] = static_cast<char>(payload.size() >> 8U);
  wire[3] = static_cast<char>(payload.size() & 0xffU);
  return wire.append(payload);
}

const std::string hello_of_a = wire_of(
    "\x01"
    "a");
const std::string hello_of_b = wire_of(
    "\x01"
    "b");

class connection_link : public connection_fixture {
 protected:
  connection_link() {
    limits.first_backoff = 2ms;
    limits.max_backoff = 20ms;
  }

  std::unique_ptr<link_server> make_server(std::uint16_t port = 0) {
    return std::make_unique<link_server>(
        runtime, socket_address{"127.0.0.1", port}, node_id("b"), limits,
        [this](const node_id& peer, std::span<const std::uint8_t> payload) {
          received.change([&](auto& seen) {
            seen.push_back(peer.str() + ":" + std::string(payload.begin(), payload.end()));
          });
        },
        [this](const node_id& peer, bool up) {
          server_link_state.set(peer.str() + (up ? "+" : "-"));
        });
  }

  std::unique_ptr<link_client> make_client(std::uint16_t port) {
    return std::make_unique<link_client>(runtime, 0, local(port), node_id("a"), 7, limits,
                                         [this](const node_id& peer, bool up) {
                                           client_link_state.set(peer.str() + (up ? "+" : "-"));
                                         });
  }

  link_limits limits;
  awaitable_value<std::vector<std::string>> received;
  awaitable_value<std::string> server_link_state;
  awaitable_value<std::string> client_link_state;
};

TEST_F(connection_link, carries_frames_in_order_and_counts_them) {
  auto server = make_server();
  auto client = make_client(server->port());
  ASSERT_TRUE(client_link_state.wait_for("b+"));
  EXPECT_TRUE(client->up());
  EXPECT_TRUE(client->send(frame_of("one"), frame_priority::state));
  EXPECT_TRUE(client->send(frame_of("two"), frame_priority::state));
  ASSERT_TRUE(received.wait_for({"a:one", "a:two"}));
  EXPECT_EQ(client->counters().frames_out, 3U);  // two frames and the hello
  EXPECT_EQ(client->counters().bytes_out, hello_of_a.size() + 14);
  EXPECT_EQ(server->counters().frames_in, 3U);
  EXPECT_EQ(server->counters().bytes_in, client->counters().bytes_out);
  EXPECT_EQ(client->counters().bytes_in, server->counters().bytes_out);
  EXPECT_EQ(client->counters().frames_dropped, 0U);
  client.reset();
  EXPECT_TRUE(client_link_state.wait_for("b-"));
  EXPECT_TRUE(server_link_state.wait_for("a-"));
}

TEST_F(connection_link, carries_the_longest_frame_and_refuses_a_longer_one) {
  limits.max_queue_bytes = 2 * max_frame_bytes;
  auto server = make_server();
  auto client = make_client(server->port());
  ASSERT_TRUE(client_link_state.wait_for("b+"));
  EXPECT_TRUE(client->send(bytes(max_frame_bytes, 'x'), frame_priority::state));
  EXPECT_FALSE(client->send(bytes(max_frame_bytes + 1, 'x'), frame_priority::state));
  EXPECT_FALSE(client->send({}, frame_priority::state));
  EXPECT_TRUE(client->send(frame_of("end"), frame_priority::state));
  ASSERT_TRUE(received.wait([](const auto& seen) { return seen.size() == 2; }));
  EXPECT_EQ(received.get().front().size(), max_frame_bytes + 2);
  EXPECT_EQ(received.get().back(), "a:end");
}

// Guards against a restarted node that receives no updates any more: the peer ends and returns at
// the same address, so the link has to be made again.
TEST_F(connection_link, reconnects_when_its_peer_returns) {
  auto server = make_server();
  const auto port = server->port();
  auto client = make_client(port);
  ASSERT_TRUE(client_link_state.wait_for("b+"));
  server.reset();
  ASSERT_TRUE(client_link_state.wait_for("b-"));
  EXPECT_FALSE(client->up());
  EXPECT_FALSE(client->send(frame_of("old state"), frame_priority::state));
  EXPECT_TRUE(client->send(frame_of("urgent"), frame_priority::urgent));
  server = make_server(port);
  ASSERT_TRUE(client_link_state.wait_for("b+"));
  EXPECT_TRUE(received.wait_for({"a:urgent"}));
  EXPECT_EQ(client->counters().connects, 2U);
  EXPECT_EQ(client->counters().frames_dropped, 1U);
}

// Guards against memory that grows with every slow peer, and against a recovered peer that acts on
// outdated state. The peer sends its hello and then reads nothing, while state is sent repeatedly.
// The queue has to be bounded, and to drop old frames rather than new ones.
TEST_F(connection_link, a_slow_peer_gets_the_newest_state) {
  const raw_listener peer;
  limits.max_queue_bytes = 8UL * 1024;
  auto client = make_client(peer.port());
  auto slow = peer.accept();
  slow.send(hello_of_b);
  ASSERT_TRUE(client_link_state.wait_for("b+"));
  EXPECT_TRUE(client->send(frame_of("urgent!"), frame_priority::urgent));
  const std::string filler(1000, '.');
  int sent = 0;
  while (client->counters().frames_dropped < 1000) {
    ASSERT_LT(sent, 1'000'000);
    client->send(frame_of(filler + std::to_string(sent++)), frame_priority::state);
  }
  client->send(frame_of("newest"), frame_priority::state);
  const auto seen = slow.read_until("newest");
  EXPECT_NE(seen.find("newest"), std::string::npos);
  EXPECT_NE(seen.find("urgent!"), std::string::npos);
}

// Guards against a paused peer that counts as up while frames wait for it. The peer's kernel
// accepts what fits into its buffers, its process reads nothing, so writes need a time limit.
TEST_F(connection_link, a_peer_that_reads_nothing_is_down) {
  const raw_listener peer;
  limits.write_timeout = 30ms;
  auto client = make_client(peer.port());
  auto paused = peer.accept();
  paused.send(hello_of_b);
  ASSERT_TRUE(client_link_state.wait_for("b+"));
  const bytes large(limits.max_queue_bytes / 2, 'x');
  in_fiber([&] {
    EXPECT_TRUE(fiber_wait_until([&] {
      client->send(large, frame_priority::state);
      return client_link_state.get() == "b-";
    }));
  });
}

TEST_F(connection_link, invalid_peers_are_disconnected) {
  limits.hello_timeout = 30ms;
  auto server = make_server();
  const std::vector<std::string> invalid_hellos = {
      "GET / HTTP/1.1\r\n\r\n",  // its first bytes are not a valid length
      wire_of("\x02"
              "a"),                             // a hello of another version of the protocol
      wire_of("\x01"),                          // a hello without a node name
      wire_of("\x01" + std::string(256, 'a')),  // a hello with a node name that is too long
      std::string(4, '\0'),                     // a frame of length 0
      hello_of_a.substr(0, 5),                  // half of a hello, then nothing
  };
  for (const auto& hello : invalid_hellos) {
    auto caller = raw_connection::to(server->port());
    caller.send(hello);
    EXPECT_EQ(caller.read_all(), "");
    EXPECT_FALSE(caller.timed_out());
  }
  EXPECT_EQ(server_link_state.get(), "");
  auto client = make_client(server->port());
  EXPECT_TRUE(server_link_state.wait_for("a+"));
}

TEST_F(connection_link, a_length_over_the_limit_ends_the_link) {
  auto server = make_server();
  auto caller = raw_connection::to(server->port());
  caller.send(hello_of_a + wire_of("good"));
  EXPECT_EQ(caller.read_until(hello_of_b), hello_of_b);
  ASSERT_TRUE(received.wait_for({"a:good"}));
  caller.send(std::string("\x00\x10\x00\x01", 4) + std::string(100, 'x'));
  EXPECT_TRUE(server_link_state.wait_for("a-"));
  EXPECT_EQ(received.get().size(), 1U);
}

// Guards against a peer that counts as lost although its new link works. The link breaks without
// one side noticing, the peer reconnects, and only then the old link is found to be broken; the end
// of one link must not count as the loss of the peer.
TEST_F(connection_link, the_end_of_an_older_link_does_not_mark_the_peer_down) {
  auto server = make_server();
  auto older = raw_connection::to(server->port());
  older.send(hello_of_a);
  older.read_until(hello_of_b);
  ASSERT_TRUE(server_link_state.wait_for("a+"));
  auto newer = raw_connection::to(server->port());
  newer.send(hello_of_a);
  newer.read_until(hello_of_b);
  older.reset();
  newer.send(wire_of("news"));
  ASSERT_TRUE(received.wait_for({"a:news"}));
  in_fiber([&] { fiber_wait_until([&] { return server->counters().connects == 2; }); });
  EXPECT_EQ(server_link_state.get(), "a+");
  newer.close();
  EXPECT_TRUE(server_link_state.wait_for("a-"));
}

TEST(connection_frame_queue, drops_the_oldest_state_first) {
  frame_queue queue(10);
  EXPECT_EQ(queue.push(frame_of("s1.."), frame_priority::state), 0U);
  EXPECT_EQ(queue.push(frame_of("u1"), frame_priority::urgent), 0U);
  EXPECT_EQ(queue.push(frame_of("s2.."), frame_priority::state), 0U);
  EXPECT_EQ(queue.push(frame_of("s3"), frame_priority::state), 1U);
  bytes wire;
  EXPECT_EQ(queue.take_batch(wire, 1000), 3U);
  EXPECT_EQ(std::string(wire.begin(), wire.end()), wire_of("u1") + wire_of("s2..") + wire_of("s3"));
  EXPECT_TRUE(queue.empty());
  EXPECT_EQ(queue.bytes(), 0U);
}

TEST(connection_frame_queue, stays_within_its_bound_with_urgent_frames_alone) {
  frame_queue queue(10);
  for (int i = 0; i < 100; ++i) {
    queue.push(frame_of("u" + std::to_string(i % 10) + ".."), frame_priority::urgent);
    EXPECT_LE(queue.bytes(), 10U);
  }
  bytes wire;
  EXPECT_EQ(queue.take_batch(wire, 1), 1U);
  EXPECT_EQ(std::string(wire.begin(), wire.end()), wire_of("u8.."));
}

}  // namespace
}  // namespace arbutus
