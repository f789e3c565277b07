// Decides by the region of a data centre where a request may be served.
#include "request/allowed_regions.h"

#include <algorithm>

namespace arbutus {

allowed_regions::allowed_regions(std::span<const region_id> of_route,
                                 std::span<const region_id> of_workspace)
    : restricted_(!of_route.empty() || !of_workspace.empty()) {
  const auto allows = [](std::span<const region_id> list, const region_id& region) {
    return list.empty() || std::ranges::find(list, region) != list.end();
  };
  for (const std::span<const region_id> list : {of_route, of_workspace}) {
    for (const region_id& region : list) {
      if (allows(of_route, region) && allows(of_workspace, region)) {
        regions_.insert(region);
      }
    }
  }
}

bool allowed_regions::allows(const region_map& regions, const data_centre_id& data_centre) const {
  if (!restricted_) {
    return true;
  }
  const auto found = regions.find(data_centre);
  return found != regions.end() && regions_.contains(found->second);
}

bool allowed_regions::allows_transfer(const region_map& regions, const data_centre_id& from,
                                      const data_centre_id& to) const {
  if (from == to || allows(regions, to)) {
    return true;
  }
  const auto origin = regions.find(from);
  const auto destination = regions.find(to);
  return origin != regions.end() && destination != regions.end() &&
         origin->second == destination->second;
}

}  // namespace arbutus
