// Fuzz entry: the header between two nodes of a call that is handed over. What is read is written
// again to the same value, and only the exact words are a proof that a call was not taken.
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "input.h"
#include "request/relay_header.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace arbutus;
  const std::string_view text = fuzz::as_text(data, size);
  if (const auto call = read_relayed_call(text)) {
    const auto again = read_relayed_call(to_text(*call));
    fuzz::require(again && again->from == call->from && !call->from.empty());
    fuzz::require(again->possible_runs == call->possible_runs);
  }
  if (const auto report = read_relay_report(text)) {
    const auto again = read_relay_report(to_text(*report));
    fuzz::require(again && again->result == report->result && again->target == report->target);
    fuzz::require(report->result != relay_result::not_taken || text.starts_with("not-taken "));
  }
  const relay_decline decline = read_relay_decline(text);
  fuzz::require(decline.takers.size() <= max_named_takers);
  fuzz::require(read_relay_decline(to_text(decline)).takers == decline.takers);
  return 0;
}
