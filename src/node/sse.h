// Server-sent events of engines: splits bytes into frames and parses the frames.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/id.h"

namespace arbutus {

// Frames end with an empty line; a read may hold part of one or several.
class sse_splitter {
 public:
  // Longer input without a frame end is not the stream of an engine.
  static constexpr std::size_t max_sse_frame_bytes = 1024 * 1024;

  void append(std::string_view bytes) { buffer_.append(bytes); }
  // The next complete frame with its empty line; the view is valid until the next call.
  [[nodiscard]] std::optional<std::string_view> next();
  [[nodiscard]] bool overflowed() const {
    return buffer_.size() - returned_bytes_ > max_sse_frame_bytes;
  }

 private:
  std::string buffer_;
  std::size_t returned_bytes_ = 0;  // bytes of buffer_ that were returned by next()
};

enum class frame_kind {
  token,
  finish,  // no token; the answer is complete
  done,    // [DONE]
  other,   // no part of the answer
  malformed,
};

struct engine_frame {
  frame_kind kind = frame_kind::malformed;
  request_id id;
  std::uint64_t offset{};         // index of the token; for finish: number of tokens in the answer
  bool completes_answer = false;  // this token completes the answer
};

[[nodiscard]] engine_frame parse_frame(std::string_view frame);

}  // namespace arbutus
