// Fuzz entry: what responses of targets say about further requests. A time to wait is bounded and
// never negative.
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "input.h"
#include "platform/http_fields.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace arbutus;
  const std::string value(fuzz::as_text(data, size));
  const http_headers headers{{"Retry-After", value}, {"Server-Leaving", value}};
  const target_notice notice = read_target_notice(503, headers);
  fuzz::require(notice.retry_after.has_value() != notice.has_unreadable_retry_after);
  target_backoffs backoffs;
  const target_instance target{target_id{"t"}, {"10.0.0.1", 80}};
  const time_point now{1000s};
  backoffs.on_response(now, target, notice);
  const auto running = backoffs.backoff_of(now, target);
  fuzz::require(!running ||
                (running->ends > now && running->ends - now <= target_backoffs::max_backoff));
  fuzz::require(read_target_notice(200, headers).retry_after == std::nullopt);
  return 0;
}
