// Encodes frames to a stream and decodes them from it.
#include "connection/link_wire.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/write.hpp>

namespace arbutus {
namespace {

// The first byte of a hello: the protocol version, incremented when the frame format changes.
constexpr std::uint8_t link_protocol = 1;
constexpr std::size_t max_node_id_length = 255;

// A buffer that grew for a long frame shrinks to this size before the next one, so that an idle
// link uses little memory.
constexpr std::size_t default_buffer_bytes = 4UL * 1024;

std::size_t read_prefix(const std::uint8_t* at) {
  std::size_t length = 0;
  for (std::size_t i = 0; i < frame_prefix_bytes; ++i) {
    length = length << 8U | at[i];
  }
  return length;
}

void set_option(boost::asio::ip::tcp::socket& socket, int level, int name, int value) {
  ::setsockopt(socket.native_handle(), level, name, &value, sizeof value);
}

}  // namespace

void append_frame(std::vector<std::uint8_t>& out, std::span<const std::uint8_t> payload) {
  const auto length = static_cast<std::uint32_t>(payload.size());
  for (std::size_t i = 0; i < frame_prefix_bytes; ++i) {
    const auto shift = 8 * (frame_prefix_bytes - 1 - i);
    out.push_back(static_cast<std::uint8_t>(length >> shift & 0xffU));
  }
  out.insert(out.end(), payload.begin(), payload.end());
}

std::vector<std::uint8_t> hello_payload(const node_id& self) {
  std::vector<std::uint8_t> payload;
  payload.reserve(1 + self.str().size());
  payload.push_back(link_protocol);
  payload.insert(payload.end(), self.str().begin(), self.str().end());
  return payload;
}

std::optional<node_id> parse_hello(std::span<const std::uint8_t> payload) {
  const bool valid = payload.size() > 1 && payload.size() <= max_node_id_length + 1 &&
                     payload.front() == link_protocol;
  if (!valid) {
    return std::nullopt;
  }
  return node_id(std::string(payload.begin() + 1, payload.end()));
}

void detect_dead_peer(boost::asio::ip::tcp::socket& socket, duration timeout) {
  // Time without traffic after which TCP keep-alive probes are sent. Links between data centres
  // carry a frame every few minutes, and a node has hundreds of such links. With keep-alives after
  // 15 s without traffic, these alone would use half of the node's traffic budget. The next frame
  // that is sent detects a dead peer as well.
  constexpr int keepalive_idle_seconds = 120;
  constexpr int probe_seconds = 2;
  constexpr int probes = 3;
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
  set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(milliseconds.count()));
  set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_seconds);
  set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, probe_seconds);
  set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, probes);
}

link_counters atomic_link_counters::read() const {
  return {bytes_in, bytes_out, frames_in, frames_out, frames_dropped, connects};
}

std::optional<std::span<const std::uint8_t>> frame_reader::next() {
  if (!fill(frame_prefix_bytes)) {
    return std::nullopt;
  }
  const std::size_t length = read_prefix(buffer_.data() + unread_begin_);
  if (length == 0 || length > max_frame_bytes || !fill(frame_prefix_bytes + length)) {
    return std::nullopt;
  }
  const std::span<const std::uint8_t> payload(buffer_.data() + unread_begin_ + frame_prefix_bytes,
                                              length);
  unread_begin_ += frame_prefix_bytes + length;
  ++counters_.frames_in;
  counters_.bytes_in += frame_prefix_bytes + length;
  return payload;
}

// Reads until at least `desired` bytes are buffered from unread_begin_ on. False if the stream ends
// before that.
bool frame_reader::fill(std::size_t desired) {
  make_room(desired);
  while (unread_end_ - unread_begin_ < desired) {
    boost::system::error_code error;
    const auto free =
        boost::asio::buffer(buffer_.data() + unread_end_, buffer_.size() - unread_end_);
    unread_end_ += stream_.read_some(free, error);
    if (error) {
      return false;
    }
  }
  return true;
}

void frame_reader::make_room(std::size_t desired) {
  const std::size_t held = unread_end_ - unread_begin_;
  if (held >= desired) {
    return;
  }
  std::copy(buffer_.begin() + static_cast<std::ptrdiff_t>(unread_begin_),
            buffer_.begin() + static_cast<std::ptrdiff_t>(unread_end_), buffer_.begin());
  unread_begin_ = 0;
  unread_end_ = held;
  const std::size_t size = std::max({desired, held, default_buffer_bytes});
  if (buffer_.size() > 2 * size) {
    std::vector<std::uint8_t>(buffer_.begin(), buffer_.begin() + static_cast<std::ptrdiff_t>(size))
        .swap(buffer_);
  } else if (buffer_.size() < size) {
    buffer_.resize(size);
  }
}

bool write_frames(fiber_stream& stream, std::span<const std::uint8_t> frames, std::uint64_t count,
                  atomic_link_counters& counters) {
  boost::system::error_code error;
  boost::asio::write(stream, boost::asio::buffer(frames.data(), frames.size()), error);
  if (error) {
    return false;
  }
  counters.frames_out += count;
  counters.bytes_out += frames.size();
  return true;
}

}  // namespace arbutus
