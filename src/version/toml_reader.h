// Reads TOML into typed values with their places in the file, and collects errors as findings. The
// parser library is not visible through this header.
#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/finding.h"
#include "base/id.h"
#include "base/units.h"
#include "version/inventory.h"

namespace arbutus {

struct toml_field;
struct toml_value;

struct toml_table {
  place at;
  std::vector<toml_field> fields;  // ordered by key
};

// A typed TOML value with its place. Dates and times are read as std::monostate, since no setting
// uses them.
struct toml_value {
  place at;
  std::variant<std::monostate, bool, std::int64_t, double, std::string, std::vector<toml_value>,
               toml_table>
      data;
};

struct toml_field {
  std::string key;
  place at;  // place of the key
  toml_value value;
};

// Empty if the text is not valid TOML; `problems` then holds the error and its place. Does not
// throw on invalid text.
[[nodiscard]] std::optional<toml_table> parse_toml(std::string_view text,
                                                   const std::string& file_name,
                                                   findings& problems);

// Like parse_toml(), but an empty text is a finding too. `what` names the text in the finding ("the
// rules"), `expected` describes the content that it should have.
[[nodiscard]] std::optional<toml_table> parse_nonempty_toml(std::string_view text,
                                                            const std::string& file_name,
                                                            const std::string& what,
                                                            const std::string& expected,
                                                            findings& problems);

enum class presence { optional, required };

struct integer_range {
  std::uint32_t min_value = 0;
  std::uint32_t max_value = std::numeric_limits<std::uint32_t>::max();
};

struct real_range {
  double min_value = 0;
  double max_value = std::numeric_limits<double>::max();
  bool exclusive_min = false;  // `min_value` itself is outside the range
};

template <class T>
struct located_value {
  T value;
  place at;
};

// Reads the fields of one table by key. An absent field leaves `value` unchanged. A field of the
// wrong type or out of range and an absent required field are findings. finish() reports keys that
// were not read. The table and `problems` must outlive the reader.
class table_reader {
 public:
  // `name` is the name of the table in messages, such as "[[model]]".
  table_reader(const toml_table& table, std::string name, findings& problems);

  void read(std::string_view key, bool& value, presence need = presence::optional);
  void read(std::string_view key, std::string& value, presence need = presence::optional);
  void read(std::string_view key, std::uint32_t& value, presence need, integer_range range);
  void read(std::string_view key, double& value, presence need, real_range range);
  void read(std::string_view key, endpoint& value, presence need = presence::optional);
  // For keys that end in _ms; the value is an integer in milliseconds.
  void read_ms(std::string_view key, duration& value, presence need, integer_range range);
  // The value must satisfy is_valid_name().
  void read_name(std::string_view key, std::string& value, presence need);
  template <class Tag>
  void read(std::string_view key, name_id<Tag>& id, presence need = presence::required) {
    std::string text = id.str();
    read_name(key, text, need);
    id = name_id<Tag>{std::move(text)};
  }
  [[nodiscard]] bool contains(std::string_view key) const { return find(key) != nullptr; }
  // The strings of a list; entries of another type are findings and not returned.
  [[nodiscard]] std::vector<located_value<std::string>> read_strings(std::string_view key);
  // Integers of a table with arbitrary keys, such as `replicas = { hall-a = 3 }`, each with the
  // place of its key.
  [[nodiscard]] std::vector<located_value<std::pair<std::string, std::uint32_t>>> read_counts(
      std::string_view key, integer_range range);
  // Reads one of `words` and stores its index in `position`.
  void read_choice(std::string_view key, std::size_t& position,
                   std::span<const std::string_view> words);

  // The table [key]; empty if absent.
  [[nodiscard]] std::optional<table_reader> table(std::string_view key,
                                                  presence need = presence::optional);
  // The entries of the array of tables [[key]]; empty if absent.
  [[nodiscard]] std::vector<table_reader> tables(std::string_view key);

  // The place of the field, or of the table if the field is absent.
  [[nodiscard]] place place_of(std::string_view key) const;
  void problem(std::string_view key, std::string message, std::string expected = {});
  // Reports the keys of the table that were not read.
  void finish();

 private:
  const toml_field* find(std::string_view key) const;
  const toml_field* lookup_field(std::string_view key, presence need);
  template <class T>
  const T* lookup_field_as(std::string_view key, presence need, std::string_view expected);
  std::optional<std::uint32_t> integer_of(const toml_field& field, integer_range range);
  std::string path(std::string_view key) const;

  const toml_table* table_;
  std::string name_;
  findings* problems_;
  std::set<std::string, std::less<>> read_keys_;  // every key that was read
};

}  // namespace arbutus
