// The sending end of a link.
#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <mutex>

#include "base/rng.h"
#include "connection/frame_queue.h"
#include "connection/link.h"
#include "connection/link_wire.h"

namespace arbutus {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

// Queued frames are written together until they reach this size: one packet costs less than many.
constexpr std::size_t max_batch_bytes = 16UL * 1024;

}  // namespace

struct link_client::state {
  state(fiber_runtime& r, std::size_t index, const socket_address& a, const node_id& id,
        std::uint64_t seed, const link_limits& l, link_change_handler handler)
      : runtime(r),
        worker(r.worker(index)),
        address(a),
        self(id),
        limits(l),
        on_change(std::move(handler)),
        random(seed),
        queue(l.max_queue_bytes) {}

  // Main function of the client's fiber: connects to the peer, and again whenever the link breaks.
  void keep_connected() {
    duration backoff = limits.first_backoff;
    while (!closing) {
      const time_point began = monotonic_now();
      serve_one_link();
      // The backoff is not reset for a peer that repeatedly sends its hello and then closes.
      const bool lasted = monotonic_now() - began > limits.max_backoff;
      backoff = lasted ? limits.first_backoff : std::min(2 * backoff, limits.max_backoff);
      pause(backoff / 2 + random.jitter(backoff / 2));
    }
  }

  void pause(duration length) {
    no_lock lock;
    const auto until = to_steady(monotonic_now() + length);
    changed.wait_until(lock, until, [this] { return closing; });
  }

  void serve_one_link() {
    fiber_stream stream{tcp::socket(worker.io)};
    current = &stream;
    error_code error;
    const auto ip = boost::asio::ip::make_address(address.ip, error);
    stream.set_deadline(monotonic_now() + limits.connect_timeout);
    if (!error) {
      stream.connect({ip, address.port}, error);
    }
    if (!error) {
      run_link(stream);
    }
    current = nullptr;
  }

  void run_link(fiber_stream& stream) {
    error_code ignored;
    stream.socket().set_option(tcp::socket::send_buffer_size(link_kernel_buffer_bytes), ignored);
    detect_dead_peer(stream.socket(), limits.write_timeout);
    frame_reader reader(stream, counters);
    const auto peer = exchange_hellos(stream, reader);
    if (!peer) {
      return;
    }
    set_up(*peer, true);
    one_shot reader_ended;
    broken = false;
    stream.set_deadline(time_point::max());
    spawn_here(worker, [&] {
      watch_for_end(reader);
      reader_ended.set();
    });
    write_queue(stream);
    stream.abort();
    reader_ended.wait();
    set_up(*peer, false);
  }

  std::optional<node_id> exchange_hellos(fiber_stream& stream, frame_reader& reader) {
    stream.set_deadline(monotonic_now() + limits.hello_timeout);
    std::vector<std::uint8_t> hello;
    append_frame(hello, hello_payload(self));
    if (!write_frames(stream, hello, 1, counters)) {
      return std::nullopt;
    }
    const auto answer = reader.next();
    return answer ? parse_hello(*answer) : std::nullopt;
  }

  // The server sends nothing after its hello, so the link has ended when a read fails.
  void watch_for_end(frame_reader& reader) {
    while (reader.next()) {
    }
    broken = true;
    changed.notify_all();
  }

  void write_queue(fiber_stream& stream) {
    std::vector<std::uint8_t> bytes;
    while (const std::size_t count = await_frames(bytes)) {
      stream.set_deadline(monotonic_now() + limits.write_timeout);
      if (!write_frames(stream, bytes, count, counters)) {
        return;
      }
    }
  }

  // Waits for queued frames, replaces `bytes` with them and returns their number; zero if the link
  // has to end.
  std::size_t await_frames(std::vector<std::uint8_t>& bytes) {
    bytes.clear();
    for (;;) {
      if (closing || broken) {
        return 0;
      }
      if (const std::size_t count = take_frames(bytes)) {
        return count;
      }
      no_lock lock;
      changed.wait(lock);
    }
  }

  std::size_t take_frames(std::vector<std::uint8_t>& bytes) {
    const std::lock_guard lock(mutex);
    return queue.take_batch(bytes, max_batch_bytes);
  }

  void set_up(const node_id& peer, bool now_up) {
    {
      const std::lock_guard lock(mutex);
      up = now_up;
      counters.frames_dropped += now_up ? 0 : queue.drop_state_frames();
    }
    counters.connects += now_up ? 1 : 0;
    on_change(peer, now_up);
  }

  bool send(std::vector<std::uint8_t> bytes, frame_priority priority) {
    if (bytes.empty() || bytes.size() > max_frame_bytes) {
      return false;
    }
    const std::lock_guard lock(mutex);
    if (!up && priority == frame_priority::state) {
      ++counters.frames_dropped;
      return false;
    }
    counters.frames_dropped += queue.push(std::move(bytes), priority);
    if (!std::exchange(wake_posted, true)) {
      boost::asio::post(worker.io, [this] { wake_writer(); });
    }
    return true;
  }

  void wake_writer() {
    {
      const std::lock_guard lock(mutex);
      wake_posted = false;
    }
    changed.notify_all();
  }

  bool wake_is_posted() {
    const std::lock_guard lock(mutex);
    return wake_posted;
  }

  void close() {
    closing = true;
    if (current != nullptr) {
      current->abort();
    }
    changed.notify_all();
    no_lock lock;
    changed.wait(lock, [this] { return !running && !wake_is_posted(); });
  }

  fiber_runtime& runtime;
  fiber_worker& worker;
  const socket_address address;
  const node_id self;
  const link_limits limits;
  const link_change_handler on_change;
  atomic_link_counters counters;

  // The members from here to `changed` are accessed only on the client's worker.
  rng random;
  bool running{true};  // true from the start, because the constructor posts the fiber
  bool closing{false};
  bool broken{false};  // the current link has failed
  fiber_stream* current{nullptr};
  boost::fibers::condition_variable_any changed;

  std::mutex mutex;
  frame_queue queue;        // guarded by mutex
  bool wake_posted{false};  // a call of wake_writer() is posted; guarded by mutex
  std::atomic<bool> up{false};
};

link_client::link_client(fiber_runtime& runtime, std::size_t worker, const socket_address& address,
                         const node_id& self, std::uint64_t seed, const link_limits& limits,
                         link_change_handler on_change)
    : state_(std::make_unique<state>(runtime, worker, address, self, seed, limits,
                                     std::move(on_change))) {
  runtime.post(worker, [s = state_.get()] {
    s->keep_connected();
    s->running = false;
    s->changed.notify_all();
  });
}

link_client::~link_client() {
  if (state_->runtime.running()) {
    state_->runtime.run_on(state_->worker.index, [this] { state_->close(); });
  }
}

bool link_client::send(std::vector<std::uint8_t> bytes, frame_priority priority) {
  return state_->send(std::move(bytes), priority);
}

bool link_client::up() const noexcept {
  return state_->up;
}

link_counters link_client::counters() const {
  return state_->counters.read();
}

}  // namespace arbutus
