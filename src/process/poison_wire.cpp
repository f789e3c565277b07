// Encodes and decodes rows of the poison tracker as MessagePack.
#include "process/poison_wire.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "process/msgpack_bounds.h"

namespace arbutus {

namespace {

using nlohmann::json;

constexpr std::size_t max_row_depth = 4;
constexpr std::size_t max_name_bytes = 256;
constexpr std::size_t max_strikes_in_row = 64;
constexpr std::size_t kind_field = 6;
constexpr std::size_t request_hash_field = 3;  // of a strike
constexpr std::int64_t absent_age = -1;
// Limit on ages in a row, in milliseconds. Longer than any entry of the poison tracker is retained.
constexpr std::int64_t max_age_ms = 24LL * 3600 * 1000;

std::int64_t to_ms(duration d) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

duration decode_age(const json& from) {
  return std::chrono::milliseconds(
      std::clamp<std::int64_t>(from.get<std::int64_t>(), 0, max_age_ms));
}

std::optional<duration> decode_optional_age(const json& from) {
  return from.get<std::int64_t>() == absent_age ? std::nullopt : std::optional(decode_age(from));
}

std::string decode_name(const json& from) {
  auto name = from.get<std::string>();
  if (name.size() > max_name_bytes) {
    throw json::other_error::create(501, "a name is too long", &from);
  }
  return name;
}

poison_row decode_row(const json& from) {
  poison_row row;
  row.fingerprint = {workspace_id{decode_name(from.at(0))}, from.at(1).get<std::uint64_t>()};
  // Rows of earlier releases end before the kind, and are of requests.
  const bool is_block = from.size() > kind_field && from.at(kind_field).get<bool>();
  row.fingerprint.kind = is_block ? fingerprint_kind::prompt_block : fingerprint_kind::request;
  row.cleared_ago = decode_optional_age(from.at(2));
  row.quarantined_ago = decode_optional_age(from.at(3));
  row.stored = from.at(4).get<bool>();
  const json& strikes = from.at(5);
  for (std::size_t i = 0; i < std::min(strikes.size(), max_strikes_in_row); ++i) {
    const json& m = strikes.at(i);
    row.strikes.push_back(
        {target_id{decode_name(m.at(0))}, decode_age(m.at(1)), decode_age(m.at(2)),
         m.size() > request_hash_field ? m.at(request_hash_field).get<std::uint64_t>() : 0});
  }
  return row;
}

}  // namespace

std::string encode(const poison_row& row) {
  const bool is_block = row.fingerprint.kind == fingerprint_kind::prompt_block;
  json strikes = json::array();
  for (const poison_row::strike& m : row.strikes) {
    json strike = {m.target.str(), to_ms(m.sent_ago), to_ms(m.ended_ago)};
    if (is_block) {
      strike.push_back(m.request_hash);
    }
    strikes.push_back(std::move(strike));
  }
  json document = {row.fingerprint.workspace.str(),
                   row.fingerprint.hash,
                   row.cleared_ago ? to_ms(*row.cleared_ago) : absent_age,
                   row.quarantined_ago ? to_ms(*row.quarantined_ago) : absent_age,
                   row.stored,
                   std::move(strikes)};
  if (is_block) {
    document.push_back(true);
  }
  std::string bytes;
  json::to_msgpack(document, bytes);
  return bytes;
}

std::optional<poison_row> decode_poison_row(std::string_view bytes) {
  if (!nesting_bounded(bytes, max_row_depth)) {
    return std::nullopt;
  }
  try {
    return decode_row(json::from_msgpack(bytes));
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace arbutus
