// The regions in which a request may be served: those that its route and its workspace both allow.
//
// A data centre without a region is allowed for unrestricted requests only.
#pragma once

#include <map>
#include <set>
#include <span>

#include "base/id.h"

namespace arbutus {

using region_map = std::map<data_centre_id, region_id>;

class allowed_regions {
 public:
  // Everywhere.
  allowed_regions() = default;
  // An empty list allows all regions.
  allowed_regions(std::span<const region_id> of_route, std::span<const region_id> of_workspace);

  [[nodiscard]] bool is_restricted() const { return restricted_; }
  // Whether targets in the data centre may serve the request.
  [[nodiscard]] bool allows(const region_map& regions, const data_centre_id& data_centre) const;
  // Whether the request's body may be sent to a node in data centre `to`, if its caller has
  // connected to a node in `from`.
  [[nodiscard]] bool allows_transfer(const region_map& regions, const data_centre_id& from,
                                     const data_centre_id& to) const;

 private:
  bool restricted_ = false;
  std::set<region_id> regions_;  // only if restricted; empty: no region is allowed
};

}  // namespace arbutus
