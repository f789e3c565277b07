// Encoding of keyed records in the table.
#include <nlohmann/json.hpp>

#include "base/hash.h"
#include "process/msgpack_bounds.h"
#include "request/keyed.h"

namespace arbutus {

namespace {

using nlohmann::json;

constexpr int record_format = 1;
constexpr std::size_t record_fields = 13;
constexpr std::size_t max_record_depth = 2;

}  // namespace

std::string encode(const keyed_record& r) {
  const json fields = {record_format,
                       r.owner.node.str(),
                       r.owner.incarnation,
                       r.owner.request.str(),
                       r.body_hash,
                       static_cast<int>(r.phase),
                       r.written_at.milliseconds,
                       r.owner_call_end_deadline.milliseconds,
                       r.expires.milliseconds,
                       r.status,
                       r.content_type,
                       json::binary({r.body.begin(), r.body.end()}),
                       r.body_dropped};
  std::string bytes;
  json::to_msgpack(fields, bytes);
  return bytes;
}

outcome<keyed_record> decode_keyed_record(std::string_view bytes) {
  if (!nesting_bounded(bytes, max_record_depth)) {
    return refused{"malformed: nesting"};
  }
  const json fields = json::from_msgpack(bytes.begin(), bytes.end(), true, false);
  if (!fields.is_array() || fields.size() != record_fields || fields[0] != record_format) {
    return refused{"not a record of this format"};
  }
  try {
    keyed_record r;
    r.owner.node = node_id(fields[1].get<std::string>());
    r.owner.incarnation = fields[2].get<std::uint64_t>();
    r.owner.request = request_id(fields[3].get<std::string>());
    r.body_hash = fields[4].get<std::string>();
    const int phase = fields[5].get<int>();
    if (phase < 0 || phase > static_cast<int>(record_phase::not_run)) {
      return refused{"unknown phase"};
    }
    r.phase = static_cast<record_phase>(phase);
    r.written_at.milliseconds = fields[6].get<std::int64_t>();
    r.owner_call_end_deadline.milliseconds = fields[7].get<std::int64_t>();
    r.expires.milliseconds = fields[8].get<std::int64_t>();
    r.status = fields[9].get<std::uint32_t>();
    r.content_type = fields[10].get<std::string>();
    const json::binary_t& body = fields[11].get_binary();
    r.body.assign(body.begin(), body.end());
    r.body_dropped = fields[12].get<bool>();
    return r;
  } catch (const json::exception& e) {
    return refused{e.what()};
  }
}

// Keys come from callers. Hashing bounds their length and removes unexpected characters; the
// length of the workspace name as a prefix keeps different pairs from giving the same text.
std::string keyed_table_key(const workspace_id& workspace, const idempotency_key& key) {
  const std::string size = std::to_string(workspace.str().size());
  return "keyed/" + content_hash(size + ":" + workspace.str() + ":" + key.str());
}

}  // namespace arbutus
