// A call is cancelled by closing its connection on the worker that owns it.
#include "connection/cancel_token.h"

#include <atomic>
#include <mutex>

#include "connection/fiber_stream.h"

namespace arbutus {

struct cancel_state {
  std::atomic<bool> cancelled{false};
  std::mutex mutex;
  fiber_worker* worker{nullptr};  // guarded by mutex
  fiber_stream* stream{nullptr};  // guarded by mutex; used only on its worker
};

namespace {

// Runs on the stream's worker. If the scope has ended in the meantime, there is nothing to close.
void abort_stream(cancel_state& state) {
  const std::lock_guard lock(state.mutex);
  if (state.stream != nullptr) {
    state.stream->abort();
  }
}

}  // namespace

cancel_token cancel_token::make() {
  cancel_token token;
  token.state_ = std::make_shared<cancel_state>();
  return token;
}

void cancel_token::cancel() const {
  if (!state_ || state_->cancelled.exchange(true)) {
    return;
  }
  const std::lock_guard lock(state_->mutex);
  if (state_->stream != nullptr) {
    boost::asio::post(state_->worker->io, [state = state_] { abort_stream(*state); });
  }
}

bool cancel_token::cancelled() const {
  return state_ && state_->cancelled;
}

cancel_token::scope::scope(const cancel_token& token, fiber_stream& stream) : state_(token.state_) {
  if (!state_) {
    return;
  }
  const std::lock_guard lock(state_->mutex);
  state_->worker = this_worker();
  state_->stream = &stream;
  if (state_->cancelled) {
    stream.abort();
  }
}

cancel_token::scope::~scope() {
  if (!state_) {
    return;
  }
  const std::lock_guard lock(state_->mutex);
  state_->stream = nullptr;
}

}  // namespace arbutus
