// Fuzz entry: parses the configuration (services, routes, workspaces) that operators keep in the
// platform's store.
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "input.h"
#include "platform/documents.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text = arbutus::fuzz::as_text(data, size);
  const arbutus::service_map_result result = arbutus::read_service_map(text);
  arbutus::fuzz::require(result.map.has_value() != arbutus::has_errors(result.problems));
  arbutus::service_map_reader reader;
  arbutus::fuzz::require(reader.read(text).map.has_value() == result.map.has_value());
  return 0;
}
