// Fuzz entry: records of keyed calls in the platform's table, which any process may have written.
#include <cstddef>
#include <cstdint>

#include "input.h"
#include "request/keyed.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  (void)arbutus::decode_keyed_record(arbutus::fuzz::as_text(data, size));
  return 0;
}
