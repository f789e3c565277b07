// The open connections of a server, per worker. Only for the .cpp files of this folder.
#pragma once

#include <atomic>
#include <boost/fiber/condition_variable.hpp>
#include <cstddef>
#include <unordered_set>
#include <vector>

#include "connection/fiber_worker.h"

namespace arbutus {

template <class Connection>
class connection_registry {
 public:
  explicit connection_registry(std::size_t workers) : shards_(workers) {}

  // The worker with the fewest connections. Callable from any thread.
  [[nodiscard]] std::size_t least_loaded() const {
    std::size_t best = 0;
    for (std::size_t i = 1; i < shards_.size(); ++i) {
      if (shards_[i].open < shards_[best].open) {
        best = i;
      }
    }
    return best;
  }

  [[nodiscard]] std::size_t size() const {
    std::size_t total = 0;
    for (const shard& s : shards_) {
      total += s.open;
    }
    return total;
  }

  // Counts a connection that is being passed to `worker`. Callable from any thread. Each
  // count_opened() is followed by one count_closed() on that worker.
  void count_opened(std::size_t worker) { ++shards_[worker].open; }

  void count_closed() {
    shard& own = shards_[current_worker()];
    --own.open;
    own.changed.notify_all();
  }

  void register_connection(Connection& connection) {
    shards_[current_worker()].connections.insert(&connection);
  }

  void unregister_connection(Connection& connection) {
    shards_[current_worker()].connections.erase(&connection);
  }

  // Calls `action` for each connection of the calling worker. `action` must not suspend.
  template <class Action>
  void for_each(Action&& action) {
    for (Connection* connection : shards_[current_worker()].connections) {
      action(*connection);
    }
  }

  // Suspends until the calling worker has no connections left.
  void wait_until_empty() {
    shard& own = shards_[current_worker()];
    no_lock lock;
    own.changed.wait(lock, [&own] { return own.open == 0; });
  }

 private:
  struct shard {
    std::atomic<std::size_t> open{0};  // connections assigned to this worker
    // Accessed only on its worker. Connections that are counted in `open` but missing here have not
    // been started yet.
    std::unordered_set<Connection*> connections;
    boost::fibers::condition_variable_any changed;
  };

  std::vector<shard> shards_;
};

}  // namespace arbutus
