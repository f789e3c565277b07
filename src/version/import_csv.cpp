// Parser for comma-separated values that records line and column of each field.
#include "version/import_csv.h"

#include <utility>

#include "version/field_text.h"

namespace arbutus {

namespace {

class splitter {
 public:
  splitter(std::string_view text, const std::string& file, findings& problems)
      : text_(text), file_(file), problems_(problems) {
    constexpr std::string_view byte_order_mark = "\xef\xbb\xbf";
    if (text_.starts_with(byte_order_mark)) {
      text_.remove_prefix(byte_order_mark.size());
    }
  }

  std::vector<csv_row> run() {
    std::vector<csv_row> rows;
    while (!at_end()) {
      if (text_[at_] == '#') {
        skip_line();
        continue;
      }
      csv_row row = read_row();
      const bool blank = row.size() == 1 && row.front().text.empty();
      if (!blank) {
        rows.push_back(std::move(row));
      }
    }
    return rows;
  }

 private:
  bool at_end() const { return at_ >= text_.size(); }
  bool at_line_end() const {
    return at_end() || text_[at_] == '\n' || text_.substr(at_, 2) == "\r\n";
  }
  place here() const { return {file_, line_, column_}; }

  void report(place where, std::string message, std::string expected) {
    if (problems_.size() < max_findings) {
      problems_.push_back(
          {severity::error, std::move(where), std::move(message), std::move(expected)});
    }
  }

  void next_line() {
    at_ += text_[at_] == '\r' ? 2 : 1;
    ++line_;
    column_ = 1;
  }

  void skip_line() {
    while (!at_line_end()) {
      ++at_;
    }
    if (!at_end()) {
      next_line();
    }
  }

  // Appends the current character to `to` and advances. Invalid UTF-8 and control characters are
  // reported once per line.
  void take(std::string& to) {
    const std::size_t valid = utf8_length(text_, at_);
    const auto byte = static_cast<unsigned char>(text_[at_]);
    const bool control = byte < 0x20 && byte != '\t' && byte != '\n' && byte != '\r';
    if ((valid == 0 || control) && reported_line_ != line_) {
      reported_line_ = line_;
      report(here(), valid == 0 ? "the byte is no UTF-8" : "control character",
             valid == 0 ? "text in UTF-8" : "printable text");
    }
    const std::size_t length = valid == 0 ? 1 : valid;
    to += text_.substr(at_, length);
    at_ += length;
    ++column_;
  }

  void skip_blanks() {
    while (!at_end() && (text_[at_] == ' ' || text_[at_] == '\t')) {
      ++at_;
      ++column_;
    }
  }

  csv_row read_row() {
    csv_row row;
    while (true) {
      row.push_back(read_field());
      if (at_end()) {
        return row;
      }
      if (at_line_end()) {
        next_line();
        return row;
      }
      ++at_;  // the comma
      ++column_;
    }
  }

  csv_field read_field() {
    skip_blanks();
    csv_field field{{}, here()};
    if (!at_end() && text_[at_] == '"') {
      read_quoted(field);
    } else {
      read_plain(field);
    }
    return field;
  }

  void read_plain(csv_field& field) {
    while (!at_line_end() && text_[at_] != ',') {
      take(field.text);
    }
    field.text.erase(field.text.find_last_not_of(" \t\r") + 1);
  }

  void read_quoted(csv_field& field) {
    ++at_;
    ++column_;
    while (!at_end() && !at_closing_quote()) {
      if (at_line_end()) {
        field.text += '\n';
        next_line();
        continue;
      }
      if (text_[at_] == '"') {  // a doubled quote stands for one quote
        ++at_;
        ++column_;
      }
      take(field.text);
    }
    if (at_end()) {
      report(field.at, "the quote is never closed", "a closing '\"'");
      return;
    }
    ++at_;
    ++column_;
    reject_trailing_text();
  }

  bool at_closing_quote() const {
    return text_[at_] == '"' && (at_ + 1 >= text_.size() || text_[at_ + 1] != '"');
  }

  void reject_trailing_text() {
    skip_blanks();
    const place where = here();
    std::string rest;
    while (!at_line_end() && text_[at_] != ',') {
      take(rest);
    }
    if (!rest.empty()) {
      report(where, "text " + quoted_for_message(rest) + " after the closing quote",
             "a comma or line end");
    }
  }

  std::string_view text_;
  const std::string& file_;
  findings& problems_;
  std::size_t at_ = 0;  // offset of the next byte to read
  std::uint32_t line_ = 1;
  std::uint32_t column_ = 1;
  std::uint32_t reported_line_ = 0;  // last line with a finding about an invalid character
};

}  // namespace

std::vector<csv_row> split_csv(std::string_view text, const std::string& file_name,
                               findings& problems) {
  return splitter(text, file_name, problems).run();
}

}  // namespace arbutus
