// How a call to something outside this process can end.
//
// A timeout is not a failure: the write or the request may have taken effect. `unknown` is
// therefore a case of its own that each caller has to handle.
#pragma once

#include <string>
#include <utility>
#include <variant>

namespace arbutus {

// The other side answered, and did not do it.
struct refused {
  std::string reason;
};

// No answer, or a broken one: it may or may not have been done.
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

// Calls the branch for what `result` holds; every case has to be given.
template <class Variant, class... F>
decltype(auto) match(Variant&& result, F&&... branches) {
  return std::visit(overloaded{std::forward<F>(branches)...}, std::forward<Variant>(result));
}

}  // namespace arbutus
