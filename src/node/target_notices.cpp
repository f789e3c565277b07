// Log lines and counters about targets that restrain this node.
#include "node/target_notices.h"

#include "node/log.h"

namespace arbutus {

void log_target_notice(const request_id& request, const target_instance& target,
                       const target_notice& notice, const target_backoffs::effect& effect) {
  if (effect.backoff_begun) {
    log_line(log_level::info, "target", "backs off",
             {{"learned_by", request},
              {"target", target.id},
              {"seconds", to_seconds(notice.retry_after.value_or(duration::zero()))}});
  }
  if (effect.leaving) {
    log_line(log_level::info, "target", "is leaving",
             {{"learned_by", request}, {"target", target.id}});
  }
  if (effect.unreadable) {
    log_line(log_level::info, "target", "unreadable Retry-After",
             {{"learned_by", request}, {"target", target.id}});
  }
}

std::vector<std::string_view> names_of(const target_backoffs::effect& effect) {
  std::vector<std::string_view> names;
  if (effect.backoff_begun) {
    names.emplace_back("backoff begun");
  }
  if (effect.backoff_extended) {
    names.emplace_back("backoff extended");
  }
  if (effect.leaving) {
    names.emplace_back("leaving");
  }
  if (effect.unreadable) {
    names.emplace_back("unreadable");
  }
  return names;
}

}  // namespace arbutus
