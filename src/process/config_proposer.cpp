// Steps of a configuration proposal: reads the head row, stores the content, writes the head row
// conditionally, and reads it back when the outcome of the write is unknown.
#include "process/config_proposer.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "process/config_patch.h"

namespace arbutus {

namespace {

// Number of accepted proposals that the configuration head lists. A proposer whose reply was lost
// finds its proposal in the head until this many others were accepted.
constexpr std::size_t max_named_proposals = 32;
// Limit of attempts to write the head row. A table that keeps failing the write although the row is
// unchanged is not expected to recover soon.
constexpr std::size_t max_write_attempts = 5;

template <class T>
std::string reason_of(const outcome<T>& result) {
  if (const auto* r = std::get_if<refused>(&result)) {
    return r->reason;
  }
  return std::get<unknown>(result).reason;
}

}  // namespace

config_proposer::config_proposer(proposal_id id, std::string content, std::uint64_t base,
                                 std::uint64_t known, std::string base_content)
    : id_(std::move(id)),
      content_(std::move(content)),
      hash_(content_hash(content_)),
      base_version_(base),
      known_version_(known),
      base_content_(std::move(base_content)) {}

proposal_step config_proposer::start() {
  phase_ = phase::reading;
  return read_config_head{};
}

proposal_step config_proposer::read_back() {
  phase_ = phase::resolving;
  return read_config_head{};
}

proposal_step config_proposer::read_result(const outcome<head_row>& result) {
  const auto* row = std::get_if<head_row>(&result);
  if (row == nullptr) {
    const std::string reason = "the head could not be read: " + reason_of(result);
    if (may_have_written_) {
      return proposal_unresolved{reason};
    }
    phase_ = phase::done;
    return proposal_failed{reason};
  }
  return evaluate_head(*row);
}

// The version under which the table accepted this proposal; empty if the head does not list it.
std::optional<std::uint64_t> config_proposer::own_version(const config_head& head) const {
  const auto found = std::ranges::find(head.proposals, id_);
  if (found == head.proposals.end()) {
    return std::nullopt;
  }
  return head.version - static_cast<std::uint64_t>(found - head.proposals.begin());
}

proposal_step config_proposer::evaluate_head(const head_row& row) {
  if (row.head) {
    if (const auto version = own_version(*row.head)) {
      phase_ = phase::done;
      return proposal_accepted{*version};
    }
  }
  if (may_have_written_) {
    return evaluate_head_after_write(row);
  }
  const std::uint64_t version = row.head ? row.head->version : 0;
  if (version != base_version_ || version < known_version_) {
    phase_ = phase::done;
    return proposal_conflict{row.head};
  }
  last_read_row_ = row;
  if (!base_content_.empty()) {
    phase_ = phase::storing_patch;
    const config_content patch = make_patch(base_content_, content_);
    return put_config_content{patch_object_name(hash_, patch.base_hash), encode_patch(patch)};
  }
  phase_ = phase::storing;
  return put_config_content{hash_, content_};
}

// A write of the head row that is still in flight can take effect only while the row's version is
// unchanged. If it is unchanged, the write is repeated with the same condition; otherwise the write
// can no longer take effect.
proposal_step config_proposer::evaluate_head_after_write(const head_row& row) {
  if (row.row_version == last_read_row_.row_version) {
    if (write_attempts_ < max_write_attempts) {
      return try_write();
    }
    return proposal_unresolved{"the table has confirmed no write after several attempts"};
  }
  const std::uint64_t version = row.head ? row.head->version : 0;
  if (version > base_version_ + max_named_proposals) {
    return proposal_unresolved{"more than " + std::to_string(max_named_proposals) +
                               " configurations were accepted since; compare the one in force"};
  }
  phase_ = phase::done;
  return proposal_conflict{row.head};
}

proposal_step config_proposer::put_result(const outcome<std::monostate>& result) {
  if (phase_ == phase::storing_patch) {
    // A failure to store the patch is ignored: the patch only saves traffic.
    phase_ = phase::storing;
    return put_config_content{hash_, content_};
  }
  if (!is_ok(result)) {
    phase_ = phase::done;
    return proposal_failed{"the content could not be stored: " + reason_of(result)};
  }
  return try_write();
}

proposal_step config_proposer::try_write() {
  phase_ = phase::writing;
  ++write_attempts_;
  write_config_head write;
  write.head.version = base_version_ + 1;
  write.head.hash = hash_;
  write.head.proposals.push_back(id_);
  if (last_read_row_.head) {
    const auto& before = last_read_row_.head->proposals;
    const std::size_t kept = std::min(before.size(), max_named_proposals - 1);
    write.head.proposals.insert(write.head.proposals.end(), before.begin(),
                                before.begin() + static_cast<std::ptrdiff_t>(kept));
  }
  write.expected_row_version = last_read_row_.row_version;
  return write;
}

proposal_step config_proposer::write_result(const outcome<std::uint64_t>& row_version) {
  if (is_ok(row_version)) {
    phase_ = phase::done;
    return proposal_accepted{base_version_ + 1};
  }
  // If the write was refused, another proposer changed the head row, or an earlier attempt of this
  // write did.
  may_have_written_ = true;
  phase_ = phase::resolving;
  return read_config_head{};
}

}  // namespace arbutus
