// Encoding of the rows of nodes as [data centre, link endpoint, processor in permille of a core,
// link in Mbit/s, relay endpoint, first start in ms].
#include "process/node_row.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

#include "version/field_text.h"

namespace arbutus {

namespace {

using nlohmann::json;

enum position : std::size_t { data_centre, link, processor, link_mbps, relay, first_start };

const json* find(const json& document, position at) {
  return document.size() > at ? &document[at] : nullptr;
}

std::optional<std::string> text_at(const json& document, position at) {
  const json* value = find(document, at);
  return value != nullptr && value->is_string() ? std::optional(value->get<std::string>())
                                                : std::nullopt;
}

// Empty if there is no whole number or it does not fit.
template <class T>
std::optional<T> number_at(const json& document, position at) {
  const json* value = find(document, at);
  const bool fits = value != nullptr && value->is_number_unsigned() &&
                    std::in_range<T>(value->get<std::uint64_t>());
  return fits ? std::optional(value->get<T>()) : std::nullopt;
}

}  // namespace

std::string encode(const node_row& row) {
  const node_record& node = row.record;
  const json document = {node.data_centre.str(),
                         to_string(node.link),
                         node.strength.processor_permille,
                         node.strength.link_mbps,
                         node.relay.host.empty() ? std::string{} : to_string(node.relay),
                         row.first_start.count()};
  return document.dump();
}

std::optional<node_row> decode_node_row(const node_id& id, std::string_view text) {
  const json document = json::parse(text, nullptr, false);
  if (!document.is_array()) {
    return std::nullopt;
  }
  const auto centre = text_at(document, position::data_centre);
  const auto address = parse_endpoint(text_at(document, position::link).value_or(""));
  if (!centre || !address) {
    return std::nullopt;
  }
  node_row row;
  row.record.id = id;
  row.record.data_centre = data_centre_id{*centre};
  row.record.link = *address;
  const auto permille = number_at<std::uint32_t>(document, position::processor);
  const auto mbps = number_at<std::uint32_t>(document, position::link_mbps);
  if (permille && mbps) {
    row.record.strength = {*permille, *mbps};
  }
  row.record.relay =
      parse_endpoint(text_at(document, position::relay).value_or("")).value_or(endpoint{});
  row.first_start = std::chrono::milliseconds{
      number_at<std::int64_t>(document, position::first_start).value_or(0)};
  return row;
}

}  // namespace arbutus
