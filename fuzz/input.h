// Helpers for the fuzz entries: bytes as text, and a check that aborts the run.
#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

namespace arbutus::fuzz {

inline std::string_view as_text(const std::uint8_t* data, std::size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

// The fuzzer reports an abort together with the input that caused it.
inline void require(bool holds) {
  if (!holds) {
    std::abort();
  }
}

}  // namespace arbutus::fuzz
