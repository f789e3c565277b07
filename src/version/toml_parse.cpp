// Parses TOML with toml++ and converts it to plain values with their places in the file.
#include <toml++/toml.h>

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "version/toml_reader.h"

namespace arbutus {

namespace {

// A key "a.a.a. ..." nests one table per dot, and destroying thousands of nested tables overflows
// the stack, which ends the program without a finding. The parser limits the nesting of brackets,
// but not of dotted keys. Real files nest less than ten levels.
constexpr std::size_t max_nesting = 64;

// Computes the nesting depth from brackets and dots of keys without building any tables. Exact for
// valid TOML; at invalid text the parser stops too, so that it never builds deeper tables.
class nesting_scanner {
 public:
  explicit nesting_scanner(std::string_view text) : text_(text) {}

  // The line where the limit is exceeded, if any.
  std::optional<std::uint32_t> run() {
    while (at_ < text_.size()) {
      step();
      if (depth() > max_nesting) {
        return line_;
      }
    }
    return std::nullopt;
  }

 private:
  std::size_t depth() const { return dots_.size() + total_dots_; }

  void step() {
    const char c = text_[at_];
    if (c == '"' || c == '\'') {
      skip_string(c);
      return;
    }
    if (c == '#') {
      at_ = std::min(text_.find('\n', at_), text_.size());
      return;
    }
    ++at_;
    if (c == '.') {
      ++dots_.back();
      ++total_dots_;
    } else if (c == '[' || c == '{') {
      dots_.push_back(0);
    } else if ((c == ']' || c == '}') && dots_.size() > 1) {
      reset_dots();
      dots_.pop_back();
    } else if (c == ',' || (c == '\n' && dots_.size() == 1)) {
      reset_dots();
    }
    line_ += c == '\n' ? 1 : 0;
  }

  void reset_dots() {
    total_dots_ -= dots_.back();
    dots_.back() = 0;
  }

  void skip_string(char quote) {
    const std::string three(3, quote);
    const bool multi_line = text_.substr(at_, 3) == three;
    at_ += multi_line ? 3 : 1;
    while (at_ < text_.size()) {
      const bool closed = multi_line ? text_.substr(at_, 3) == three : text_[at_] == quote;
      if (closed) {
        at_ += multi_line ? 3 : 1;
        return;
      }
      if (text_[at_] == '\n' && !multi_line) {
        return;
      }
      const bool escape = quote == '"' && text_[at_] == '\\';
      line_ += text_[at_] == '\n' ? 1 : 0;
      at_ += escape ? 2 : 1;
    }
  }

  std::string_view text_;
  std::size_t at_ = 0;
  std::uint32_t line_ = 1;
  // Number of '.' in the key being read, at top level (first) and in each open bracket.
  std::vector<std::size_t> dots_{0};
  std::size_t total_dots_ = 0;  // invariant: the sum of dots_
};

place to_place(const std::string& file, const toml::source_position& at) {
  return {file, static_cast<std::uint32_t>(at.line), static_cast<std::uint32_t>(at.column)};
}

toml_value convert(const toml::node& node, const std::string& file);

toml_table convert_table(const toml::table& source, const std::string& file) {
  toml_table result{to_place(file, source.source().begin), {}};
  result.fields.reserve(source.size());
  for (const auto& [key, value] : source) {
    result.fields.push_back(
        {std::string(key.str()), to_place(file, key.source().begin), convert(value, file)});
  }
  return result;
}

std::vector<toml_value> convert_array(const toml::array& source, const std::string& file) {
  std::vector<toml_value> result;
  result.reserve(source.size());
  for (const toml::node& item : source) {
    result.push_back(convert(item, file));
  }
  return result;
}

toml_value convert(const toml::node& node, const std::string& file) {
  toml_value result;
  result.at = to_place(file, node.source().begin);
  if (const auto* table = node.as_table()) {
    result.data = convert_table(*table, file);
  } else if (const auto* array = node.as_array()) {
    result.data = convert_array(*array, file);
  } else if (const auto* text = node.as_string()) {
    result.data = text->get();
  } else if (const auto* integer = node.as_integer()) {
    result.data = integer->get();
  } else if (const auto* real = node.as_floating_point()) {
    result.data = real->get();
  } else if (const auto* flag = node.as_boolean()) {
    result.data = flag->get();
  }
  return result;
}

}  // namespace

std::optional<toml_table> parse_toml(std::string_view text, const std::string& file_name,
                                     findings& problems) {
  if (const auto line = nesting_scanner(text).run()) {
    problems.push_back({severity::error,
                        {file_name, *line, 0},
                        "values or keys nest too deeply",
                        "at most " + std::to_string(max_nesting) + " levels"});
    return std::nullopt;
  }
  try {
    return convert_table(toml::parse(text, file_name), file_name);
  } catch (const toml::parse_error& e) {
    problems.push_back({severity::error, to_place(file_name, e.source().begin),
                        std::string(e.description()), "TOML"});
  } catch (const std::exception& e) {
    problems.push_back({severity::error, {file_name, 0, 0}, e.what(), "TOML"});
  }
  return std::nullopt;
}

std::optional<toml_table> parse_nonempty_toml(std::string_view text, const std::string& file_name,
                                              const std::string& what, const std::string& expected,
                                              findings& problems) {
  auto document = parse_toml(text, file_name, problems);
  if (document && document->fields.empty()) {
    problems.push_back({severity::error, {file_name, 0, 0}, what + " are empty", expected});
    return std::nullopt;
  }
  return document;
}

}  // namespace arbutus
