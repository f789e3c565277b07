// Fuzz entry: stored configuration content and head. Decoded content must be unchanged after
// encoding and decoding.
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "input.h"
#include "version/configuration.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text = arbutus::fuzz::as_text(data, size);
  const auto decoded = arbutus::decode_content(text, 1);
  if (const auto* value = std::get_if<arbutus::configuration>(&decoded)) {
    const auto again =
        arbutus::decode_content(arbutus::encode_content(value->assets, value->desired), 1);
    arbutus::fuzz::require(arbutus::is_ok(again));
    arbutus::fuzz::require(std::get<0>(again).assets == value->assets);
    arbutus::fuzz::require(std::get<0>(again).desired == value->desired);
  }
  (void)arbutus::decode_head(text);
  return 0;
}
