// Import of the inventory from comma-separated values. The first row names the columns, in any
// order; each further row is one asset. Other columns of an asset register are ignored.
#include <algorithm>
#include <array>
#include <functional>
#include <span>
#include <string>
#include <utility>

#include "version/field_text.h"
#include "version/import.h"
#include "version/import_csv.h"

namespace arbutus {

namespace {

constexpr std::array<std::string_view, 10> columns = {
    "kind",          "id",           "data_centre",   "region", "address",
    "fabric_domain", "accelerators", "checks_tokens", "link",   "caller"};

constexpr std::array<std::string_view, 4> kinds = {"data_centre", "vm", "node", "service"};

constexpr std::uint32_t max_accelerators = 1024;

class row_reader {
 public:
  row_reader(const std::vector<std::string_view>& header, const csv_row& row,
             inventory_import& result)
      : header_(header), row_(row), result_(result) {}

  place at() const { return row_.front().at; }
  const std::vector<std::string_view>& used() const { return used_; }

  // Sets the path, such as "vms/3", under which the places of the row and its fields are stored.
  void set_path(std::string path) {
    path_ = std::move(path);
    result_.places.add_place(path_, at());
  }

  void report(place where, std::string message, std::string expected) {
    result_.problems.push_back(
        {severity::error, std::move(where), std::move(message), std::move(expected)});
  }

  // The row's field in this column; its text is empty if the column is absent.
  const csv_field& field(std::string_view column) {
    used_.push_back(column);
    const auto found = std::find(header_.begin(), header_.end(), column);
    const auto index = static_cast<std::size_t>(found - header_.begin());
    if (index >= row_.size()) {
      missing_.at = at();
      return missing_;
    }
    if (!path_.empty()) {
      result_.places.add_place(path_ + '/' + std::string(column), row_[index].at);
    }
    return row_[index];
  }

  template <class Parse>
  auto parsed(std::string_view column, std::string_view expected, Parse parse) {
    const csv_field& source = field(column);
    auto value = parse(source.text);
    if (!value) {
      const std::string is =
          source.text.empty() ? "is missing" : "is " + quoted_for_message(source.text);
      report(source.at, std::string(column) + ' ' + is, std::string(expected));
    }
    return value;
  }

  std::string name(std::string_view column) {
    const auto parse = [](const std::string& text) {
      return is_valid_name(text) ? std::optional(text) : std::nullopt;
    };
    return parsed(column, name_expected, parse).value_or("");
  }

  endpoint address(std::string_view column) {
    return parsed(column, endpoint_expected, parse_endpoint).value_or(endpoint{});
  }

  std::uint32_t accelerators() {
    const auto parse = [](const std::string& text) {
      const auto count = parse_integer(text);
      const bool fits = count && *count >= 1 && *count <= max_accelerators;
      return fits ? count : std::nullopt;
    };
    return parsed("accelerators", "a whole number from 1 to 1024", parse).value_or(0);
  }

  // There is no default: treating a VM that ignores fencing tokens as one that checks them would be
  // unsafe.
  bool checks_fencing_tokens() {
    const auto parse = [](const std::string& text) -> std::optional<bool> {
      if (text == "yes" || text == "no") {
        return text == "yes";
      }
      return std::nullopt;
    };
    return parsed("checks_tokens", "yes or no", parse).value_or(false);
  }

