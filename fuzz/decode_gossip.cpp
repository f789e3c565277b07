// Fuzz entry: gossip messages from other nodes. An encoded message must decode again.
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "input.h"
#include "process/gossip.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text = arbutus::fuzz::as_text(data, size);
  const auto decoded = arbutus::decode_gossip(arbutus::node_id{"n1"}, text);
  if (const auto* message = std::get_if<arbutus::gossip_message>(&decoded)) {
    const auto again = arbutus::decode_gossip(arbutus::node_id{"n1"}, arbutus::encode(*message));
    arbutus::fuzz::require(arbutus::is_ok(again));
  }
  return 0;
}
