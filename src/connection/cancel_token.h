// Ends a call from another fiber or thread.
#pragma once

#include <memory>

namespace arbutus {

class fiber_stream;
struct cancel_state;

// Copies speak of the same call. Shared ownership, because the caller that cancels and the call
// itself end in either order.
class cancel_token {
 public:
  // A token that is never cancelled.
  cancel_token() = default;

  [[nodiscard]] static cancel_token make();

  // Closes the connection of the running call, and fails calls that begin later. Does not wait.
  // From any thread.
  void cancel() const;
  [[nodiscard]] bool cancelled() const;

  // For clients: names the connection to close while the scope lives. On the worker of the stream.
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
