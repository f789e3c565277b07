// Benchmarks of the connection layer, with both ends in one process over loopback.
#pragma once

#include <cstddef>
#include <cstdint>
#include <ostream>
#include <vector>

#include "base/units.h"

namespace arbutus {

// CPU use of an idle runtime with open connections and links that carry no traffic.
struct idle_cost {
  std::size_t workers{};
  double cpu_core_fraction{};  // processor time over wall time, of the whole process
};

// Throughput and latency of complete requests. Client and server each have their own runtime.
struct request_rate {
  std::size_t workers{};  // worker threads of each of the two runtimes
  std::size_t callers{};  // concurrent calls
  double per_second{};    // completed requests
  duration p50{};
  duration p99{};
  duration processor_per_request{};  // both sides together
  std::uint64_t failed{};            // requests that failed
};

// Chunks of endless responses, written one by one and read as they arrive.
struct stream_rate {
  std::size_t streams{};  // concurrent responses
  double chunks_per_second{};
  duration processor_per_thousand_chunks{};  // both sides together
};

// Frames sent over one link as fast as it accepts them.
struct frame_rate {
  double per_second{};      // frames sent
  std::uint64_t dropped{};  // frames dropped from the full queue
};

// Resident memory per open connection, both sides together: while each carries a request, and idle
// afterwards. Stacks of finished fibers are kept for reuse.
struct connection_memory {
  std::size_t connections{};
  std::size_t busy_bytes_per_connection{};  // while each connection carries a request
  std::size_t idle_bytes_per_connection{};  // after the requests have ended
};

struct connection_figures {
  idle_cost idle;
  std::vector<request_rate> requests;
  stream_rate streams;
  frame_rate frames;
  connection_memory memory;
};

// Each benchmark runs for about `each`; all of them take about 15 times that. Must not be called
// from a fiber.
[[nodiscard]] connection_figures bench_connections(duration each);

// Writes the figures as text, with one result per line.
void print(std::ostream& out, const connection_figures& figures);

}  // namespace arbutus
