// The network paths from one node to the targets of a stand-in platform. Each path is a TCP
// forwarder with an address of its own, which the node takes for the target's address, and can be
// cut while the node reaches everything else.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "version/inventory.h"

namespace arbutus::standin {

enum class path_state : std::uint8_t {
  open,
  silent,         // nothing passes: bytes are held, and new connections are never established
  one_way,        // the same, except that the node's bytes on open connections reach the target
  reset,          // open connections are reset, and new ones are refused
  closed_to_new,  // open connections go on, and new ones are refused
};

// An answer that a path gives in its target's place, and that is none. The platform's own calls,
// below /api/, reach the target.
struct faulty_answer {
  std::string bytes;  // request_id_mark stands for the id of the request
  // Sent once the head of the request has come, and followed by a reset. Otherwise the path reads
  // the whole request first, and closes the connection after the answer.
  bool resets_early = false;
};
inline constexpr std::string_view request_id_mark = "REQUEST-ID";

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
  // What the path answers from now on; empty bytes: it forwards again.
  void set_answer(const endpoint& target, const faulty_answer& answer);
  void set_answer(const faulty_answer& answer);  // of all paths
  // Whether a process listens at the target. If none does, its path refuses connections, too.
  void set_listening(const endpoint& target, bool listens);

 private:
  class path;
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace arbutus::standin
