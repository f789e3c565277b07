// The targets of a stand-in platform that are silent for a while: their processes stand still and
// then go on where they were.
#pragma once

#include <mutex>
#include <set>
#include <string>

namespace arbutus::standin {

// Safe to use from several threads.
class silent_targets {
 public:
  void set(const std::string& target, bool silent);
  [[nodiscard]] bool contains(const std::string& target) const;

  // Suspends the calling fiber while the target is silent, also if the caller of its request has
  // left: a process that goes on reads and runs what has arrived.
  void wait_while_silent(const std::string& target) const;

 private:
  mutable std::mutex mutex_;
  std::set<std::string> targets_;
};

}  // namespace arbutus::standin
