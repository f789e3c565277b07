// The assignment row as MessagePack, with arrays instead of maps: every node reads the row, and at
// sixteen VMs per replica the keys would take more space than the names.
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "version/assignment.h"

namespace arbutus {

namespace {

using json = nlohmann::json;

// Format number, the first element of the encoded row. A reader refuses an unknown format.
constexpr std::uint64_t row_format = 1;

json pack(const std::vector<vm_id>& vms) {
  json list = json::array();
  for (const vm_id& vm : vms) {
    list.push_back(vm.str());
  }
  return list;
}

json pack(const replica_plan& r) {
  return json::array({r.id.str(), r.model.str(), r.model_version, static_cast<unsigned>(r.phase),
                      r.crosses_fabric_domains, pack(r.members), pack(r.standbys),
                      r.fencing_generation.row, r.fencing_generation.step,
                      r.fencing_generation.lost});
}

json pack(const withdrawal& w) {
  return json::array({w.vm.str(), w.from.str(), w.since});
}

// Checks for a list of exactly `size` elements. A longer one is refused, too: no encoder writes it.
const json& list_of(const json& j, std::size_t size) {
  if (!j.is_array() || j.size() != size) {
    throw std::invalid_argument("list of wrong length");
  }
  return j;
}

const json& list(const json& j) {
  if (!j.is_array()) {
    throw std::invalid_argument("not a list");
  }
  return j;
}

// nlohmann converts between number types silently: numbers in a damaged row would lose digits or
// change sign, and orders would carry a wrong fencing token. Accepts only whole numbers in range.
template <class Number>
Number unsigned_number(const json& j) {
  if (!j.is_number_unsigned()) {
    throw std::invalid_argument("not a whole number");
  }
  const auto value = j.get<std::uint64_t>();
  if (value > std::numeric_limits<Number>::max()) {
    throw std::out_of_range("number too large");
  }
  return static_cast<Number>(value);
}

template <class Id>
Id name(const json& j) {
  return Id{j.get<std::string>()};
}

std::vector<vm_id> unpack_vms(const json& j) {
  std::vector<vm_id> vms;
  for (const json& vm : list(j)) {
    vms.push_back(name<vm_id>(vm));
  }
  return vms;
}

replica_phase unpack_phase(const json& j) {
  switch (unsigned_number<unsigned>(j)) {
    case static_cast<unsigned>(replica_phase::active):
      return replica_phase::active;
    case static_cast<unsigned>(replica_phase::draining):
      return replica_phase::draining;
    default:
      throw std::out_of_range("phase");
  }
}

replica_plan unpack_replica(const json& j) {
  list_of(j, 10);
  replica_plan r;
  r.id = name<replica_id>(j[0]);
  r.model = name<model_id>(j[1]);
  r.model_version = j[2].get<std::string>();
  r.phase = unpack_phase(j[3]);
  r.crosses_fabric_domains = j[4].get<bool>();
  r.members = unpack_vms(j[5]);
  r.standbys = unpack_vms(j[6]);
  r.fencing_generation = {unsigned_number<std::uint64_t>(j[7]),
                          unsigned_number<std::uint32_t>(j[8]),
                          unsigned_number<lost_vm_mask>(j[9])};
  return r;
}

withdrawal unpack_withdrawal(const json& j) {
  list_of(j, 3);
  return {name<vm_id>(j[0]), name<replica_id>(j[1]), unsigned_number<std::uint64_t>(j[2])};
}

assignment unpack(const json& j) {
  list_of(j, 7);
  if (unsigned_number<std::uint64_t>(j[0]) != row_format) {
    throw std::invalid_argument("unknown row format");
  }
  assignment a;
  a.data_centre = name<data_centre_id>(j[1]);
  a.version = unsigned_number<std::uint64_t>(j[2]);
  a.config_version = unsigned_number<std::uint64_t>(j[3]);
  a.proposal = name<proposal_id>(j[4]);
  for (const json& replica : list(j[5])) {
    a.replicas.push_back(unpack_replica(replica));
  }
  for (const json& taken : list(j[6])) {
    a.withdrawals.push_back(unpack_withdrawal(taken));
  }
  return a;
}

// Checks the nesting depth only. The library's parser recurses once per level: a few kilobytes of
// damaged bytes that each open a list would overflow the stack and crash the process, which no
// exception handler can prevent.
class depth_check : public json::json_sax_t {
 public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool start_object(std::size_t) override { return false; }  // the row has none
  bool key(string_t&) override { return false; }
  bool end_object() override { return false; }
  bool start_array(std::size_t) override { return ++depth_ <= max_depth; }
  bool end_array() override {
    --depth_;
    return true;
  }
  bool parse_error(std::size_t, const std::string&, const json::exception&) override {
    return false;
  }

 private:
  static constexpr int max_depth = 4;  // row, replicas, replica, members
  int depth_ = 0;
};

json parse(std::string_view bytes) {
  depth_check check;
  if (!json::sax_parse(bytes.begin(), bytes.end(), &check, json::input_format_t::msgpack)) {
    throw std::invalid_argument("not a row");
  }
  return json::from_msgpack(bytes.begin(), bytes.end());
}

}  // namespace

std::string encode(const assignment& a) {
  json replicas = json::array();
  for (const replica_plan& replica : a.replicas) {
    replicas.push_back(pack(replica));
  }
  json withdrawals = json::array();
  for (const withdrawal& taken : a.withdrawals) {
    withdrawals.push_back(pack(taken));
  }
  const json row = json::array({row_format, a.data_centre.str(), a.version, a.config_version,
                                a.proposal.str(), replicas, withdrawals});
  std::string bytes;
  json::to_msgpack(row, bytes);
  return bytes;
}

outcome<assignment> decode_assignment(std::string_view bytes) {
  try {
    assignment a = unpack(parse(bytes));
    // A well-formed row may still list one VM in two replicas; such a row must not be applied.
    const findings violations = check_invariants(a);
    if (!violations.empty()) {
      return refused{"assignment row: " + violations.front().message};
    }
    return a;
  } catch (const std::exception& e) {
    return refused{std::string("assignment row: ") + e.what()};
  }
}

}  // namespace arbutus
