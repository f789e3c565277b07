// Typed reading of TOML tables.
#include "version/toml_reader.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <sstream>

#include "version/field_text.h"

namespace arbutus {

namespace {

std::string type_name(const toml_value& value) {
  constexpr std::array<std::string_view, 7> names = {
      "a date or time", "true or false", "a whole number", "a number",
      "a text",         "a list",        "a table"};
  return std::string(names[value.data.index()]);
}

std::string number_text(double value) {
  std::ostringstream out;
  out << value;
  return out.str();
}

std::string expected_text(const integer_range& range) {
  if (range.max_value == std::numeric_limits<std::uint32_t>::max()) {
    return "a whole number from " + std::to_string(range.min_value);
  }
  return "a whole number from " + std::to_string(range.min_value) + " to " +
         std::to_string(range.max_value);
}

std::string expected_text(const real_range& range) {
  std::string text = (range.exclusive_min ? "a number above " : "a number from ");
  text += number_text(range.min_value);
  if (range.max_value != std::numeric_limits<double>::max()) {
    text += " to " + number_text(range.max_value);
  }
  return text;
}

bool within(const real_range& range, double value) {
  const bool low_enough = value <= range.max_value;
  const bool high_enough = range.exclusive_min ? value > range.min_value : value >= range.min_value;
  return std::isfinite(value) && low_enough && high_enough;
}

}  // namespace

table_reader::table_reader(const toml_table& table, std::string name, findings& problems)
    : table_(&table), name_(std::move(name)), problems_(&problems) {}

const toml_field* table_reader::find(std::string_view key) const {
  const auto found = std::find_if(table_->fields.begin(), table_->fields.end(),
                                  [&](const toml_field& f) { return f.key == key; });
  return found == table_->fields.end() ? nullptr : &*found;
}

std::string table_reader::path(std::string_view key) const {
  return name_.empty() ? std::string(key) : name_ + ' ' + std::string(key);
}

place table_reader::place_of(std::string_view key) const {
  const toml_field* field = find(key);
  return field == nullptr ? table_->at : field->value.at;
}

void table_reader::problem(std::string_view key, std::string message, std::string expected) {
  problems_->push_back(
      {severity::error, place_of(key), path(key) + ": " + std::move(message), std::move(expected)});
}

const toml_field* table_reader::lookup_field(std::string_view key, presence need) {
  read_keys_.emplace(key);
  const toml_field* field = find(key);
  if (field == nullptr && need == presence::required) {
    problem(key, "is missing");
  }
  return field;
}

template <class T>
const T* table_reader::lookup_field_as(std::string_view key, presence need,
                                       std::string_view expected) {
  const toml_field* field = lookup_field(key, need);
  if (field == nullptr) {
    return nullptr;
  }
  const T* value = std::get_if<T>(&field->value.data);
  if (value == nullptr) {
    problem(key, "is " + type_name(field->value), std::string(expected));
  }
  return value;
}

void table_reader::read(std::string_view key, bool& value, presence need) {
  if (const bool* found = lookup_field_as<bool>(key, need, "true or false")) {
    value = *found;
  }
}

void table_reader::read(std::string_view key, std::string& value, presence need) {
  if (const auto* found = lookup_field_as<std::string>(key, need, "a text")) {
    value = *found;
  }
}

void table_reader::read(std::string_view key, std::uint32_t& value, presence need,
                        integer_range range) {
  if (const toml_field* field = lookup_field(key, need)) {
    value = integer_of(*field, range).value_or(value);
  }
}

std::optional<std::uint32_t> table_reader::integer_of(const toml_field& field,
                                                      integer_range range) {
  const auto* found = std::get_if<std::int64_t>(&field.value.data);
  const bool fits = found != nullptr && *found >= range.min_value && *found <= range.max_value;
  if (fits) {
    return static_cast<std::uint32_t>(*found);
  }
  const std::string is = found == nullptr ? type_name(field.value) : std::to_string(*found);
  problems_->push_back(
      {severity::error, field.value.at, path(field.key) + ": is " + is, expected_text(range)});
  return std::nullopt;
}

void table_reader::read(std::string_view key, double& value, presence need, real_range range) {
  const toml_field* field = lookup_field(key, need);
  if (field == nullptr) {
    return;
  }
  const auto* real = std::get_if<double>(&field->value.data);
  const auto* integer = std::get_if<std::int64_t>(&field->value.data);
  if (real == nullptr && integer == nullptr) {
    problem(key, "is " + type_name(field->value), expected_text(range));
    return;
  }
  const double found = real != nullptr ? *real : static_cast<double>(*integer);
  if (!within(range, found)) {
    problem(key, "is " + number_text(found), expected_text(range));
    return;
  }
  value = found;
}

void table_reader::read(std::string_view key, endpoint& value, presence need) {
  const auto* found = lookup_field_as<std::string>(key, need, endpoint_expected);
  if (found == nullptr) {
    return;
  }
  const auto parsed = parse_endpoint(*found);
  if (!parsed) {
    problem(key, quoted_for_message(*found) + " is no endpoint", std::string(endpoint_expected));
    return;
  }
  value = *parsed;
}

void table_reader::read_ms(std::string_view key, duration& value, presence need,
                           integer_range range) {
  const toml_field* field = lookup_field(key, need);
  if (field == nullptr) {
    return;
  }
  if (const auto milliseconds = integer_of(*field, range)) {
    value = std::chrono::milliseconds(*milliseconds);
  }
}

void table_reader::read_name(std::string_view key, std::string& value, presence need) {
  const auto* found = lookup_field_as<std::string>(key, need, name_expected);
  if (found == nullptr) {
    return;
  }
  if (!is_valid_name(*found)) {
    problem(key, quoted_for_message(*found) + " is no name", std::string(name_expected));
    return;
  }
  value = *found;
}

std::vector<located_value<std::string>> table_reader::read_strings(std::string_view key) {
  std::vector<located_value<std::string>> result;
  const auto* list =
      lookup_field_as<std::vector<toml_value>>(key, presence::optional, "a list of texts");
  if (list == nullptr) {
    return result;
  }
  for (const toml_value& item : *list) {
    if (const auto* text = std::get_if<std::string>(&item.data)) {
      result.push_back({*text, item.at});
    } else {
      problems_->push_back(
          {severity::error, item.at, path(key) + ": an entry is " + type_name(item), "a text"});
    }
  }
  return result;
}

std::vector<located_value<std::pair<std::string, std::uint32_t>>> table_reader::read_counts(
    std::string_view key, integer_range range) {
  std::vector<located_value<std::pair<std::string, std::uint32_t>>> result;
  const auto* table =
      lookup_field_as<toml_table>(key, presence::optional, "a table such as { a = 1 }");
  if (table == nullptr) {
    return result;
  }
  table_reader reader(*table, path(key), *problems_);
  for (const toml_field& field : table->fields) {
    const std::uint32_t count = reader.integer_of(field, range).value_or(range.min_value);
    result.push_back({{field.key, count}, field.at});
  }
  return result;
}

void table_reader::read_choice(std::string_view key, std::size_t& position,
                               std::span<const std::string_view> words) {
  const auto* found = lookup_field_as<std::string>(key, presence::optional, "a text");
  if (found == nullptr) {
    return;
  }
  const auto match = std::find(words.begin(), words.end(), *found);
  if (match == words.end()) {
    problems_->push_back(unknown_name_finding(place_of(key), path(key), *found, words));
    return;
  }
  position = static_cast<std::size_t>(match - words.begin());
}

std::optional<table_reader> table_reader::table(std::string_view key, presence need) {
  const std::string name = '[' + std::string(key) + ']';
  const std::string expected = "a table, as " + name;
  const auto* found = lookup_field_as<toml_table>(key, presence::optional, expected);
  if (found != nullptr) {
    return table_reader(*found, name, *problems_);
  }
  if (need == presence::required && find(key) == nullptr) {
    problem(key, "is missing", expected);
  }
  return std::nullopt;
}

std::vector<table_reader> table_reader::tables(std::string_view key) {
  std::vector<table_reader> result;
  const std::string name = "[[" + std::string(key) + "]]";
  const auto* list =
      lookup_field_as<std::vector<toml_value>>(key, presence::optional, "tables, as " + name);
  if (list == nullptr) {
    return result;
  }
  for (const toml_value& item : *list) {
    if (const auto* table = std::get_if<toml_table>(&item.data)) {
      result.emplace_back(*table, name, *problems_);
    } else {
      problems_->push_back(
          {severity::error, item.at, name + " is " + type_name(item), "a table, as " + name});
    }
  }
  return result;
}

void table_reader::finish() {
  const std::vector<std::string_view> candidates(read_keys_.begin(), read_keys_.end());
  for (const toml_field& field : table_->fields) {
    if (!read_keys_.contains(field.key) && problems_->size() < max_findings) {
      const std::string what = name_.empty() ? "key" : name_ + " key";
      problems_->push_back(unknown_name_finding(field.at, what, field.key, candidates));
    }
  }
}

}  // namespace arbutus
