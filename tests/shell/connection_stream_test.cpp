// Tests how a stream reports the end of its connection.
#include <array>
#include <boost/asio/error.hpp>
#include <string>

#include "connection/fiber_stream.h"
#include "shell/connection_fixture.h"
#include "shell/raw_peer.h"

namespace arbutus {
namespace {

using namespace testing_support;
using boost::system::error_code;

class connection_stream : public connection_fixture {
 protected:
  // Runs `work` with a stream and the peer at its other end.
  template <class Work>
  void with_connection(Work&& work) {
    in_fiber([&] {
      fiber_stream stream(boost::asio::ip::tcp::socket(this_worker()->io));
      stream.set_deadline(test_deadline());
      error_code error;
      stream.connect({boost::asio::ip::address_v4::loopback(), listener.port()}, error);
      ASSERT_FALSE(error) << error.message();
      raw_connection peer = listener.accept();
      work(stream, peer);
    });
  }

  static std::string read_all(fiber_stream& stream, error_code& error) {
    std::string seen;
    std::array<char, 16> buffer{};
    error = {};
    while (!error) {
      const std::size_t count = stream.read_some(boost::asio::buffer(buffer), error);
      seen.append(buffer.data(), count);
    }
    return seen;
  }

  static void write_until_error(fiber_stream& stream) {
    const std::string bytes(64UL * 1024, 'x');
    error_code error;
    while (!error) {
      stream.write_some(boost::asio::buffer(bytes), error);
    }
  }

  raw_listener listener;
};

// Guards against a reset that looks like an orderly end, since the write has consumed its report.
TEST_F(connection_stream, a_reset_reported_to_a_write_is_no_end_of_stream) {
  with_connection([](fiber_stream& stream, raw_connection& peer) {
    peer.send("part");
    peer.reset();
    write_until_error(stream);
    error_code error;
    EXPECT_EQ(read_all(stream, error), "part");
    EXPECT_NE(error, boost::asio::error::eof);
  });
}

// Guards against a reset that looks like an orderly end, since a look at the socket has consumed
// its report.
TEST_F(connection_stream, a_reset_reported_to_a_peek_is_no_end_of_stream) {
  with_connection([](fiber_stream& stream, raw_connection& peer) {
    peer.reset();
    error_code error;
    stream.wait_readable(error);
    EXPECT_EQ(stream.peek(), peek_state::closed);
    EXPECT_EQ(read_all(stream, error), "");
    EXPECT_NE(error, boost::asio::error::eof);
  });
}

// Guards against a close that abandons what the stream has sent and looks like an orderly one.
TEST_F(connection_stream, a_reset_behind_the_end_of_stream_is_no_orderly_end) {
  with_connection([](fiber_stream& stream, raw_connection& peer) {
    peer.send("part");
    peer.close_send_side();
    peer.close();
    write_until_error(stream);
    error_code error;
    EXPECT_EQ(read_all(stream, error), "part");
    EXPECT_NE(error, boost::asio::error::eof);
  });
}

// Guards against the same where no operation has reported the reset yet.
TEST_F(connection_stream, an_unreported_reset_behind_the_end_of_stream_is_no_orderly_end) {
  with_connection([](fiber_stream& stream, raw_connection& peer) {
    error_code error;
    stream.write_some(boost::asio::buffer("unread", 6), error);
    peer.send("part");
    peer.close_send_side();
    peer.close();
    EXPECT_EQ(read_all(stream, error), "part");
    EXPECT_NE(error, boost::asio::error::eof);
  });
}

TEST_F(connection_stream, an_orderly_close_is_an_end_of_stream) {
  with_connection([](fiber_stream& stream, raw_connection& peer) {
    peer.send("whole");
    peer.close();
    error_code error;
    EXPECT_EQ(read_all(stream, error), "whole");
    EXPECT_EQ(error, boost::asio::error::eof);
  });
}

// Guards against a rejection of answers whose target half-closes and reads on.
TEST_F(connection_stream, a_half_close_is_an_end_of_stream) {
  with_connection([](fiber_stream& stream, raw_connection& peer) {
    peer.send("whole");
    peer.close_send_side();
    error_code error;
    EXPECT_EQ(read_all(stream, error), "whole");
    EXPECT_EQ(error, boost::asio::error::eof);
    stream.write_some(boost::asio::buffer("rest", 4), error);
    EXPECT_FALSE(error) << error.message();
    EXPECT_EQ(peer.read_bytes(4), 4U);
  });
}

}  // namespace
}  // namespace arbutus
