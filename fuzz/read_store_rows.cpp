// Fuzz entry: parses the rows in responses of the platform's store.
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "input.h"
#include "platform/store_rows.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text = arbutus::fuzz::as_text(data, size);
  (void)arbutus::read_store_rows(text);
  return 0;
}
