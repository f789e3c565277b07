// Cuts deltas to the newest configuration into parts (on the hub) and reassembles them (on nodes).
#include "process/config_transfer.h"

#include <algorithm>

#include "process/config_delta.h"

namespace arbutus {

void config_history::add(std::uint64_t version, std::string text) {
  if (version <= newest_version()) {
    return;
  }
  kept_.push_back({version, std::move(text)});
  if (kept_.size() > max_kept_versions) {
    kept_.pop_front();
  }
  deltas_.clear();
}

const std::string* config_history::find(std::uint64_t version) const {
  const auto found = std::ranges::find(kept_, version, &entry::version);
  return found == kept_.end() ? nullptr : &found->text;
}

const std::string& config_history::delta_for(std::uint64_t held_version) {
  const std::string* base = find(held_version);
  const std::uint64_t from = base == nullptr ? 0 : held_version;
  const auto [found, is_new] = deltas_.try_emplace(from);
  if (is_new) {
    found->second = make_config_delta(base == nullptr ? std::string_view{} : *base,
                                      kept_.empty() ? std::string_view{} : kept_.back().text);
  }
  return found->second;
}

std::optional<config_part> config_history::part_for(std::uint64_t held_version,
                                                    const config_progress& at,
                                                    std::size_t max_bytes) {
  if (held_version >= newest_version()) {
    return std::nullopt;
  }
  const std::string& delta = delta_for(held_version);
  const std::uint64_t base = find(held_version) == nullptr ? 0 : held_version;
  const bool resumes = at.version == newest_version() && at.base == base && at.bytes < delta.size();
  const std::uint64_t offset = resumes ? at.bytes : 0;
  return config_part{newest_version(), base, delta.size(), offset, delta.substr(offset, max_bytes)};
}

std::optional<std::string> config_receiver::receive(const config_part& part,
                                                    const config_history& held) {
  const std::string* base = held.find(part.base);
  if (part.version <= held.newest_version() || (part.base != 0 && base == nullptr)) {
    return std::nullopt;
  }
  if (part.offset == 0) {
    bytes_.clear();
    progress_ = {part.version, part.base, 0};
  }
  const bool in_order = progress_ == config_progress{part.version, part.base, part.offset};
  if (!in_order) {
    return std::nullopt;
  }
  bytes_ += part.bytes;
  progress_.bytes = bytes_.size();
  if (bytes_.size() < part.size) {
    return std::nullopt;
  }
  auto text = apply_config_delta(base == nullptr ? std::string_view{} : *base, bytes_);
  bytes_.clear();
  progress_ = {};
  return text;
}

}  // namespace arbutus
