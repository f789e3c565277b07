// Faults of the next few calls count down.
#pragma once

namespace arbutus::standin {

// Whether this call is one of them.
template <class Count>
[[nodiscard]] bool take_one(Count& count) {
  if (count == 0) {
    return false;
  }
  --count;
  return true;
}

}  // namespace arbutus::standin
