// Proposes one configuration to the table, for the `apply` command and the admin endpoint.
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

// Steps of one proposal: `apply` and the admin endpoint carry them out and feed back the results.
struct put_content {
  std::string name;
  std::string content;
};
struct write_head {
  config_head head;
  std::uint64_t expected_row{};
};
struct read_head {};
struct proposal_accepted {
  std::uint64_t version{};
};
// Another configuration was accepted meanwhile, or the base was not the current one.
struct proposal_conflict {
  std::optional<config_head> current;  // empty: there is none
};
// Not done, proven: nothing was written to the head.
struct proposal_failed {
  std::string reason;
};
// Not resolved yet: ask again with read_back(); nothing else may be concluded.
struct proposal_unresolved {
  std::string reason;
};
using proposal_step = std::variant<put_content, write_head, read_head, proposal_accepted,
                                   proposal_conflict, proposal_failed, proposal_unresolved>;

// Proposes one configuration; never applied twice, whatever replies are lost.
class config_proposer {
 public:
  // `base`: version on which the operator's change was made. `known`: newest version this process
  // knows; a head below it is an old copy, and nothing is built on it. `base_content` may be empty;
  // else a patch is stored beside the content.
  config_proposer(proposal_id id, std::string content, std::uint64_t base, std::uint64_t known,
                  std::string base_content = {});

  [[nodiscard]] proposal_step start();
  [[nodiscard]] proposal_step put_result(const outcome<std::monostate>& result);
  [[nodiscard]] proposal_step read_result(const outcome<head_row>& result);
  [[nodiscard]] proposal_step write_result(const outcome<std::uint64_t>& row_version);
  // After proposal_unresolved.
  [[nodiscard]] proposal_step read_back();

 private:
  enum class phase { reading, storing_patch, storing, writing, resolving, done };

  [[nodiscard]] proposal_step judge(const head_row& row);
  [[nodiscard]] proposal_step judge_after_write(const head_row& row);
  [[nodiscard]] proposal_step try_write();
  [[nodiscard]] std::optional<std::uint64_t> own_version(const config_head& head) const;

  proposal_id id_;
  std::string content_;
  std::string hash_;
  std::uint64_t base_;
  std::uint64_t known_;
  std::string base_content_;
  phase phase_ = phase::reading;
  bool wrote_ = false;  // a write may have taken effect
  std::size_t writes_{};
  head_row current_;  // on which the write builds
};

}  // namespace arbutus
