// Fuzz entry: records and reports of targets, which any process may have written.
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "input.h"
#include "platform/documents.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text = arbutus::fuzz::as_text(data, size);
  std::string problem;
  if (const auto record = arbutus::read_target_record("i-1", text, problem)) {
    arbutus::fuzz::require(!record->id.empty() && !record->service.empty());
  }
  (void)arbutus::read_target_report("i-1", text, problem);
  return 0;
}
