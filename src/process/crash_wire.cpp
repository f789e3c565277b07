// Encodes and decodes rows of the poison tracker as MessagePack.
#include "process/crash_wire.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "process/msgpack_bounds.h"

namespace arbutus {

namespace {

using nlohmann::json;

constexpr std::size_t row_depth = 4;
constexpr std::size_t max_name_bytes = 256;
constexpr std::size_t most_told_marks = 64;
constexpr std::int64_t absent = -1;
// Longer than any entry is retained.
constexpr std::int64_t longest_ago_ms = 24LL * 3600 * 1000;

std::int64_t to_ms(duration d) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

duration ago_of(const json& from) {
  return std::chrono::milliseconds(
      std::clamp<std::int64_t>(from.get<std::int64_t>(), 0, longest_ago_ms));
}

std::optional<duration> optional_ago_of(const json& from) {
  return from.get<std::int64_t>() == absent ? std::nullopt : std::optional(ago_of(from));
}

std::string decode_name(const json& from) {
  auto name = from.get<std::string>();
  if (name.size() > max_name_bytes) {
    throw json::other_error::create(501, "a name is too long", &from);
  }
  return name;
}

crash_row decode_row(const json& from) {
  crash_row row;
  row.print = {workspace_id{decode_name(from.at(0))}, from.at(1).get<std::uint64_t>()};
  row.acquitted_ago = optional_ago_of(from.at(2));
  row.convicted_ago = optional_ago_of(from.at(3));
  row.stored = from.at(4).get<bool>();
  const json& marks = from.at(5);
  for (std::size_t i = 0; i < std::min(marks.size(), most_told_marks); ++i) {
    const json& m = marks.at(i);
    row.marks.push_back({target_id{decode_name(m.at(0))}, ago_of(m.at(1)), ago_of(m.at(2))});
  }
  return row;
}

}  // namespace

std::string encode(const crash_row& row) {
  json marks = json::array();
  for (const crash_row::mark& m : row.marks) {
    marks.push_back({m.target.str(), to_ms(m.sent_ago), to_ms(m.ended_ago)});
  }
  const json document = {row.print.workspace.str(),
                         row.print.hash,
                         row.acquitted_ago ? to_ms(*row.acquitted_ago) : absent,
                         row.convicted_ago ? to_ms(*row.convicted_ago) : absent,
                         row.stored,
                         std::move(marks)};
  std::string bytes;
  json::to_msgpack(document, bytes);
  return bytes;
}

std::optional<crash_row> decode_crash_row(std::string_view bytes) {
  if (!nesting_bounded(bytes, row_depth)) {
    return std::nullopt;
  }
  try {
    return decode_row(json::from_msgpack(bytes));
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace arbutus
