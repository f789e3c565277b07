// Reads, writes and counts frames on a stream. Only for the .cpp files of this folder.
#pragma once

#include <atomic>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "connection/fiber_stream.h"
#include "connection/link.h"

namespace arbutus {

constexpr std::size_t frame_prefix_bytes = 4;

// Size of the kernel's socket buffers of a link, in bytes. State frames in them can no longer be
// superseded, so they are small; still, many control messages fit.
constexpr int link_kernel_buffer_bytes = 64 * 1024;

// Appends `payload` with its length prefix to `out`.
void append_frame(std::vector<std::uint8_t>& out, std::span<const std::uint8_t> payload);

[[nodiscard]] std::vector<std::uint8_t> hello_payload(const node_id& self);

// The node id in a hello frame. Empty if the payload is not a hello of the supported protocol
// version.
[[nodiscard]] std::optional<node_id> parse_hello(std::span<const std::uint8_t> payload);

// Makes the kernel detect a peer that vanished without closing the connection: by data that is not
// acknowledged within `timeout`, and by keep-alive probes while there is nothing to send.
void detect_dead_peer(boost::asio::ip::tcp::socket& socket, duration timeout);

struct atomic_link_counters {
  std::atomic<std::uint64_t> bytes_in{0};
  std::atomic<std::uint64_t> bytes_out{0};
  std::atomic<std::uint64_t> frames_in{0};
  std::atomic<std::uint64_t> frames_out{0};
  std::atomic<std::uint64_t> frames_dropped{0};
  std::atomic<std::uint64_t> connects{0};

  [[nodiscard]] link_counters read() const;
};

// Splits the bytes of a stream into frames.
class frame_reader {
 public:
  frame_reader(fiber_stream& stream, atomic_link_counters& counters)
      : stream_(stream), counters_(counters) {}

  // The payload of the next frame, valid until the next call. Empty at the end of the stream, on an
  // error, and if the peer sends an invalid length.
  std::optional<std::span<const std::uint8_t>> next();

 private:
  bool fill(std::size_t desired);
  // Moves the buffered bytes to the front, and resizes the buffer to at least `desired`.
  void make_room(std::size_t desired);

  fiber_stream& stream_;
  atomic_link_counters& counters_;
  std::vector<std::uint8_t> buffer_;
  std::size_t unread_begin_{0};  // first byte not yet returned
  std::size_t unread_end_{
      0};  // past the last byte received; unread_begin_ <= unread_end_ <= buffer_.size()
};

// Writes `frames`, which contains `count` complete frames. False on an error.
bool write_frames(fiber_stream& stream, std::span<const std::uint8_t> frames, std::uint64_t count,
                  atomic_link_counters& counters);

}  // namespace arbutus
