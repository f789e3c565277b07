// Measures the connections of this folder against themselves on loopback.
#pragma once

#include <cstddef>
#include <cstdint>
#include <ostream>
#include <vector>

#include "base/units.h"

namespace arbutus {

// What an idle runtime costs, with open connections and links that carry nothing.
struct idle_cost {
  std::size_t workers{};
  double core_fraction{};  // processor time over wall time, of the whole process
};

// Whole requests of a client against a server, each on a runtime of its own.
struct request_rate {
  std::size_t workers{};  // of each of the two runtimes
  std::size_t callers{};  // calls under way at any time
  double per_second{};
  duration p50{};
  duration p99{};
  duration processor_per_request{};  // both sides together
  std::uint64_t failed{};
};

// Chunks of one long answer, written one by one and read as they come.
struct stream_rate {
  std::size_t streams{};
  double chunks_per_second{};
  duration processor_per_thousand_chunks{};  // both sides together
};

// Frames over one link, as many as it takes.
struct frame_rate {
  double per_second{};
  std::uint64_t dropped{};
};

// Resident memory that open connections take, both sides together: while each carries a request,
// and idle afterwards (stacks of fibers that have ended are kept for the next ones).
struct connection_memory {
  std::size_t connections{};
  std::size_t busy_bytes_each{};
  std::size_t idle_bytes_each{};
};

struct connection_figures {
  idle_cost idle;
  std::vector<request_rate> requests;
  stream_rate streams;
  frame_rate frames;
  connection_memory memory;
};

// Each figure is measured for about `each`; all of them take about 15 times that. Not from a fiber.
[[nodiscard]] connection_figures bench_connections(duration each);

// One figure a line, for people.
void print(std::ostream& out, const connection_figures& figures);

}  // namespace arbutus
