// The network paths from one node to the targets of a stand-in platform. Each path is a TCP
// forwarder with an address of its own, which the node takes for the target's address, and can be
// cut while the node reaches everything else.
#pragma once

#include <cstdint>
#include <memory>

#include "version/inventory.h"

namespace arbutus::standin {

enum class path_state : std::uint8_t {
  open,
  silent,         // nothing passes: bytes are held, and new connections are never established
  one_way,        // the same, except that the node's bytes on open connections reach the target
  reset,          // open connections are reset, and new ones are refused
  closed_to_new,  // open connections go on, and new ones are refused
};

class network_paths {
 public:
  network_paths();
  ~network_paths();
  network_paths(const network_paths&) = delete;
  network_paths& operator=(const network_paths&) = delete;
  network_paths(network_paths&&) = delete;
  network_paths& operator=(network_paths&&) = delete;

  // Opens a path to the target. To be called for all targets before the first call of path_to().
  void add(const endpoint& target);
  // The address of the path; the target's own address if it has no path.
  [[nodiscard]] endpoint path_to(const endpoint& target) const;

  // Returns when the state is in force; blocks the calling thread for some ms at most.
  void set_state(path_state to);  // of all paths
  void set_state(const endpoint& target, path_state to);
  // Whether a process listens at the target. If none does, its path refuses connections, too.
  void set_listening(const endpoint& target, bool listens);

 private:
  class path;
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace arbutus::standin
