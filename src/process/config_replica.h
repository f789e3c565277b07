// Which configuration is in force on this node, and how it gets newer ones: from the head row in
// the table, the object store and its peers, whichever answers. Versions only rise, also when the
// platform comes back with an old copy of its table; then the head is healed.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/id.h"
#include "base/outcome.h"
#include "base/rng.h"
#include "base/units.h"
#include "process/control_timing.h"
#include "process/gossip.h"
#include "version/configuration.h"

namespace arbutus {

// A head as it stands in the table.
struct head_row {
  std::optional<config_head> head;  // empty: there is no row
  std::uint64_t row_version{};      // the table's; 0: there is no row
  auto operator<=>(const head_row&) const = default;
};

// ---- what the replica wants done ----

struct want_head {  // read the head row
  auto operator<=>(const want_head&) const = default;
};
struct want_object {  // get this object
  std::string name;
  auto operator<=>(const want_object&) const = default;
};
struct want_stored {  // put this object again: the object store has lost it
  std::string name;
  std::string content;
  auto operator<=>(const want_stored&) const = default;
};
struct want_healed {  // write the head, if the row still has the version
  config_head head;
  std::uint64_t expected_row{};
  auto operator<=>(const want_healed&) const = default;
};
struct want_sent {  // send to a peer
  node_id to;
  std::variant<config_request, config_content> message;
  auto operator<=>(const want_sent&) const = default;
};
struct want_told {  // a notice for people
  std::string text;
  auto operator<=>(const want_told&) const = default;
};
struct want_adopted {  // in_force() has changed: publish it and hurry the heartbeats
  std::uint64_t version{};
  auto operator<=>(const want_adopted&) const = default;
};
using config_want = std::variant<want_head, want_object, want_stored, want_healed, want_sent,
                                 want_told, want_adopted>;
using config_wants = std::vector<config_want>;

struct config_in_force {
  std::uint64_t version{};  // 0: none
  std::string hash;
  time_point since;
};

// Name of the object that turns the content `base` into `hash`; small where the whole is large.
[[nodiscard]] std::string patch_name(std::string_view hash, std::string_view base);
// What to replace in `base` to get `content`; the head is left to the caller.
[[nodiscard]] config_content make_patch(std::string_view base, std::string_view content);
// The content, if the patch fits `base` and the result has the hash of its head.
[[nodiscard]] std::optional<std::string> apply_patch(std::string_view base,
                                                     const config_content& patch);
// A patch as object.
[[nodiscard]] std::string encode_patch(const config_content& patch);
[[nodiscard]] outcome<config_content> decode_patch(std::string_view bytes);

class config_replica {
 public:
  config_replica(node_id self, std::uint64_t seed, control_timing timing = {});

  // `live`: as of membership, self included, in order of id. Also asks again where no answer came.
  [[nodiscard]] config_wants tick(const std::vector<node_id>& live, time_point now);
  // Result of want_head.
  [[nodiscard]] config_wants head_read(const outcome<head_row>& result, time_point now);
  // A heartbeat's or summary's claim.
  [[nodiscard]] config_wants peer_has(const node_id& peer, std::uint64_t version,
                                      std::string_view hash, time_point now);
  [[nodiscard]] config_wants peer_asks(const node_id& peer, const config_request& request);
  // Content from a peer; not believed unless its hash is right.
  [[nodiscard]] config_wants peer_sent(const node_id& peer, const config_content& content,
                                       time_point now);
  // Result of want_object.
  [[nodiscard]] config_wants object_read(std::string_view name, const outcome<std::string>& result,
                                         time_point now);
  // Result of want_stored.
  [[nodiscard]] config_wants stored(const outcome<std::monostate>& result, time_point now);
  // Result of want_healed; the head is read again whatever it is.
  [[nodiscard]] config_wants healed(const outcome<std::uint64_t>& row_version, time_point now);

  [[nodiscard]] const config_in_force& in_force() const { return in_force_; }
  [[nodiscard]] const config_head& head() const { return head_; }        // of what is in force
  [[nodiscard]] const std::string& content() const { return content_; }  // encode_content's
  [[nodiscard]] bool reads_head(const std::vector<node_id>& live) const;

 private:
  // What is newer than what is in force, and who may have it.
  struct candidate {
    config_head head;  // proposals may be empty when it is known from peers only
    bool from_table = false;
    bool tried_patch = false;
    bool tried_object = false;
    std::vector<node_id> holders;
    std::size_t next_holder{};
    std::optional<time_point> asked_at;
  };

  [[nodiscard]] bool beats(std::uint64_t version, std::string_view hash) const;
  void consider(const config_head& head, bool from_table, const node_id* holder);
  void fetch(config_wants& wants, time_point now);
  void adopt(const config_head& head, std::string content, config_wants& wants, time_point now);
  void heal(const head_row& row, config_wants& wants, time_point now);

  node_id self_;
  control_timing timing_;
  rng random_;
  config_in_force in_force_;
  config_head head_;
  std::string content_;
  std::optional<candidate> wanted_;
  std::optional<head_row> to_heal_;  // content is being stored before the head is written
  std::size_t rank_{};               // among the live, for reading and healing the head
  std::optional<time_point> next_read_;
  std::optional<time_point> read_started_;
};

// ---- proposing ----

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
  [[nodiscard]] bool mine(const config_head& head) const;

  proposal_id id_;
  std::string content_;
  std::string hash_;
  std::uint64_t base_;
  std::uint64_t known_;
  std::string base_content_;
  phase phase_ = phase::reading;
  bool wrote_ = false;  // a write may have taken effect
  std::optional<head_row> current_;
};

}  // namespace arbutus
