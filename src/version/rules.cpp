// Lookups in the rules.
#include "version/rules.h"

#include <algorithm>
#include <string_view>

namespace arbutus {

namespace {

template <class Record, class Matches>
const Record* find_record(const std::vector<Record>& records, Matches matches) {
  const auto found = std::find_if(records.begin(), records.end(), matches);
  return found == records.end() ? nullptr : &*found;
}

}  // namespace

const model_rule* rules::find_model(const model_id& id) const {
  return find_record(models, [&](const model_rule& m) { return m.id == id; });
}

const service_rule* rules::find_service(const service_id& id) const {
  return find_record(services, [&](const service_rule& s) { return s.id == id; });
}

bool service_rule::may_be_called_by(const workspace_id& workspace) const {
  return !workspaces || std::ranges::find(*workspaces, workspace) != workspaces->end();
}

const workspace_rule* rules::find_workspace(const workspace_id& id) const {
  return find_record(workspaces, [&](const workspace_rule& w) { return w.id == id; });
}

const class_rule* rules::find_class(std::string_view name) const {
  return find_record(classes, [&](const class_rule& c) { return c.name == name; });
}

}  // namespace arbutus
