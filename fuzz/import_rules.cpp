// Fuzz entry: rules from TOML. Rules without errors must be unchanged after encoding and decoding.
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "input.h"
#include "version/configuration.h"
#include "version/import.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text = arbutus::fuzz::as_text(data, size);
  const auto result = arbutus::import_rules(text, "rules.toml");
  if (!arbutus::has_errors(result.problems)) {
    const auto encoded = arbutus::encode_content({}, result.desired);
    const auto decoded = arbutus::decode_content(encoded, 1);
    arbutus::fuzz::require(arbutus::is_ok(decoded));
    arbutus::fuzz::require(std::get<0>(decoded).desired == result.desired);
  }
  return 0;
}
