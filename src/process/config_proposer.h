// Proposes one configuration: writes it to the platform's table and object store, for the `apply`
// command and the admin endpoint.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "base/id.h"
#include "base/outcome.h"
#include "process/config_replica.h"
#include "version/configuration.h"

namespace arbutus {

// Steps of one configuration proposal. The caller (`apply` or the admin endpoint) executes the
// first three kinds and reports their results to the config_proposer. The others are outcomes of
// the proposal.
struct put_config_content {  // put this object into the object store
  std::string name;
  std::string content;
};
struct write_config_head {  // write the head row if it still has the version `expected_row_version`
  config_head head;
  std::uint64_t expected_row_version{};
};
struct read_config_head {};  // read the head row from the table
struct proposal_accepted {
  std::uint64_t version{};
};
// Another configuration was accepted in the meantime, or the base was not the current version.
struct proposal_conflict {
  std::optional<config_head> current;  // head of the accepted one; empty: there is none
};
// The proposal certainly did not take effect: nothing was written to the head row.
struct proposal_failed {
  std::string reason;
};
// It is not known whether the write of the head row took effect; call read_back() to find out.
struct proposal_unresolved {
  std::string reason;
};
using proposal_step =
    std::variant<put_config_content, write_config_head, read_config_head, proposal_accepted,
                 proposal_conflict, proposal_failed, proposal_unresolved>;

// Proposes one configuration. The configuration is never applied twice, whichever replies of the
// table or the object store are lost.
class config_proposer {
 public:
  // `base`: version that the operator's change is based on. `known`: newest version that this
  // process knows; a head below it is an old copy of the table, and the proposal ends in a
  // conflict. If `base_content` is not empty, a patch against it is stored in addition to the
  // content.
  config_proposer(proposal_id id, std::string content, std::uint64_t base, std::uint64_t known,
                  std::string base_content = {});

  [[nodiscard]] proposal_step start();
  [[nodiscard]] proposal_step put_result(const outcome<std::monostate>& result);
  [[nodiscard]] proposal_step read_result(const outcome<head_row>& result);
  [[nodiscard]] proposal_step write_result(const outcome<std::uint64_t>& row_version);
  // Continues after proposal_unresolved: reads the head row again.
  [[nodiscard]] proposal_step read_back();

 private:
  enum class phase { reading, storing_patch, storing, writing, resolving, done };

  [[nodiscard]] proposal_step evaluate_head(const head_row& row);
  [[nodiscard]] proposal_step evaluate_head_after_write(const head_row& row);
  [[nodiscard]] proposal_step try_write();
  [[nodiscard]] std::optional<std::uint64_t> own_version(const config_head& head) const;

  proposal_id id_;
  std::string content_;
  std::string hash_;
  std::uint64_t base_version_;
  std::uint64_t known_version_;
  std::string base_content_;
  phase phase_ = phase::reading;
  bool may_have_written_ = false;  // a write of the head row was sent and may have taken effect
  std::size_t write_attempts_{};
  head_row last_read_row_;  // as last read; the write is conditional on the version of this row
};

}  // namespace arbutus
