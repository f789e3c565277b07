// Which nodes a hub passes the whole list of targets on to, in one round of beats.
//
// Goes wrong without a bound: all nodes start at once and read the list, their hub reads it a
// moment later, and each node is behind that. The hub passes the list to all of them in every beat
// until they say that they have it: 1.3 MB for each of 59 nodes, five times a second. Its link is
// full for as long as it lasts; one would see leaving targets that are still used after four
// seconds.
#pragma once

#include <cstddef>

namespace arbutus {

class list_budget {
 public:
  void begin_round() { passed_on_ = false; }

  // Whether a list of so many bytes goes to one more of so many nodes. What is too much for all
  // goes to one a round; the others ask the store from where they are, which is a call and few
  // bytes.
  [[nodiscard]] bool take(std::size_t bytes, std::size_t nodes) {
    if (bytes * nodes <= most_bytes) {
      return true;
    }
    const bool first = !passed_on_;
    passed_on_ = true;
    return first;
  }

  // 100 ms of a link of 20 Mbit/s, to all nodes together.
  static constexpr std::size_t most_bytes = 256UL * 1024;

 private:
  bool passed_on_ = false;
};

}  // namespace arbutus
