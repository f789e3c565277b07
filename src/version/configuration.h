// A configuration version: inventory and rules together, as accepted from the operators.
#pragma once

#include <cstdint>
#include <string>

#include "base/finding.h"
#include "base/id.h"
#include "base/outcome.h"
#include "version/inventory.h"
#include "version/rules.h"

namespace arbutus {

// Points to the accepted configuration; stored in one row of the platform's table. Versions only
// increase.
struct config_head {
  std::uint64_t version{};
  std::string hash;  // content_hash of the encoded content, its name in the object store
  // Ids of the last accepted proposals, newest first, including the one that wrote this head: a
  // proposer whose reply was lost finds its proposal here even if later ones were accepted.
  std::vector<proposal_id> proposals;
  auto operator<=>(const config_head&) const = default;
};

struct configuration {
  std::uint64_t version{};
  inventory assets;
  rules desired;
};

// Encodes inventory and rules as stored in the object store; the result does not depend on the
// version number. decode(encode(c)) == c.
[[nodiscard]] std::string encode_content(const inventory& assets, const rules& desired);
[[nodiscard]] outcome<configuration> decode_content(std::string_view content,
                                                    std::uint64_t version);

[[nodiscard]] std::string encode(const config_head& head);
[[nodiscard]] outcome<config_head> decode_head(std::string_view text);

}  // namespace arbutus
