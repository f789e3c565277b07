// Compares two contents recursively. A depth limit bounds the recursion; values below it are
// compared as a whole.
#include "version/config_changes.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>

namespace arbutus {

namespace {

using json = nlohmann::json;

constexpr std::size_t max_value_length = 80;
constexpr int max_depth = 8;

std::string to_text(const json& value) {
  std::string text = value.is_string() ? value.get<std::string>()
                                       : value.dump(-1, ' ', false, json::error_handler_t::replace);
  if (text.size() > max_value_length) {
    text.resize(max_value_length);
    text += "...";
  }
  return text;
}

// The name of a record, which identifies it in its list; empty if the record has no name.
std::string name_of(const json& record) {
  std::string name;
  for (const char* key : {"id", "name", "service", "data_centre"}) {
    if (record.is_object() && record.contains(key) && record[key].is_string()) {
      name += (name.empty() ? "" : " at ") + record[key].get<std::string>();
      if (std::string_view(key) == "id" || std::string_view(key) == "name") {
        break;
      }
    }
  }
  return name;
}

using named_records = std::map<std::string, const json*>;

// The records of a list by name. Empty if a record has no name or two have the same.
std::optional<named_records> by_name(const json& list) {
  named_records result;
  for (const json& record : list) {
    const std::string name = name_of(record);
    if (name.empty() || !result.emplace(name, &record).second) {
      return std::nullopt;
    }
  }
  return result;
}

class comparison {
 public:
  void compare(const std::string& place, const json& before, const json& after, int depth = 0) {
    if (before == after) {
      return;
    }
    if (depth < max_depth && before.is_object() && after.is_object()) {
      compare_fields(place, before, after, depth);
      return;
    }
    if (depth < max_depth && before.is_array() && after.is_array()) {
      const auto old_records = by_name(before);
      const auto new_records = by_name(after);
      if (old_records && new_records) {
        compare_records(place, *old_records, *new_records, depth);
        return;
      }
    }
    lines_.push_back(place + ": " + to_text(before) + " -> " + to_text(after));
  }

  std::vector<std::string> take() { return std::move(lines_); }

 private:
  static std::string child_path(const std::string& place, const std::string& name) {
    return place.empty() ? name : place + ' ' + name;
  }

  void compare_fields(const std::string& place, const json& before, const json& after, int depth) {
    for (const auto& [key, value] : before.items()) {
      compare(child_path(place, key), value, after.value(key, json{}), depth + 1);
    }
    for (const auto& [key, value] : after.items()) {
      if (!before.contains(key)) {
        compare(child_path(place, key), json{}, value, depth + 1);
      }
    }
  }

  void compare_records(const std::string& place, const named_records& before,
                       const named_records& after, int depth) {
    for (const auto& [name, record] : before) {
      const auto same = after.find(name);
      if (same == after.end()) {
        lines_.push_back(child_path(place, name) + ": removed");
      } else {
        compare(child_path(place, name), *record, *same->second, depth + 1);
      }
    }
    for (const auto& [name, record] : after) {
      if (!before.contains(name)) {
        lines_.push_back(child_path(place, name) + ": added");
      }
    }
  }

  std::vector<std::string> lines_;
};

}  // namespace

std::vector<std::string> changes_between(std::string_view before, std::string_view after,
                                         std::size_t max_lines) {
  const json old_content = json::parse(before, nullptr, false);
  const json new_content = json::parse(after, nullptr, false);
  if (old_content.is_discarded() || new_content.is_discarded()) {
    return {};
  }
  comparison walk;
  walk.compare("", old_content, new_content);
  std::vector<std::string> lines = walk.take();
  if (lines.size() > max_lines) {
    const std::size_t rest = lines.size() - max_lines;
    lines.resize(max_lines);
    lines.push_back("and " + std::to_string(rest) + " more");
  }
  return lines;
}

}  // namespace arbutus
