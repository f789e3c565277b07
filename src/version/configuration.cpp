// Encodes the content and the head of a configuration as JSON: the objects in the store are
// readable for people, keys are sorted, and the parser is not recursive, so that deeply nested
// damaged text cannot overflow a small stack.
//
// The fields of each record are listed once, in `visit_fields`, for encoding and decoding.
#include "version/configuration.h"

#include <concepts>
#include <cstddef>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace arbutus {

namespace {

using json = nlohmann::json;

// Incremented when the meaning of a field changes: a node that knows only the old format must
// refuse the content instead of applying a part of the rules.
constexpr unsigned content_format = 1;

template <class T, class Record>
concept record_of = std::same_as<std::remove_const_t<T>, Record>;

template <class V, record_of<endpoint> R>
void visit_fields(V& v, R& r) {
  v("host", r.host);
  v("port", r.port);
}

template <class V, record_of<vm_record> R>
void visit_fields(V& v, R& r) {
  v("id", r.id);
  v("address", r.address);
  v("data_centre", r.data_centre);
  v("fabric_domain", r.fabric_domain);
  v("accelerators", r.accelerators);
  v("checks_tokens", r.checks_fencing_tokens);
}

template <class V, record_of<node_record> R>
void visit_fields(V& v, R& r) {
  v("id", r.id);
  v("data_centre", r.data_centre);
  v("link", r.link);
  v("caller", r.caller);
}

template <class V, record_of<service_target> R>
void visit_fields(V& v, R& r) {
  v("service", r.service);
  v("data_centre", r.data_centre);
  v("address", r.address);
}

template <class V, record_of<data_centre_record> R>
void visit_fields(V& v, R& r) {
  v("id", r.id);
  v("region", r.region);
}

template <class V, record_of<inventory> R>
void visit_fields(V& v, R& r) {
  v("data_centres", r.data_centres);
  v("vms", r.vms);
  v("nodes", r.nodes);
  v("services", r.services);
}

template <class V, record_of<weights> R>
void visit_fields(V& v, R& r) {
  v("group_downtime", r.group_downtime);
  v("stranded_accelerators", r.stranded_accelerators);
}

template <class V, record_of<model_placement> R>
void visit_fields(V& v, R& r) {
  v("data_centre", r.data_centre);
  v("replicas", r.replicas);
}

template <class V, record_of<model_rule> R>
void visit_fields(V& v, R& r) {
  v("id", r.id);
  v("version", r.version);
  v("vms_per_replica", r.vms_per_replica);
  v("accelerators_per_vm", r.accelerators_per_vm);
  v("slots", r.slots);
  v("may_cross_fabric_domains", r.may_cross_fabric_domains);
  v("rank", r.rank);
  v("adapters", r.adapters);
  v("placements", r.placements);
}

template <class V, record_of<service_rule::idempotent_call> R>
void visit_fields(V& v, R& r) {
  v("method", r.method);
  v("path_prefix", r.path_prefix);
}

template <class V, record_of<service_rule> R>
void visit_fields(V& v, R& r) {
  v("id", r.id);
  v("path_prefix", r.path_prefix);
  v("idempotent_calls", r.idempotent_calls);
  v("workspaces", "lists_workspaces", r.workspaces);
}

template <class V, record_of<class_rule> R>
void visit_fields(V& v, R& r) {
  v("name", r.name);
  v("priority", r.priority);
  v("deadline_us", r.deadline);
  v("first_token_us", r.first_token);
}

template <class V, record_of<workspace_rule> R>
void visit_fields(V& v, R& r) {
  v("id", r.id);
  v("key_hashes", r.key_hashes);
  v("models", r.models);
  v("share", r.share);
  v("requests_per_second", r.requests_per_second);
  v("burst", r.burst);
}

template <class V, record_of<rules> R>
void visit_fields(V& v, R& r) {
  v("models", r.models);
  v("services", r.services);
  v("workspaces", r.workspaces);
  v("classes", r.classes);
  v("preference", r.preference);
  v("spare_vms_per_data_centre", r.spare_vms_per_data_centre);
  v("standbys_per_replica", r.standbys_per_replica);
  v("vm_failures_per_day", r.vm_failures_per_day);
  v("vm_repair_hours", r.vm_repair_hours);
}

template <class V, record_of<config_head> R>
void visit_fields(V& v, R& r) {
  v("version", r.version);
  v("hash", r.hash);
  v("proposals", r.proposals);
}

// ---- writing ----

template <class T>
json to_json_value(const T& value);

class field_writer {
 public:
  template <class T>
  void operator()(const char* key, const T& value) {
    object_[key] = to_json_value(value);
  }
  // Earlier releases know no absent lists: they write and read them as empty ones. So `flag` is
  // written beside a list that is empty, and only there.
  template <class T>
  void operator()(const char* key, const char* flag, const std::optional<std::vector<T>>& list) {
    (*this)(key, list.value_or(std::vector<T>{}));
    if (list && list->empty()) {
      object_[flag] = true;
    }
  }
  [[nodiscard]] json take() { return std::move(object_); }

