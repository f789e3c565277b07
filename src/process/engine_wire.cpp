// Encodes reports of targets and orders to targets as JSON. The JSON keys are short, since every
// target is probed about once a second.
#include "process/engine_wire.h"

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace arbutus {

namespace {

using json = nlohmann::json;

// Decodes a message with a decoder that may throw on missing or mistyped fields. A malformed
// message is refused with the reason instead of ending the process.
template <class T, class Decode>
outcome<T> decode_guarded(std::string_view text, Decode decode) {
  try {
    return decode(json::parse(text));
  } catch (const std::exception& e) {
    return refused{std::string("malformed: ") + e.what()};
  }
}

generation decode_generation(const json& j) {
  const auto parsed = parse_generation(j.get<std::string>());
  if (!parsed) {
    throw std::invalid_argument("generation");
  }
  return *parsed;
}

// Decodes an integer that fits into T. The JSON library's own conversion accepts any number:
// converting -20.5 or 2^40 to 32 bits is undefined or truncates. A load that is wrongly read as 0
// would attract requests to a broken target.
template <class T>
T decode_integer(const json& j) {
  if (!j.is_number_integer()) {
    throw std::invalid_argument("expected a whole number");
  }
  const bool fits = j.is_number_unsigned() ? std::in_range<T>(j.get<std::uint64_t>())
                                           : std::in_range<T>(j.get<std::int64_t>());
  if (!fits) {
    throw std::out_of_range("the number does not fit");
  }
  return j.get<T>();
}

template <class Enum>
Enum decode_enum(const json& j, Enum last) {
  const auto value = decode_integer<unsigned>(j);
  if (value > static_cast<unsigned>(last)) {
    throw std::out_of_range("enumerator");
  }
  return static_cast<Enum>(value);
}

}  // namespace

std::string encode(const engine_report& r) {
  json j = {{"vm", r.vm.str()},       {"inc", r.incarnation},
            {"rep", r.replica.str()}, {"gen", to_string(r.fencing_generation)},
            {"ver", r.model_version}, {"st", static_cast<unsigned>(r.state)},
            {"run", r.running},       {"q", r.queued},
            {"slots", r.slots},       {"tps", r.tokens_per_second},
            {"kv", r.kv_used}};
  if (r.leaving) {
    j["leaving"] = true;
  }
  return j.dump();
}

outcome<engine_report> decode_report(std::string_view text) {
  return decode_guarded<engine_report>(text, [](const json& j) {
    engine_report r;
    r.vm = vm_id{j.at("vm").get<std::string>()};
    r.incarnation = decode_integer<std::uint64_t>(j.at("inc"));
    r.replica = replica_id{j.at("rep").get<std::string>()};
    r.fencing_generation = decode_generation(j.at("gen"));
    r.model_version = j.at("ver").get<std::string>();
    r.state = decode_enum(j.at("st"), engine_state::failed);
    r.running = decode_integer<std::uint32_t>(j.at("run"));
    r.queued = decode_integer<std::uint32_t>(j.at("q"));
    r.slots = decode_integer<std::uint32_t>(j.at("slots"));
    r.tokens_per_second = j.at("tps").get<double>();
    r.kv_used = j.at("kv").get<double>();
    r.leaving = j.value("leaving", false);
    return r;
  });
}

std::string encode(const order& o) {
  json members = json::array();
  for (const vm_id& vm : o.target.members) {
    members.push_back(vm.str());
  }
  return json{{"kind", static_cast<unsigned>(o.kind)},
              {"vm", o.vm.str()},
              {"rep", o.target.replica.str()},
              {"gen", to_string(o.target.fencing_generation)},
              {"members", members},
              {"model", o.model.str()},
              {"ver", o.model_version},
              {"inc", o.expected_incarnation},
              {"ttl_us", o.validity_period.count()}}
      .dump();
}

outcome<order> decode_order(std::string_view text) {
  return decode_guarded<order>(text, [](const json& j) {
    order o;
    o.kind = decode_enum(j.at("kind"), order_kind::drain);
    o.vm = vm_id{j.at("vm").get<std::string>()};
    o.target.replica = replica_id{j.at("rep").get<std::string>()};
    o.target.fencing_generation = decode_generation(j.at("gen"));
    for (const json& member : j.at("members")) {
      o.target.members.emplace_back(member.get<std::string>());
    }
    o.model = model_id{j.at("model").get<std::string>()};
    o.model_version = j.at("ver").get<std::string>();
    o.expected_incarnation = decode_integer<std::uint64_t>(j.at("inc"));
    o.validity_period = duration{decode_integer<std::int64_t>(j.at("ttl_us"))};
    return o;
  });
}

bool states_not_run(std::string_view error_body) {
  const json document = json::parse(error_body, nullptr, false);
  if (!document.is_object()) {
    return false;
  }
  const auto error = document.find("error");
  if (error == document.end() || !error->is_object()) {
    return false;
  }
  const auto type = error->find("type");
  return type != error->end() && *type == "not_run";
}

}  // namespace arbutus
