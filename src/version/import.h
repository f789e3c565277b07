// Import of the files that operators edit: `inventory.csv`, exported from their asset register, and
// `rules.toml`. One run collects the errors of both files, each with its place in the file.
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

// The largest site has 1,300 VMs, which take 130 KB at 100 bytes each. A file that is many times
// larger is not an inventory.
inline constexpr std::size_t max_inventory_bytes = std::size_t{4} << 20U;
inline constexpr std::size_t max_toml_bytes = std::size_t{2} << 20U;

// The path under which place_index stores record `index` of `list`, such as "vms/3".
[[nodiscard]] std::string record_path(std::string_view list, std::size_t index);

// Maps the path of each record and field to its place in the file, so that checks that involve both
// files can report where a wrong value is.
class place_index {
 public:
  void add_place(std::string path, place where);
  // Returns the place in the imported file of the value with path `path`. If that is unknown, the
  // place of the longest known prefix: "vms/3" for "vms/3/address". If no prefix is known, as for
  // values that were not read from a file, a place whose file name is `path`.
  [[nodiscard]] place at(const std::string& path) const;
  void merge(place_index other);

 private:
  std::map<std::string, place> places_;
};

struct inventory_import {
  inventory assets;
  place_index places;  // has paths such as "vms/3" and "vms/3/address"
  findings problems;
};

struct rules_import {
  rules desired;
  place_index places;  // has paths such as "models/0" and "workspaces/2/models/1"
  findings problems;
};

struct import_result {
  inventory assets;
  rules desired;
  findings problems;  // `assets` and `desired` are usable if has_errors(problems) is false
};

// Import one file without the checks across files; `file_name` appears in the findings.
[[nodiscard]] inventory_import import_inventory(std::string_view text,
                                                const std::string& file_name);
[[nodiscard]] rules_import import_rules(std::string_view text, const std::string& file_name);

// Imports both texts and runs cross_check() on the result.
[[nodiscard]] import_result import_texts(std::string_view inventory_text,
                                         const std::string& inventory_name,
                                         std::string_view rules_text,
                                         const std::string& rules_name);

// Reads inventory.csv and rules.toml of a directory.
[[nodiscard]] import_result import_directory(const std::filesystem::path& directory);

// Empty, with a finding, if the file cannot be read or holds more than `limit` bytes. Never reads
// more than `limit` + 1 bytes, also from files without a size, such as pipes.
[[nodiscard]] std::optional<std::string> read_text_file(const std::filesystem::path& file,
                                                        std::size_t limit, findings& problems);

}  // namespace arbutus
