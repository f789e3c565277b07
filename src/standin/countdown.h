// Counts down faults that a stand-in applies to its next N calls.
#pragma once

namespace arbutus::standin {

// Consumes one of the `count` pending faults. False if none is left, so that the current call has
// no such fault.
template <class Count>
[[nodiscard]] bool decrement_if_positive(Count& count) {
  if (count == 0) {
    return false;
  }
  --count;
  return true;
}

}  // namespace arbutus::standin
