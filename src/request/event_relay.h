// Passes the events of a stream on whole, each once, also when the stream is resumed on another
// target.
//
// A target may end in the middle of an event. What was passed on of it could not be taken back when
// the next target sends the event again, so bytes wait until their event is whole.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace arbutus {

class event_relay {
 public:
  // `resume_after`: the last event that the caller has from an earlier request, if any.
  explicit event_relay(std::string resume_after = {}) : last_id_(std::move(resume_after)) {}

  // Takes bytes of the running attempt; returns those that may go to the caller now. The view lives
  // until the next call.
  [[nodiscard]] std::string_view take(std::string_view bytes);

  // The attempt broke; another one follows behind last_id().
  void restart();

  // Of the last whole event passed on; empty if none.
  [[nodiscard]] const std::string& last_id() const { return last_id_; }
  [[nodiscard]] std::uint64_t events() const { return events_; }
  // Whether bytes of an event wait for its end: a stream that ends so is not complete.
  [[nodiscard]] bool inside_event() const { return !pending_.empty(); }
  // An event came whose id is not behind the one before: it was sent twice, or the target did not
  // go on where it was asked to. The attempt is of no more use.
  [[nodiscard]] bool out_of_order() const { return out_of_order_; }

 private:
  void note_event(std::string_view event);

  std::string pending_;  // begins at the start of an event
  std::string passed_;
  std::string last_id_;
  std::uint64_t events_ = 0;
  bool out_of_order_ = false;
};

}  // namespace arbutus
