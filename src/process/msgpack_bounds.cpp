#include "process/msgpack_bounds.h"

#include <cstdint>
#include <vector>

namespace arbutus {

namespace {

// Walks over the values of a MessagePack document without recursion.
class depth_check {
 public:
  explicit depth_check(std::string_view bytes) : bytes_(bytes) {}

  bool bounded(std::size_t depth) {
    std::vector<std::uint64_t> pending{1};  // number of values still to come in each open container
    while (!pending.empty()) {
      if (pending.back() == 0) {
        pending.pop_back();
        continue;
      }
      --pending.back();
      if (position_ >= bytes_.size()) {
        return false;
      }
      const std::uint64_t inner = next();
      if (inner > 0) {
        pending.push_back(inner);
      }
      if (pending.size() > depth) {
        return false;
      }
    }
    return true;
  }

 private:
  // Skips one value's head and body. Returns the number of nested values of a container, else 0.
  std::uint64_t next() {
    const auto head = static_cast<std::uint8_t>(bytes_[position_++]);
    if (head <= 0x7f || head >= 0xe0) {
      return 0;
    }
    if (head <= 0x8f) {
      return std::uint64_t{2} * (head & 0x0fU);
    }
    if (head <= 0x9f) {
      return head & 0x0fU;
    }
    if (head <= 0xbf) {
      return skip(head & 0x1fU);
    }
    return next_sized(head);
  }

  std::uint64_t next_sized(std::uint8_t head) {
    switch (head) {
      case 0xc4:
      case 0xd9:
        return skip(number(1));
      case 0xc5:
      case 0xda:
        return skip(number(2));
      case 0xc6:
      case 0xdb:
        return skip(number(4));
      case 0xcc:
      case 0xd0:
        return skip(1);
      case 0xcd:
      case 0xd1:
        return skip(2);
      case 0xca:
      case 0xce:
      case 0xd2:
        return skip(4);
      case 0xcb:
      case 0xcf:
      case 0xd3:
        return skip(8);
      case 0xdc:
        return number(2);
      case 0xdd:
        return number(4);
      case 0xde:
        return 2 * number(2);
      case 0xdf:
        return 2 * number(4);
      default:
        return 0;  // nil and booleans; the reader rejects extensions
    }
  }

  std::uint64_t skip(std::uint64_t count) {
    position_ += count;
    return 0;
  }

  std::uint64_t number(std::size_t width) {
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < width && position_ < bytes_.size(); ++i) {
      value = value << 8 | static_cast<std::uint8_t>(bytes_[position_++]);
    }
    return value;
  }

  std::string_view bytes_;
  std::uint64_t position_{};
};

}  // namespace

bool nesting_bounded(std::string_view bytes, std::size_t depth) {
  return depth_check(bytes).bounded(depth);
}

}  // namespace arbutus
