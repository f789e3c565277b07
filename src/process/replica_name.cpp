// Formats: "s.MODEL.HEAD" for a spare, "r.MODEL.ORIGIN.DIGEST.HEAD" for a replica that may be
// opened.
#include "process/replica_name.h"

#include "process/target_incarnation.h"

namespace arbutus {

namespace {

constexpr std::string_view spare_prefix = "s.";
constexpr std::string_view replica_prefix = "r.";
constexpr char separator = '.';
constexpr std::size_t model_part = 1;
constexpr std::size_t digest_part = 3;
constexpr std::size_t replica_parts = 5;

// The part of a replica name at `index`, counted from 0; empty if the name has fewer parts.
std::string_view part_of(std::string_view name, std::size_t index) {
  for (; index > 0; --index) {
    const auto next = name.find(separator);
    if (next == std::string_view::npos) {
      return {};
    }
    name.remove_prefix(next + 1);
  }
  return name.substr(0, name.find(separator));
}

}  // namespace

std::string spare_name(const model_id& model, const target_id& id) {
  return std::string(spare_prefix) + model.str() + separator + id.str();
}

std::string replica_name(const model_id& model, std::string_view origin,
                         std::span<const target_id> members) {
  return std::string(replica_prefix) + model.str() + separator + std::string(origin) + separator +
         incarnations_digest(members) + separator + members.front().str();
}

bool is_spare_name(std::string_view name) {
  return name.starts_with(spare_prefix);
}

target_id head_of(std::string_view name) {
  return target_id{name.substr(name.rfind(separator) + 1)};
}

model_id model_of_name(std::string_view name) {
  const bool has_head = !part_of(name, model_part + 1).empty();
  return has_head ? model_id{part_of(name, model_part)} : model_id{};
}

bool matches_incarnations(std::string_view name, std::span<const target_id> members) {
  const bool has_digest =
      name.starts_with(replica_prefix) && !part_of(name, replica_parts - 1).empty();
  return !has_digest || part_of(name, digest_part) == incarnations_digest(members);
}

}  // namespace arbutus
