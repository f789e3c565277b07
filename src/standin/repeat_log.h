// Arrivals of requests at the services of a stand-in platform beyond the first of each request: the
// retries that all nodes together have sent. Not thread-safe.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/units.h"

namespace arbutus::standin {

class repeat_log {
 public:
  using repeats_by_service = std::map<std::string, std::vector<time_point>>;

  // A request has reached a target of the service, whether it runs there or not.
  void arrived(time_point now, const std::string& service, const std::string& request) {
    const bool is_first = seen_.emplace(service, request).second;
    if (!is_first) {
      repeats_[service].push_back(now);
    }
  }

  [[nodiscard]] const repeats_by_service& repeats() const { return repeats_; }

 private:
  std::set<std::pair<std::string, std::string>> seen_;  // service and request
  repeats_by_service repeats_;
};

}  // namespace arbutus::standin
