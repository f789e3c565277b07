// Fuzz entry: heartbeats of peers. An encoded heartbeat must decode again.
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "input.h"
#include "process/node_heartbeat.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text = arbutus::fuzz::as_text(data, size);
  if (const auto message = arbutus::decode_node_heartbeat(text)) {
    arbutus::fuzz::require(arbutus::decode_node_heartbeat(arbutus::encode(*message)).has_value());
  }
  return 0;
}
