// The possible outcomes of a call to another process.
//
// After a timeout the write or the request may still have taken effect, so a timeout cannot be
// reported as a failure. `unknown` is therefore a separate case that each caller has to handle.
#pragma once

#include <string>
#include <utility>
#include <variant>

namespace arbutus {

// Outcome of a call: the called process answered that it did not carry the call out.
struct refused {
  std::string reason;
};

// Outcome of a call: no response, or a truncated one, so the call may or may not have taken effect.
struct unknown {
  std::string reason;
};

template <class T>
using outcome = std::variant<T, refused, unknown>;

template <class T>
[[nodiscard]] bool is_ok(const outcome<T>& result) {
  return std::holds_alternative<T>(result);
}

template <class... F>
struct overloaded : F... {
  using F::operator()...;
};
template <class... F>
overloaded(F...) -> overloaded<F...>;

// Calls the branch for the alternative that `result` holds; every alternative needs a branch.
template <class Variant, class... F>
decltype(auto) match(Variant&& result, F&&... branches) {
  return std::visit(overloaded{std::forward<F>(branches)...}, std::forward<Variant>(result));
}

}  // namespace arbutus