 private:
  const std::vector<std::string_view>& header_;
  const csv_row& row_;
  inventory_import& result_;
  std::string path_;
  std::vector<std::string_view> used_;
  csv_field missing_;
};

void read_data_centre(row_reader& row, inventory& assets) {
  row.set_path(record_path("data_centres", assets.data_centres.size()));
  data_centre_record record;
  record.id = data_centre_id{row.name("id")};
  record.region = row.name("region");
  assets.data_centres.push_back(std::move(record));
}

void read_vm(row_reader& row, inventory& assets) {
  row.set_path(record_path("vms", assets.vms.size()));
  vm_record record;
  record.id = vm_id{row.name("id")};
  record.address = row.address("address");
  record.data_centre = data_centre_id{row.name("data_centre")};
  record.fabric_domain = fabric_domain_id{row.name("fabric_domain")};
  record.accelerators = row.accelerators();
  record.checks_fencing_tokens = row.checks_fencing_tokens();
  assets.vms.push_back(std::move(record));
}

void read_node(row_reader& row, inventory& assets) {
  row.set_path(record_path("nodes", assets.nodes.size()));
  node_record record;
  record.id = node_id{row.name("id")};
  record.data_centre = data_centre_id{row.name("data_centre")};
  record.link = row.address("link");
  record.caller = row.address("caller");
  assets.nodes.push_back(std::move(record));
}

void read_service(row_reader& row, inventory& assets) {
  row.set_path(record_path("services_at", assets.services.size()));
  service_target record;
  record.service = service_id{row.name("id")};
  record.data_centre = data_centre_id{row.name("data_centre")};
  record.address = row.address("address");
  assets.services.push_back(std::move(record));
}

// Reports values in columns that this kind of asset does not use. Usually the row is shifted.
void reject_unused_columns(row_reader& reader, std::string_view kind, const csv_row& row,
                           const std::vector<std::string_view>& header) {
  for (std::size_t i = 0; i < std::min(row.size(), header.size()); ++i) {
    const bool known = std::find(columns.begin(), columns.end(), header[i]) != columns.end();
    const auto& used = reader.used();
    const bool expected = std::find(used.begin(), used.end(), header[i]) != used.end();
    if (known && !expected && !row[i].text.empty()) {
      reader.report(row[i].at,
                    "a " + std::string(kind) + " has no " + std::string(header[i]) + ", found " +
                        quoted_for_message(row[i].text),
                    "an empty field");
    }
  }
}

void read_row(const std::vector<std::string_view>& header, const csv_row& row,
              inventory_import& result) {
  row_reader reader(header, row, result);
  if (row.size() > header.size()) {
    reader.report(
        row[header.size()].at,
        std::to_string(row.size()) + " fields, but " + std::to_string(header.size()) + " columns",
        "as many fields as the first row has");
  }
  const csv_field& kind = reader.field("kind");
  if (kind.text == "data_centre") {
    read_data_centre(reader, result.assets);
  } else if (kind.text == "vm") {
    read_vm(reader, result.assets);
  } else if (kind.text == "node") {
    read_node(reader, result.assets);
  } else if (kind.text == "service") {
    read_service(reader, result.assets);
  } else {
    result.problems.push_back(unknown_name_finding(kind.at, "kind", kind.text, kinds));
    return;
  }
  reject_unused_columns(reader, kind.text, row, header);
}

// Reports duplicate columns, and unknown ones that resemble a known column and are therefore likely
// misspelt. Other unknown columns belong to the asset register.
void check_column(const csv_row& row, std::size_t index, findings& problems) {
  const csv_field& column = row[index];
  const auto same = [&](const csv_field& other) { return other.text == column.text; };
  const auto begin = row.begin();
  if (std::any_of(begin, begin + static_cast<std::ptrdiff_t>(index), same)) {
    problems.push_back({severity::error, column.at,
                        "column " + quoted_for_message(column.text) + " stands twice",
                        "each column once"});
    return;
  }
  const bool known = std::find(columns.begin(), columns.end(), column.text) != columns.end();
  if (!known && !closest_match(column.text, columns).empty()) {
    problems.push_back(unknown_name_finding(column.at, "column", column.text, columns));
  }
}

std::vector<std::string_view> read_header(const csv_row& row, findings& problems) {
  std::vector<std::string_view> header;
  for (std::size_t i = 0; i < row.size(); ++i) {
    header.emplace_back(row[i].text);
    check_column(row, i, problems);
  }
  for (const std::string_view needed : {columns[0], columns[1]}) {
    if (std::find(header.begin(), header.end(), needed) == header.end()) {
      problems.push_back({severity::error, row.front().at,
                          "column " + quoted_for_message(needed) + " is missing",
                          "column names in the first row"});
    }
  }
  return header;
}

}  // namespace

inventory_import import_inventory(std::string_view text, const std::string& file_name) {
  inventory_import result;
  const std::vector<csv_row> rows = split_csv(text, file_name, result.problems);
  if (rows.empty()) {
    result.problems.push_back({severity::error,
                               {file_name, 0, 0},
                               "the inventory is empty",
                               "column names, then a row for each asset"});
    return result;
  }
  const std::vector<std::string_view> header = read_header(rows.front(), result.problems);
  const bool has_kinds = std::find(header.begin(), header.end(), "kind") != header.end();
  for (const csv_row& row : std::span(rows).subspan(1)) {
    if (!has_kinds || result.problems.size() >= max_findings) {
      break;
    }
    read_row(header, row, result);
  }
  return result;
}

}  // namespace arbutus
