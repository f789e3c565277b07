// Counts the bytes that a node holds in buffers for callers and targets, over all connections.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <utility>

namespace arbutus {

class buffer_account {
 public:
  // `limit`: bytes above which no new request is to be taken; 0: none.
  explicit buffer_account(std::size_t limit) : limit_(limit) {}

  // Whether `more` bytes exceed the limit.
  [[nodiscard]] bool is_full(std::size_t more = 0) const {
    return limit_ > 0 && held_ + more > limit_;
  }
  [[nodiscard]] std::size_t held() const { return held_; }

  // Whether a buffer that is still growing has to be given up: the account holds twice its limit,
  // though no new request is taken, and the buffer is larger than the mean. Small buffers are never
  // given up for the sake of large ones.
  [[nodiscard]] bool is_over_share(std::size_t bytes) const {
    const std::size_t most = 2 * limit_;
    return limit_ > 0 && held_ > most && bytes * buffers_ > most;
  }

  void change(std::size_t from, std::size_t to) {
    held_ += to - from;  // wraps around, so that no other thread sees both
    buffers_ += to > 0 ? 1 : 0;
    buffers_ -= from > 0 ? 1 : 0;
  }

  // Counts a request that was refused because the account is full.
  void count_refusal() { ++refusals_; }
  [[nodiscard]] std::uint64_t refusals() const { return refusals_; }

 private:
  const std::size_t limit_;
  std::atomic<std::size_t> held_{0};
  std::atomic<std::size_t> buffers_{0};  // that hold any byte
  std::atomic<std::uint64_t> refusals_{0};
};

// The bytes of one buffer in an account; a copy belongs to a copy of the buffer. The account, if
// there is one, outlives this object.
class held_bytes {
 public:
  explicit held_bytes(buffer_account* account = nullptr) : account_(account) {}
  held_bytes(const held_bytes& other) : account_(other.account_) { set(other.bytes_); }
  held_bytes(held_bytes&& other) noexcept
      : account_(other.account_), bytes_(std::exchange(other.bytes_, 0)) {}
  held_bytes& operator=(held_bytes other) noexcept {
    std::swap(account_, other.account_);
    std::swap(bytes_, other.bytes_);
    return *this;
  }
  ~held_bytes() { set(0); }

  void set(std::size_t bytes) {
    if (account_ != nullptr) {
      account_->change(bytes_, bytes);
      bytes_ = bytes;
    }
  }

 private:
  buffer_account* account_;
  std::size_t bytes_ = 0;
};

}  // namespace arbutus
