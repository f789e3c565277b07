// Fuzz entry: node settings from TOML.
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "input.h"
#include "process/settings.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text = arbutus::fuzz::as_text(data, size);
  (void)arbutus::load_settings(text, "node.toml");
  return 0;
}
