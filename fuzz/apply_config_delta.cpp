// Fuzz entry: configuration deltas that a hub forwards, against a base of a few routes.
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "input.h"
#include "process/config_delta.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view bytes = arbutus::fuzz::as_text(data, size);
  const std::string base = R"({"version":1,"routes":[{"name":"a"},{"name":"b"}]})";
  (void)arbutus::apply_config_delta(base, bytes);
  // make_config_delta() must find a delta between the base and any other text, and applying that
  // delta must give the text.
  const std::string delta = arbutus::make_config_delta(base, bytes);
  const auto back = arbutus::apply_config_delta(base, delta);
  arbutus::fuzz::require(back && *back == bytes);
  return 0;
}
