// Import of what operators edit: `inventory.csv` from their asset register, and `rules.toml`. All
// mistakes of both files are collected in one run, each with its place.
#pragma once

#include <cstddef>
#include <filesystem>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/finding.h"
#include "version/inventory.h"
#include "version/rules.h"

namespace arbutus {

inline constexpr std::string_view inventory_file_name = "inventory.csv";
inline constexpr std::string_view rules_file_name = "rules.toml";

// A hundred bytes for each of the 1,300 VMs of the largest site make 130 KB; a file many times
// that size is the wrong file.
inline constexpr std::size_t max_inventory_bytes = std::size_t{4} << 20U;
inline constexpr std::size_t max_toml_bytes = std::size_t{2} << 20U;

// "vms/3": the record at `index` of `list`, as place_index names it.
[[nodiscard]] std::string indexed(std::string_view list, std::size_t index);

// Where each record and field was read, so that checks across both files can point at it.
class place_index {
 public:
  void note(std::string path, place where);
  // Of the longest known beginning of `path` ("vms/3/address", then "vms/3"); else a place that
  // names the path itself, for values that come from no file.
  [[nodiscard]] place at(const std::string& path) const;
  void merge(place_index other);

 private:
  std::map<std::string, place> places_;
};

struct inventory_import {
  inventory assets;
  place_index places;  // "vms/3", "vms/3/address", ...
  findings problems;
};

struct rules_import {
  rules desired;
  place_index places;  // "models/0", "workspaces/2/models/1", ...
  findings problems;
};

struct import_result {
  inventory assets;
  rules desired;
  findings problems;  // usable when has_errors(problems) is false
};

// Each file by itself; `file_name` stands in the findings.
[[nodiscard]] inventory_import import_inventory(std::string_view text,
                                                const std::string& file_name);
[[nodiscard]] rules_import import_rules(std::string_view text, const std::string& file_name);

// Both, and the checks that need both.
[[nodiscard]] import_result import_texts(std::string_view inventory_text,
                                         const std::string& inventory_name,
                                         std::string_view rules_text,
                                         const std::string& rules_name);

// Reads inventory.csv and rules.toml of a directory.
[[nodiscard]] import_result import_directory(const std::filesystem::path& directory);

// Empty, with a finding, when the file cannot be read or holds more than `limit` bytes. Reads no
// more than that also from what has no size, such as a pipe.
[[nodiscard]] std::optional<std::string> read_text_file(const std::filesystem::path& file,
                                                        std::size_t limit, findings& problems);

}  // namespace arbutus
