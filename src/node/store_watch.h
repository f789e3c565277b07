// Follows the platform's store: the accepted configuration, the list of targets, and the rows by
// which nodes find each other.
#pragma once

#include <functional>
#include <vector>

#include "node/hosted_state.h"
#include "version/inventory.h"

namespace arbutus {

class store_watch {
 public:
  explicit store_watch(hosted_state& node) : node_(node) {}

  // Each runs in a fiber of its own until the runtime stops.
  void follow_configuration();
  void follow_targets();
  // Writes this node's own row and reads those of its peers. `found`: called with all of them.
  void follow_nodes(const std::function<void(const std::vector<node_record>&)>& found);

 private:
  bool read_configuration(std::uint64_t& position);
  void take_configuration(const std::string& text, std::uint64_t row_version);
  bool read_targets(std::uint64_t& position);
  void take_target(time_point asked, const store_row& row);
  void note_dependency(std::string_view name, bool& up, bool now_up, std::string_view reason);

  hosted_state& node_;
  std::uint64_t configuration_row_ = 0;  // version of the row that is in force
  bool configuration_up_ = true;
  bool targets_up_ = true;
};

}  // namespace arbutus
