// Fuzz entry: decodes reports and refusals that targets send to nodes, and orders that nodes send
// to targets.
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "input.h"
#include "process/engine_wire.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text = arbutus::fuzz::as_text(data, size);
  const auto decoded = arbutus::decode_report(text);
  if (const auto* report = std::get_if<arbutus::engine_report>(&decoded)) {
    (void)arbutus::encode(*report);
  }
  (void)arbutus::decode_order(text);
  (void)arbutus::states_not_run(text);
  return 0;
}
