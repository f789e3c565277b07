// Reads TOML into typed values with places, and collects what is wrong on the way. The parser
// stays behind this header: users see plain values.
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
  std::vector<toml_field> fields;  // by key
};

// Dates and times hold no value here: no setting uses them.
struct toml_value {
  place at;
  std::variant<std::monostate, bool, std::int64_t, double, std::string, std::vector<toml_value>,
               toml_table>
      data;
};

struct toml_field {
  std::string key;
  place at;  // of the key
  toml_value value;
};

// Empty when the text is no TOML; `problems` then says where and why. Never throws on bad text.
[[nodiscard]] std::optional<toml_table> parse_toml(std::string_view text,
                                                   const std::string& file_name,
                                                   findings& problems);

// The same for a text that has to say something: an empty one is a finding. `what` names it
// ("the rules"), `expected` what should stand in it.
[[nodiscard]] std::optional<toml_table> parse_filled_toml(std::string_view text,
                                                          const std::string& file_name,
                                                          const std::string& what,
                                                          const std::string& expected,
                                                          findings& problems);

enum class presence { optional, required };

struct whole_range {
  std::uint32_t least = 0;
  std::uint32_t most = std::numeric_limits<std::uint32_t>::max();
};

struct real_range {
  double least = 0;
  double most = std::numeric_limits<double>::max();
  bool above_least = false;  // `least` itself is not allowed
};

template <class T>
struct placed {
  T value;
  place at;
};

// Takes the fields of one table by key. A field that is absent leaves `value` as it is; one of the
// wrong type or out of range is a finding, as is an absent one that is required. `finish` reports
// the keys that nobody asked for. The table and `problems` must outlive the reader.
class table_reader {
 public:
  // `name` stands in messages, such as "[[model]]".
  table_reader(const toml_table& table, std::string name, findings& problems);

  void read(std::string_view key, bool& value, presence need = presence::optional);
  void read(std::string_view key, std::string& value, presence need = presence::optional);
  void read(std::string_view key, std::uint32_t& value, presence need, whole_range range);
  void read(std::string_view key, double& value, presence need, real_range range);
  void read(std::string_view key, endpoint& value, presence need = presence::optional);
  // The key ends in _ms and holds whole milliseconds.
  void read_ms(std::string_view key, duration& value, presence need, whole_range range);
  // A name by the rule of is_name().
  void read_name(std::string_view key, std::string& value, presence need);
  template <class Tag>
  void read(std::string_view key, name_id<Tag>& id, presence need = presence::required) {
    std::string text = id.str();
    read_name(key, text, need);
    id = name_id<Tag>{std::move(text)};
  }
  // Texts of a list; entries of another type are findings and left out.
  [[nodiscard]] std::vector<placed<std::string>> texts(std::string_view key);
  // Whole numbers under free keys, as in `replicas = { hall-a = 3 }`, each with the key's place.
  [[nodiscard]] std::vector<placed<std::pair<std::string, std::uint32_t>>> counts(
      std::string_view key, whole_range range);
  // One of `words`, as its position among them.
  void read_word(std::string_view key, std::size_t& position,
                 std::span<const std::string_view> words);

  // The table below `key`, as [key]; empty when absent.
  [[nodiscard]] std::optional<table_reader> table(std::string_view key,
                                                  presence need = presence::optional);
  // The tables below `key`, as [[key]].
  [[nodiscard]] std::vector<table_reader> tables(std::string_view key);

  // Of the field, or of the table when the field is absent.
  [[nodiscard]] place place_of(std::string_view key) const;
  void problem(std::string_view key, std::string message, std::string expected = {});
  void finish();

 private:
  const toml_field* find(std::string_view key) const;
  const toml_field* take(std::string_view key, presence need);
  template <class T>
  const T* take_as(std::string_view key, presence need, std::string_view expected);
  std::optional<std::uint32_t> whole_of(const toml_field& field, whole_range range);
  std::string path(std::string_view key) const;

  const toml_table* table_;
  std::string name_;
  findings* problems_;
  std::set<std::string, std::less<>> known_;  // every key asked for
};

}  // namespace arbutus
