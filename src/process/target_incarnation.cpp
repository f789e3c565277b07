// Digest of the incarnations of a replica's members.
#include "process/target_incarnation.h"

#include <array>
#include <cstdio>

namespace arbutus {

std::string incarnations_digest(std::span<const target_id> members) {
  std::uint64_t sum = 0;  // a sum does not depend on the order of members
  for (const target_id& member : members) {
    sum += stable_hash(member.str());
  }
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%08x", static_cast<std::uint32_t>(sum ^ (sum >> 32U)));
  return text.data();
}

}  // namespace arbutus
