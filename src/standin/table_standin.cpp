// Reads, conditional writes and listings of rows in the stand-in table.
#include "standin/table_standin.h"

#include <utility>

namespace arbutus::standin {

table_row table_standin::row(const std::string& key) const {
  const auto found = content_.rows.find(key);
  return found == content_.rows.end() ? table_row{} : found->second;
}

table_reply table_standin::read(time_point now, const std::string& key,
                                const data_centre_id& from) {
  const access_decision decision = fault_model_.admit(now, store_access::read, from);
  if (decision.result != access_result::pass) {
    return {status_of(decision.result), {}, decision.latency};
  }
  table_row found = row(key);
  const store_status status = found.version == 0 ? store_status::missing : store_status::ok;
  return {status, std::move(found), decision.latency};
}

template <class Change>
table_reply table_standin::change(time_point now, const std::string& key, std::uint64_t expected,
                                  const data_centre_id& from, Change&& apply) {
  const access_decision decision = fault_model_.admit(now, store_access::write, from);
  if (decision.result != access_result::pass) {
    return {status_of(decision.result), {}, decision.latency};
  }
  if (fault_model_.should_lose_request()) {
    return {store_status::no_response, {}, decision.latency};
  }
  table_row present = row(key);
  if (present.version != expected) {
    fault_model_.record_conflict();
    return {store_status::conflict, std::move(present), decision.latency};
  }
  std::forward<Change>(apply)();
  const store_status status =
      fault_model_.record_write() ? store_status::no_response : store_status::ok;
  return {status, row(key), decision.latency};
}

table_reply table_standin::write(time_point now, const std::string& key, std::string value,
                                 std::uint64_t expected, const data_centre_id& from) {
  return change(now, key, expected, from, [&] {
    content_.rows[key] = {std::move(value), ++content_.last_version};
  });
}

table_reply table_standin::erase(time_point now, const std::string& key, std::uint64_t expected,
                                 const data_centre_id& from) {
  return change(now, key, expected, from, [&] { content_.rows.erase(key); });
}

table_standin::listing table_standin::list(time_point now, std::string_view prefix,
                                           const data_centre_id& from) {
  const access_decision decision = fault_model_.admit(now, store_access::read, from);
  listing result{status_of(decision.result), {}, decision.latency};
  if (result.status != store_status::ok) {
    return result;
  }
  const auto& rows = content_.rows;
  for (auto i = rows.lower_bound(std::string(prefix)); i != rows.end(); ++i) {
    if (!i->first.starts_with(prefix)) {
      break;
    }
    result.keys.push_back(i->first);
  }
  return result;
}

}  // namespace arbutus::standin
