// Cancels a call from another fiber or thread.
#pragma once

#include <memory>

namespace arbutus {

class fiber_stream;
struct cancel_state;

// Copies refer to the same call. They share ownership of its state, because the call and the caller
// that cancels it may end in either order.
class cancel_token {
 public:
  // A token that is never cancelled.
  cancel_token() = default;

  [[nodiscard]] static cancel_token make();

  // Closes the connection of the running call, and makes calls that begin later fail. Does not
  // wait. Callable from any thread.
  void cancel() const;
  [[nodiscard]] bool cancelled() const;

  // Used by clients: cancel() closes this stream while the scope exists. Must be created and
  // destroyed on the stream's worker.
  class scope {
   public:
    scope(const cancel_token& token, fiber_stream& stream);
    ~scope();
    scope(const scope&) = delete;
    scope& operator=(const scope&) = delete;
    scope(scope&&) = delete;
    scope& operator=(scope&&) = delete;

   private:
    std::shared_ptr<cancel_state> state_;
  };

 private:
  std::shared_ptr<cancel_state> state_;
};

}  // namespace arbutus
