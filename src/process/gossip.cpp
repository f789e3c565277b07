// Messages are MessagePack arrays; the first element is the kind. Empty lists at the end of a
// heartbeat are omitted. A receiver ignores unknown elements, so that new ones can be appended.
#include "process/gossip.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "process/msgpack_bounds.h"

namespace arbutus {

namespace {

using json = nlohmann::json;

enum class kind : std::uint8_t {
  heartbeat,
  config_request,
  config_content,
  assignment_push,
  lost_notice,
  leaving_notice,
  summary,
};

// Resolution of times on the wire: an age of up to a second takes one byte, a hold time two.
constexpr duration age_step = 8ms;
constexpr duration hold_time_step = 4ms;
// Maximum message size in bytes. Exceeds the largest configuration content; an inventory of the
// planned size has some 100 KB.
constexpr std::size_t max_message = std::size_t{16} << 20;
// The deepest nesting is message, list, composition, members (4); one level in reserve.
constexpr std::size_t max_depth = 5;

constexpr unsigned table_flag = 1;
constexpr unsigned draining_flag = 2;
constexpr unsigned informed_flag = 4;

// ---- scalar values ----

json to_binary(std::string_view bytes) {
  return json::binary({bytes.begin(), bytes.end()});
}

std::string from_binary(const json& j) {
  const auto& bytes = j.get_binary();
  return {bytes.begin(), bytes.end()};
}

std::uint64_t read_unsigned(const json& j) {
  if (!j.is_number_unsigned()) {
    throw std::invalid_argument("not an unsigned number");
  }
  return j.get<std::uint64_t>();
}

template <class T>
T read_unsigned_as(const json& j) {
  const std::uint64_t value = read_unsigned(j);
  if (value > std::numeric_limits<T>::max()) {
    throw std::out_of_range("number");
  }
  return static_cast<T>(value);
}

// An age in wire units. Rounded up: an observation may appear older, but never newer.
std::uint64_t age_steps(duration age) {
  const auto rounded = std::max(age, duration::zero()) + age_step - duration{1};
  return static_cast<std::uint64_t>(rounded / age_step);
}

// A hold time of an echo in wire units. Rounded down: a message may appear older, but never newer.
std::uint64_t hold_time_steps(duration held) {
  return static_cast<std::uint64_t>(std::max(held, duration::zero()) / hold_time_step);
}

// Decodes a duration that is encoded as a number of steps. A duration of more than a day is
// rejected as damaged; it would overflow in later arithmetic.
duration steps(const json& j, duration step) {
  constexpr std::uint64_t day = 86'400'000;
  const std::uint64_t count = read_unsigned(j);
  if (count > day) {
    throw std::out_of_range("time");
  }
  return step * static_cast<duration::rep>(count);
}

std::uint64_t hundredths(double value) {
  return static_cast<std::uint64_t>(std::llround(std::clamp(value, 0.0, 1e9) * 100.0));
}

void append(json& list, const message_stamp& s) {
  list.push_back(s.incarnation);
  list.push_back(s.sequence);
  list.push_back(s.echo_of);
  list.push_back(hold_time_steps(s.echo_hold_time));
  list.push_back(s.echo_tag);
}
constexpr std::size_t stamp_size = 5;

message_stamp decode_stamp_at(const json& list, std::size_t at) {
  message_stamp s;
  s.incarnation = read_unsigned(list.at(at));
  s.sequence = read_unsigned(list.at(at + 1));
  s.echo_of = read_unsigned(list.at(at + 2));
  s.echo_hold_time = steps(list.at(at + 3), hold_time_step);
  s.echo_tag = read_unsigned_as<std::uint32_t>(list.at(at + 4));
  return s;
}

// ---- parts of a heartbeat ----

json encode_generation(const generation& g) {
  return {g.row, g.step, g.lost};
}

generation decode_generation(const json& j) {
  return {read_unsigned(j.at(0)), read_unsigned_as<std::uint32_t>(j.at(1)),
          read_unsigned_as<lost_vm_mask>(j.at(2))};
}

json encode_full(const observation_delta& d) {
  const engine_report& r = *d.report;
  const target_load load = quantise_load(r);
  return {d.slot,
          age_steps(d.age),
          r.vm.str(),
          r.incarnation,
          r.replica.str(),
          encode_generation(r.fencing_generation),
          r.model_version,
          static_cast<unsigned>(r.state),
          r.leaving ? 1U : 0U,
          r.slots,
          load.running,
          load.queued,
          load.kv_percent,
          load.tokens_code};
}

target_load decode_load_at(const json& list, std::size_t at) {
  return {read_unsigned_as<std::uint8_t>(list.at(at)),
          read_unsigned_as<std::uint8_t>(list.at(at + 1)),
          read_unsigned_as<std::uint8_t>(list.at(at + 2)),
          read_unsigned_as<std::uint8_t>(list.at(at + 3))};
}

observation_delta decode_full(const json& j) {
  observation_delta d;
  d.slot = read_unsigned_as<std::uint32_t>(j.at(0));
  d.age = steps(j.at(1), age_step);
  engine_report r;
  r.vm = vm_id{j.at(2).get<std::string>()};
  r.incarnation = read_unsigned(j.at(3));
  r.replica = replica_id{j.at(4).get<std::string>()};
  r.fencing_generation = decode_generation(j.at(5));
  r.model_version = j.at(6).get<std::string>();
  const std::uint64_t state = read_unsigned(j.at(7));
  if (state > static_cast<unsigned>(engine_state::failed)) {
    throw std::out_of_range("engine state");
  }
  r.state = static_cast<engine_state>(state);
  r.leaving = read_unsigned(j.at(8)) != 0;
  r.slots = read_unsigned_as<std::uint32_t>(j.at(9));
  apply(decode_load_at(j, 10), r);
  d.report = std::move(r);
  return d;
}

// Encodes observations in a short form, as flat lists without nesting: slot and age for `same`;
// slot, age and the four bytes of the load for `loads`.
void encode_short(const std::vector<observation_delta>& deltas, json& same, json& loads) {
  for (const observation_delta& d : deltas) {
    if (d.report) {
      continue;
    }
    json& list = d.load ? loads : same;
    list.push_back(d.slot);
    list.push_back(age_steps(d.age));
    if (d.load) {
      list.push_back(d.load->running);
      list.push_back(d.load->queued);
      list.push_back(d.load->kv_percent);
      list.push_back(d.load->tokens_code);
    }
  }
}

void decode_same(const json& list, std::vector<observation_delta>& out) {
  for (std::size_t i = 0; i < list.size(); i += 2) {
    observation_delta d;
    d.slot = read_unsigned_as<std::uint32_t>(list.at(i));
    d.age = steps(list.at(i + 1), age_step);
    out.push_back(std::move(d));
  }
}

void decode_loads(const json& list, std::vector<observation_delta>& out) {
  for (std::size_t i = 0; i < list.size(); i += 6) {
    observation_delta d;
    d.slot = read_unsigned_as<std::uint32_t>(list.at(i));
    d.age = steps(list.at(i + 1), age_step);
    d.load = decode_load_at(list, i + 2);
    out.push_back(std::move(d));
  }
}

json encode_failure(const probe_failure& f) {
  return {f.vm.str(), age_steps(f.age), f.incarnation, f.count};
}

probe_failure decode_failure(const json& j) {
  return {vm_id{j.at(0).get<std::string>()}, steps(j.at(1), age_step), read_unsigned(j.at(2)),
          read_unsigned_as<std::uint32_t>(j.at(3))};
}

json encode_composition(const composition& c) {
  json members = json::array();
  for (const vm_id& vm : c.members) {
    members.push_back(vm.str());
  }
  return {c.replica.str(), encode_generation(c.fencing_generation), members};
}

composition decode_composition(const json& j) {
  composition c;
  c.replica = replica_id{j.at(0).get<std::string>()};
  c.fencing_generation = decode_generation(j.at(1));
  for (const json& member : j.at(2)) {
    c.members.emplace_back(member.get<std::string>());
  }
  return c;
}

json encode_model(const model_summary& m) {
  const auto delay = std::chrono::duration_cast<std::chrono::milliseconds>(m.queueing_delay);
  return {m.model.str(), m.free_slots, static_cast<std::uint64_t>(std::max(delay.count(), 0L))};
}

model_summary decode_model(const json& j) {
  return {model_id{j.at(0).get<std::string>()}, read_unsigned_as<std::uint32_t>(j.at(1)),
          steps(j.at(2), 1ms)};
}

template <class List, class Encode>
json encode_list(const List& list, Encode encode_one) {
  json out = json::array();
  for (const auto& item : list) {
    out.push_back(encode_one(item));
  }
  return out;
}

// The elements of the list at index `at` of `from`; none when the sender omitted the list.
template <class T, class Decode>
std::vector<T> decode_list(const json& from, std::size_t at, Decode decode_one) {
  std::vector<T> out;
  if (at < from.size()) {
    for (const json& item : from.at(at)) {
      out.push_back(decode_one(item));
    }
  }
  return out;
}

// ---- messages ----

json start(kind k) {
  return json::array({static_cast<unsigned>(k)});
}

// Indices in the array of a heartbeat.
constexpr std::size_t first = 1 + stamp_size;
enum heartbeat_field : std::size_t {
  config_version_field = first,
  assignment_version_field,
  flags_field,
  same_field,
  loads_field,
  fulls_field,
  hash_field,
  failures_field,
  unresponsive_field,
  activations_field,
  usage_field,
  in_use_field,
};

unsigned flags_of(const heartbeat& h) {
  return (h.table_reachable ? table_flag : 0U) | (h.draining ? draining_flag : 0U) |
         (h.informed ? informed_flag : 0U);
}

json to_json(const heartbeat& h) {
  json j = start(kind::heartbeat);
  append(j, h.stamp);
  j.push_back(h.config_version);
  j.push_back(h.assignment_version);
  j.push_back(flags_of(h));
  json same = json::array();
  json loads = json::array();
  encode_short(h.observations, same, loads);
  json fulls = json::array();
  for (const observation_delta& d : h.observations) {
    if (d.report) {
      fulls.push_back(encode_full(d));
    }
  }
  j.push_back(std::move(same));
  j.push_back(std::move(loads));
  j.push_back(std::move(fulls));
  j.push_back(h.config_hash);
  j.push_back(encode_list(h.failures, encode_failure));
  j.push_back(encode_list(h.unresponsive, [](const node_id& n) { return json(n.str()); }));
  j.push_back(encode_list(h.activations, encode_composition));
  j.push_back(encode_list(h.usage, [](const workspace_usage& u) {
    return json{u.workspace.str(), hundredths(u.requests_per_second)};
  }));
  j.push_back(
      encode_list(h.draining_replicas_in_use, [](const replica_id& r) { return json(r.str()); }));
  const auto empty = [](const json& part) {
    return part.is_string() ? part.get_ref<const std::string&>().empty()
                            : part.is_array() && part.empty();
  };
  while (empty(j.back())) {
    j.erase(j.size() - 1);
  }
  return j;
}

heartbeat heartbeat_from(const json& j, const node_id& from) {
  heartbeat h;
  h.from = from;
  h.stamp = decode_stamp_at(j, 1);
  h.config_version = read_unsigned(j.at(config_version_field));
  h.assignment_version = read_unsigned(j.at(assignment_version_field));
  const std::uint64_t flags = read_unsigned(j.at(flags_field));
  h.table_reachable = (flags & table_flag) != 0;
  h.draining = (flags & draining_flag) != 0;
  h.informed = (flags & informed_flag) != 0;
  h.observations = decode_list<observation_delta>(j, fulls_field, decode_full);
  if (j.size() > same_field) {
    decode_same(j.at(same_field), h.observations);
  }
  if (j.size() > loads_field) {
    decode_loads(j.at(loads_field), h.observations);
  }
  if (j.size() > hash_field) {
    h.config_hash = j.at(hash_field).get<std::string>();
  }
  h.failures = decode_list<probe_failure>(j, failures_field, decode_failure);
  h.unresponsive = decode_list<node_id>(
      j, unresponsive_field, [](const json& n) { return node_id{n.get<std::string>()}; });
  h.activations = decode_list<composition>(j, activations_field, decode_composition);
  h.usage = decode_list<workspace_usage>(j, usage_field, [](const json& u) {
    return workspace_usage{workspace_id{u.at(0).get<std::string>()},
                           static_cast<double>(read_unsigned(u.at(1))) / 100.0};
  });
  h.draining_replicas_in_use = decode_list<replica_id>(
      j, in_use_field, [](const json& r) { return replica_id{r.get<std::string>()}; });
  return h;
}

json to_json(const config_request& r) {
  json j = start(kind::config_request);
  j.push_back(r.hash);
  j.push_back(r.requester_hash);
  return j;
}

config_request config_request_from(const json& j) {
  return {j.at(1).get<std::string>(), j.at(2).get<std::string>()};
}

json to_json(const config_content& c) {
  json j = start(kind::config_content);
  j.push_back(c.head.version);
  j.push_back(c.head.hash);
  j.push_back(encode_list(c.head.proposals, [](const proposal_id& p) { return json(p.str()); }));
  j.push_back(c.base_hash);
  j.push_back(c.prefix_bytes);
  j.push_back(c.suffix_bytes);
  j.push_back(to_binary(c.middle));
  return j;
}

config_content config_content_from(const json& j) {
  config_content c;
  c.head.version = read_unsigned(j.at(1));
  c.head.hash = j.at(2).get<std::string>();
  c.head.proposals = decode_list<proposal_id>(
      j, 3, [](const json& p) { return proposal_id{p.get<std::string>()}; });
  c.base_hash = j.at(4).get<std::string>();
  c.prefix_bytes = read_unsigned(j.at(5));
  c.suffix_bytes = read_unsigned(j.at(6));
  c.middle = from_binary(j.at(7));
  return c;
}

json to_json(const assignment_push& p) {
  json j = start(kind::assignment_push);
  j.push_back(to_binary(p.bytes));
  return j;
}

json to_json(const lost_notice& n) {
  json j = start(kind::lost_notice);
  append(j, n.stamp);
  j.push_back(encode_failure(n.failure));
  return j;
}

lost_notice lost_notice_from(const json& j) {
  return {decode_stamp_at(j, 1), decode_failure(j.at(first))};
}

json to_json(const leaving_notice& n) {
  json j = start(kind::leaving_notice);
  j.push_back(n.vm.str());
  j.push_back(n.incarnation);
  return j;
}

leaving_notice leaving_notice_from(const json& j) {
  return {vm_id{j.at(1).get<std::string>()}, read_unsigned(j.at(2))};
}

json to_json(const summary& s) {
  json j = start(kind::summary);
  append(j, s.stamp);
  j.push_back(s.data_centre.str());
  j.push_back(s.config_version);
  j.push_back(s.config_hash);
  j.push_back(encode_list(s.models, encode_model));
  return j;
}

summary summary_from(const json& j) {
  summary s;
  s.stamp = decode_stamp_at(j, 1);
  s.data_centre = data_centre_id{j.at(first).get<std::string>()};
  s.config_version = read_unsigned(j.at(first + 1));
  s.config_hash = j.at(first + 2).get<std::string>();
  s.models = decode_list<model_summary>(j, first + 3, decode_model);
  return s;
}

gossip_message message_from(const json& j, const node_id& from) {
  const auto k = static_cast<kind>(read_unsigned_as<std::uint8_t>(j.at(0)));
  switch (k) {
    case kind::heartbeat:
      return heartbeat_from(j, from);
    case kind::config_request:
      return config_request_from(j);
    case kind::config_content:
      return config_content_from(j);
    case kind::assignment_push:
      return assignment_push{from_binary(j.at(1))};
    case kind::lost_notice:
      return lost_notice_from(j);
    case kind::leaving_notice:
      return leaving_notice_from(j);
    case kind::summary:
      return summary_from(j);
  }
  throw std::out_of_range("kind");
}

}  // namespace

std::string encode(const gossip_message& message) {
  const json j = std::visit([](const auto& m) { return to_json(m); }, message);
  std::string bytes;
  json::to_msgpack(j, bytes);
  return bytes;
}

outcome<gossip_message> decode_gossip(const node_id& from, std::string_view bytes) {
  if (bytes.size() > max_message || !nesting_bounded(bytes, max_depth)) {
    return refused{"malformed: size or nesting"};
  }
  try {
    return message_from(json::from_msgpack(bytes), from);
  } catch (const std::exception& e) {
    return refused{std::string("malformed: ") + e.what()};
  }
}

}  // namespace arbutus
