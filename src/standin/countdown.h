// Counters of faults that apply to a number of upcoming calls.
#pragma once

namespace arbutus::standin {

// Consumes one pending fault; false if none is left, so that this call has no such fault.
template <class Count>
[[nodiscard]] bool decrement_if_positive(Count& count) {
  if (count == 0) {
    return false;
  }
  --count;
  return true;
}

}  // namespace arbutus::standin
