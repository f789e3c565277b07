// Fuzz entry: rows of nodes in the platform's store, which any process may have written.
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "input.h"
#include "process/node_row.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const arbutus::node_id id{"edge-1"};
  const std::string_view text = arbutus::fuzz::as_text(data, size);
  if (const auto row = arbutus::decode_node_row(id, text)) {
    const auto again = arbutus::decode_node_row(id, arbutus::encode(*row));
    arbutus::fuzz::require(again && again->record == row->record &&
                           again->first_start == row->first_start);
  }
  return 0;
}
