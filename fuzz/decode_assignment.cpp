// Fuzz entry: decodes the row of the table that assigns VMs to replicas. A decoded value must be
// unchanged after encoding and decoding.
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "input.h"
#include "version/assignment.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text = arbutus::fuzz::as_text(data, size);
  const auto decoded = arbutus::decode_assignment(text);
  if (const auto* value = std::get_if<arbutus::assignment>(&decoded)) {
    const auto again = arbutus::decode_assignment(arbutus::encode(*value));
    arbutus::fuzz::require(arbutus::is_ok(again));
    arbutus::fuzz::require(std::get<0>(again) == *value);
    (void)arbutus::check_invariants(*value);
  }
  return 0;
}