 private:
  json object_ = json::object();
};

template <class T>
requires std::is_arithmetic_v<T> json write_value(const T& value) {
  return value;
}

json write_value(const std::string& value) {
  return value;
}

json write_value(const duration& value) {
  return value.count();
}

template <class Tag>
json write_value(const name_id<Tag>& id) {
  return id.str();
}

template <class T>
json write_value(const std::vector<T>& list) {
  json array = json::array();
  for (const T& item : list) {
    array.push_back(to_json_value(item));
  }
  return array;
}

template <class T>
requires requires(field_writer& w, const T& r) {
  visit_fields(w, r);
}
json write_value(const T& record) {
  field_writer writer;
  visit_fields(writer, record);
  return writer.take();
}

template <class T>
json to_json_value(const T& value) {
  return write_value(value);
}

// ---- reading; exceptions do not leave this file, see `parse_or_refuse` ----

template <class T>
void from_json_value(const json& j, T& value);

class field_reader {
 public:
  explicit field_reader(const json& object) : object_(object) {
    if (!object.is_object()) {
      throw std::invalid_argument("expected an object");
    }
  }

  template <class T>
  void operator()(const char* key, T& value) {
    const auto found = object_.find(key);
    if (found == object_.end()) {
      throw std::invalid_argument(std::string(key) + " is missing");
    }
    try {
      from_json_value(*found, value);
    } catch (const std::exception& e) {
      throw std::invalid_argument(std::string(key) + ": " + e.what());
    }
  }

  template <class T>
  void operator()(const char* key, const char* flag, std::optional<std::vector<T>>& list) {
    std::vector<T> entries;
    (*this)(key, entries);
    bool is_listed = !entries.empty();
    if (object_.contains(flag)) {
      (*this)(flag, is_listed);
    }
    list = is_listed ? std::optional(std::move(entries)) : std::nullopt;
  }

 private:
  const json& object_;
};

void read_value(const json& j, bool& value) {
  value = j.get<bool>();
}

// Reads an integer and refuses values out of range. The JSON library's own conversion truncates: a
// port of 65537 would become 1.
template <std::unsigned_integral T>
requires(!std::same_as<T, bool>) void read_value(const json& j, T& value) {
  if (!j.is_number_unsigned()) {
    throw std::invalid_argument("expected a whole number from 0");
  }
  const auto wide = j.get<std::uint64_t>();
  if (wide > std::numeric_limits<T>::max()) {
    throw std::out_of_range("the number is too large");
  }
  value = static_cast<T>(wide);
}

void read_value(const json& j, double& value) {
  value = j.get<double>();
}

void read_value(const json& j, duration& value) {
  if (!j.is_number_integer()) {
    throw std::invalid_argument("expected a whole number of microseconds");
  }
  value = duration{j.get<duration::rep>()};
}

void read_value(const json& j, std::string& value) {
  value = j.get<std::string>();
}

template <class Tag>
void read_value(const json& j, name_id<Tag>& id) {
  id = name_id<Tag>{j.get<std::string>()};
}

template <class T>
void read_value(const json& j, std::vector<T>& list) {
  if (!j.is_array()) {
    throw std::invalid_argument("expected a list");
  }
  list.clear();
  list.reserve(j.size());
  for (const json& item : j) {
    from_json_value(item, list.emplace_back());
  }
}

template <class T>
requires requires(field_reader& reader, T& r) {
  visit_fields(reader, r);
}
void read_value(const json& j, T& record) {
  field_reader reader(j);
  visit_fields(reader, record);
}

template <class T>
void from_json_value(const json& j, T& value) {
  read_value(j, value);
}

// Damaged bytes from the store must never crash a node: they are refused with the reason, and the
// node keeps its current configuration.
template <class T, class Decode>
outcome<T> parse_or_refuse(std::string_view text, Decode decode) {
  try {
    return decode(json::parse(text));
  } catch (const std::exception& e) {
    return refused{std::string("malformed: ") + e.what()};
  }
}

// Replaces invalid UTF-8 instead of throwing. The import lets no such text through, but an
// embedding program may skip the import.
std::string dump(const json& j) {
  return j.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace

std::string encode_content(const inventory& assets, const rules& desired) {
  return dump(json{{"format", content_format},
                   {"inventory", to_json_value(assets)},
                   {"rules", to_json_value(desired)}});
}

outcome<configuration> decode_content(std::string_view content, std::uint64_t version) {
  return parse_or_refuse<configuration>(content, [&](const json& j) {
    unsigned format = 0;
    field_reader reader(j);
    reader("format", format);
    if (format != content_format) {
      throw std::invalid_argument("format " + std::to_string(format) + " is not known");
    }
    configuration result;
    result.version = version;
    reader("inventory", result.assets);
    reader("rules", result.desired);
    return result;
  });
}

std::string encode(const config_head& head) {
  return dump(to_json_value(head));
}

outcome<config_head> decode_head(std::string_view text) {
  return parse_or_refuse<config_head>(text, [](const json& j) {
    config_head head;
    from_json_value(j, head);
    return head;
  });
}

}  // namespace arbutus
