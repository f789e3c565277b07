// Reads the files of a configuration directory and combines both imports with the cross-checks.
#include "version/import.h"

#include <algorithm>
#include <fstream>
#include <utility>

#include "version/cross_check.h"

namespace arbutus {

namespace fs = std::filesystem;

namespace {

void append(findings& to, findings from) {
  to.insert(to.end(), std::make_move_iterator(from.begin()), std::make_move_iterator(from.end()));
}

void report_file(findings& problems, const fs::path& file, std::string message,
                 std::string expected = {}) {
  problems.push_back(
      {severity::error, {file.string(), 0, 0}, std::move(message), std::move(expected)});
}

}  // namespace

std::string record_path(std::string_view list, std::size_t index) {
  std::string path(list);
  path += '/';
  path += std::to_string(index);
  return path;
}

void place_index::add_place(std::string path, place where) {
  places_.insert_or_assign(std::move(path), std::move(where));
}

place place_index::at(const std::string& path) const {
  std::string prefix = path;
  while (true) {
    const auto found = places_.find(prefix);
    if (found != places_.end()) {
      return found->second;
    }
    const std::size_t slash = prefix.rfind('/');
    if (slash == std::string::npos) {
      return {path, 0, 0};
    }
    prefix.resize(slash);
  }
}

void place_index::merge(place_index other) {
  places_.merge(other.places_);
}

std::optional<std::string> read_text_file(const fs::path& file, std::size_t limit,
                                          findings& problems) {
  std::error_code error;
  const fs::file_status status = fs::status(file, error);
  if (!fs::exists(status)) {
    report_file(problems, file, "there is no such file");
    return std::nullopt;
  }
  if (fs::is_directory(status)) {
    report_file(problems, file, "is a directory", "a file");
    return std::nullopt;
  }
  std::ifstream in(file, std::ios::binary);
  std::string text(limit + 1, '\0');
  in.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (!in.is_open() || in.bad()) {
    report_file(problems, file, "cannot be read");
    return std::nullopt;
  }
  text.resize(static_cast<std::size_t>(in.gcount()));
  if (text.size() > limit) {
    report_file(problems, file, "is too large", "at most " + std::to_string(limit) + " bytes");
    return std::nullopt;
  }
  return text;
}

import_result import_texts(std::string_view inventory_text, const std::string& inventory_name,
                           std::string_view rules_text, const std::string& rules_name) {
  inventory_import assets = import_inventory(inventory_text, inventory_name);
  rules_import desired = import_rules(rules_text, rules_name);
  import_result result{std::move(assets.assets), std::move(desired.desired), {}};
  append(result.problems, std::move(assets.problems));
  append(result.problems, std::move(desired.problems));
  assets.places.merge(std::move(desired.places));
  append(result.problems, cross_check(result.assets, result.desired, assets.places));
  std::stable_sort(result.problems.begin(), result.problems.end(),
                   [](const finding& a, const finding& b) { return a.where < b.where; });
  return result;
}

import_result import_directory(const fs::path& directory) {
  const fs::path inventory_file = directory / inventory_file_name;
  const fs::path rules_file = directory / rules_file_name;
  findings problems;
  const auto inventory_text = read_text_file(inventory_file, max_inventory_bytes, problems);
  const auto rules_text = read_text_file(rules_file, max_toml_bytes, problems);
  import_result result;
  if (inventory_text && rules_text) {
    result =
        import_texts(*inventory_text, inventory_file.string(), *rules_text, rules_file.string());
  } else if (inventory_text) {
    append(problems, import_inventory(*inventory_text, inventory_file.string()).problems);
  } else if (rules_text) {
    append(problems, import_rules(*rules_text, rules_file.string()).problems);
  }
  append(result.problems, std::move(problems));
  return result;
}

}  // namespace arbutus
