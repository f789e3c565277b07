// Benchmarks of the connection layer, with both ends in one process over loopback.
#include "connection/bench_connections.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/fiber/operations.hpp>
#include <fstream>
#include <thread>

#include "connection/clock.h"
#include "connection/http_client.h"
#include "connection/http_server.h"
#include "connection/link.h"

namespace arbutus {
namespace {

constexpr std::size_t max_bench_workers = 4;
constexpr std::size_t callers_per_worker = 16;
constexpr std::size_t concurrent_streams = 16;

// Number of connections whose memory is measured. Both ends of each are in this process, so the
// number stays below the usual limit of 1024 open files.
constexpr std::size_t open_connections = 400;

// About the size of a small JSON response and of one token as a server-sent event.
constexpr std::size_t answer_body_bytes = 256;
constexpr std::size_t chunk_bytes = 64;
constexpr std::size_t frame_bytes = 110;

const socket_address any_port{"127.0.0.1", 0};

duration processor_time() {
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  const auto of = [](const timeval& t) { return duration{t.tv_sec * 1'000'000 + t.tv_usec}; };
  return of(usage.ru_utime) + of(usage.ru_stime);
}

struct stopwatch {
  time_point began{monotonic_now()};
  duration processor_began{processor_time()};

  [[nodiscard]] duration elapsed() const { return monotonic_now() - began; }
  [[nodiscard]] duration processor() const { return processor_time() - processor_began; }
};

// Runs `work(i)` for each i below `count`, spread over the workers, and waits for all of them.
void run_callers(fiber_runtime& runtime, std::size_t count,
                 const std::function<void(std::size_t)>& work) {
  std::atomic<std::size_t> left{count};
  for (std::size_t i = 0; i < count; ++i) {
    runtime.post(i % runtime.workers(), [&work, &left, i] {
      work(i);
      --left;
      left.notify_all();
    });
  }
  for (std::size_t now = left; now != 0; now = left) {
    left.wait(now);
  }
}

duration percentile(const std::vector<duration>& sorted, double fraction) {
  if (sorted.empty()) {
    return {};
  }
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(last * fraction)];
}

request_rate bench_requests(std::size_t workers, std::size_t callers, duration each) {
  fiber_runtime server_side(workers);
  fiber_runtime client_side(workers);
  server_side.run();
  client_side.run();
  const std::string body(answer_body_bytes, 'x');
  const http_server server(server_side, any_port, {},
                           [&](const http_request&, response_writer& writer) {
                             writer.send(200, {{"Content-Type", "application/json"}}, body);
                           });
  http_client client(client_side);
  std::vector<std::vector<duration>> latencies(callers);
  std::atomic<std::uint64_t> failed{0};
  const stopwatch watch;
  const time_point end = monotonic_now() + each;
  run_callers(client_side, callers, [&](std::size_t caller) {
    const http_request request{"POST", "/v1/completions", {}, body, {}};
    for (time_point now = monotonic_now(); now < end;) {
      const auto result = client.fetch({"127.0.0.1", server.port()}, request, now + 10s);
      const time_point done = monotonic_now();
      latencies[caller].push_back(done - now);
      failed += result.ok() ? 0U : 1U;
      now = done;
    }
  });
  const duration elapsed = watch.elapsed();
  const duration processor = watch.processor();
  std::vector<duration> all;
  for (const auto& part : latencies) {
    all.insert(all.end(), part.begin(), part.end());
  }
  std::sort(all.begin(), all.end());
  const auto count = static_cast<duration::rep>(std::max<std::size_t>(all.size(), 1));
  return {workers,
          callers,
          static_cast<double>(all.size()) / to_seconds(elapsed),
          percentile(all, 0.5),
          percentile(all, 0.99),
          processor / count,
          failed};
}

stream_rate bench_streams(duration each) {
  fiber_runtime server_side(1);
  fiber_runtime client_side(1);
  server_side.run();
  client_side.run();
  const std::string chunk(chunk_bytes, 'x');
  const http_server server(server_side, any_port, {},
                           [&](const http_request&, response_writer& writer) {
                             writer.start(200, {{"Content-Type", "text/event-stream"}});
                             while (writer.write(chunk)) {
                               boost::this_fiber::yield();
                             }
                           });
  http_client client(client_side);
  std::atomic<std::uint64_t> bytes{0};
  const stopwatch watch;
  const time_point end = monotonic_now() + each;
  run_callers(client_side, concurrent_streams, [&](std::size_t) {
    client.stream(
        {"127.0.0.1", server.port()}, {}, end + 10s, [](int, const http_headers&) { return true; },
        [&](std::string_view seen) {
          bytes += seen.size();
          return monotonic_now() < end;
        });
  });
  const double chunks = static_cast<double>(bytes) / static_cast<double>(chunk_bytes);
  const double processor = to_seconds(watch.processor());
  return {concurrent_streams, chunks / to_seconds(watch.elapsed()),
          from_seconds(processor / std::max(chunks, 1.0) * 1000)};
}

frame_rate bench_frames(duration each) {
  fiber_runtime runtime(2);
  runtime.run();
  std::atomic<std::uint64_t> received{0};
  const link_server server(
      runtime, any_port, node_id("receiver"), {},
      [&](const node_id&, std::span<const std::uint8_t>) { ++received; },
      [](const node_id&, bool) {});
  std::atomic<bool> up{false};
  link_client client(runtime, 0, {"127.0.0.1", server.port()}, node_id("sender"), 1, {},
                     [&](const node_id&, bool now_up) {
                       up = now_up;
                       up.notify_all();
                     });
  up.wait(false);
  const stopwatch watch;
  const time_point end = monotonic_now() + each;
  while (monotonic_now() < end) {
    client.send(std::vector<std::uint8_t>(frame_bytes), frame_priority::state);
  }
  return {static_cast<double>(received) / to_seconds(watch.elapsed()),
          client.counters().frames_dropped};
}

std::size_t resident_bytes() {
  std::ifstream statm("/proc/self/statm");
  std::size_t total_pages = 0;
  std::size_t resident_pages = 0;
  statm >> total_pages >> resident_pages;
  return resident_pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

connection_memory bench_memory() {
  fiber_runtime runtime(1);
  runtime.run();
  std::atomic<std::size_t> waiting{0};
  const http_server server(runtime, any_port, {},
                           [&](const http_request&, response_writer& writer) {
                             ++waiting;
                             while (waiting < open_connections) {
                               sleep_until(monotonic_now() + 1ms);
                             }
                             writer.send(200, {}, "");
                           });
  http_client_limits limits;
  limits.max_idle_per_target = open_connections;
  http_client client(runtime, limits);
  const std::size_t before = resident_bytes();
  std::size_t busy = 0;
  run_callers(runtime, open_connections, [&](std::size_t) {
    client.fetch({"127.0.0.1", server.port()}, {}, monotonic_now() + 10s);
    busy = std::max(busy, resident_bytes());
  });
  const std::size_t after = resident_bytes();
  return {open_connections, (busy - before) / open_connections,
          (after - before) / open_connections};
}

idle_cost bench_idle(duration each) {
  fiber_runtime runtime(max_bench_workers);
  runtime.run();
  const http_server server(runtime, any_port, {}, [](const http_request&, response_writer& writer) {
    writer.send(200, {}, "");
  });
  http_client client(runtime);
  const link_server link_end(
      runtime, any_port, node_id("receiver"), {},
      [](const node_id&, std::span<const std::uint8_t>) {}, [](const node_id&, bool) {});
  const link_client link(runtime, 0, {"127.0.0.1", link_end.port()}, node_id("sender"), 1, {},
                         [](const node_id&, bool) {});
  run_callers(runtime, max_bench_workers, [&](std::size_t) {
    client.fetch({"127.0.0.1", server.port()}, {}, monotonic_now() + 10s);
  });
  const stopwatch watch;
  std::this_thread::sleep_for(each);
  return {max_bench_workers, to_seconds(watch.processor()) / to_seconds(watch.elapsed())};
}

}  // namespace

connection_figures bench_connections(duration each) {
  connection_figures figures;
  figures.memory = bench_memory();  // the memory benchmark is first, before others grow the heap
  figures.idle = bench_idle(4 * each);
  figures.requests.push_back(bench_requests(1, 1, each));
  for (std::size_t workers = 1; workers <= max_bench_workers; ++workers) {
    figures.requests.push_back(bench_requests(workers, workers * callers_per_worker, each));
  }
  figures.streams = bench_streams(each);
  figures.frames = bench_frames(each);
  return figures;
}

void print(std::ostream& out, const connection_figures& figures) {
  out << "idle, " << figures.idle.workers << " workers: " << figures.idle.cpu_core_fraction * 100
      << "% of a core\n";
  for (const request_rate& r : figures.requests) {
    out << "requests, " << r.workers << " + " << r.workers << " workers, " << r.callers
        << " callers: " << static_cast<std::uint64_t>(r.per_second) << "/s, p50 " << r.p50.count()
        << " us, p99 " << r.p99.count() << " us, processor " << r.processor_per_request.count()
        << " us per request, " << r.failed << " failed\n";
  }
  out << "chunks, " << figures.streams.streams
      << " streams: " << static_cast<std::uint64_t>(figures.streams.chunks_per_second)
      << "/s, processor " << figures.streams.processor_per_thousand_chunks.count()
      << " us per thousand\n";
  out << "frames, 1 link: " << static_cast<std::uint64_t>(figures.frames.per_second) << "/s, "
      << figures.frames.dropped << " dropped before they were sent\n";
  out << "memory, " << figures.memory.connections
      << " connections, both ends: " << figures.memory.busy_bytes_per_connection
      << " bytes each while busy, " << figures.memory.idle_bytes_per_connection << " while idle\n";
}

}  // namespace arbutus
