// A node's view of the targets: an inventory updated from the platform's target list and from the
// targets' own reports.
//
// A plain value without I/O; each update gets the current time and an observation. A target_id
// names one incarnation of an engine (target_incarnation.h): engines restart under the same name,
// and addresses are reused by other engines.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/id.h"
#include "base/units.h"
#include "version/inventory.h"

namespace arbutus {

enum class member_state : std::uint8_t {
  joining,  // the engine prepares the model's weights
  ready,    // a head may be opened now; other members work for their head
  open,     // the head serves requests
  closing,  // the head finishes its requests and accepts no new ones
  broken,   // the head lost a member of its replica and stopped serving
};

[[nodiscard]] std::string_view to_string(member_state state);

// Identifies a replica; a higher epoch means a later composition.
struct replica_key {
  std::string name;
  std::uint64_t epoch{};
  auto operator<=>(const replica_key&) const = default;
};

struct membership {
  replica_key replica;
  std::uint32_t rank{};  // of the engine in the replica; 0: the head, which receives the requests
  member_state state = member_state::joining;
  auto operator<=>(const membership&) const = default;
};

// One incarnation of a target, as described by the target itself.
struct target_record {
  target_id id;
  service_id service;
  endpoint address;
  data_centre_id data_centre;
  std::uint32_t slots = 1;
  bool draining = false;   // stops soon; receives no new requests
  duration warmup_left{};  // as the target wrote it: how much longer it warms up
  fabric_domain_id domain;
  std::vector<model_id> staged;  // models whose weights are stored on the target's host
  model_id loaded;               // model that the target runs or ran last; empty: none
  std::optional<membership> member_of;
  bool operator==(const target_record&) const = default;
};

// A target's record and this node's own observations of it.
struct target_view {
  target_record record;
  time_point last_contact_at{};  // last change of the target's record, or its last answer
  time_point state_at{};         // the membership in `record` was true at this time or later
  // The replica in the target's last answer to a probe or an order, and the time of that answer.
  // Rows of the list do not change them: a row may be older than its arrival suggests.
  std::optional<replica_key> last_reported_replica;
  time_point reported_at{};
  bool ambiguous = false;       // the target's row and its answers differ, either may be newer
  std::uint64_t row_version{};  // of the target's newest row in the list
  bool listed = true;           // false: no longer in the list, kept because it may still run
  time_point unlisted_since{};
  time_point incarnation_seen_at{};  // when this incarnation of the target was first observed
  std::uint32_t failed_probes = 0;   // number of consecutive probes without an answer
  bool lost = false;                 // the target does not answer; it receives no requests
  time_point marked_lost_at{};
  // Since its last contact, connections to it were refused while it was listed and not draining:
  // its process has ended. A target that drains stops to listen while its last requests run.
  bool ended = false;
  double slowdown_factor = 1;  // above 1: the target is slower than expected
};

// How a probe of a target failed.
enum class unanswered_probe : std::uint8_t {
  silent,   // no answer in time; a sound target may be silent for about a second
  refused,  // nothing listens at its address, or another target does
};

// A target's answer to a probe.
struct target_answer {
  target_id incarnation;  // may differ from the target that was probed
  std::optional<membership> member_of;
  model_id loaded;
  double slowdown_factor = 1;
};

// When a second incarnation of an engine is observed, the first one has ended and never returns;
// late records and answers of it are ignored. Otherwise load, reports of its loss or order counts
// of one incarnation would be attributed to the other, and a replica with a restarted member would
// look complete.
class fleet_view {
 public:
  // Applies a record of the platform's list. `observed_at`: when the query was sent.
  // `written_after`: the record is known to have been written after this time; by default
  // `observed_at`, which is right for a list that is watched without a gap.
  // Returns false if the record was dropped, because its incarnation has ended or because a newer
  // row (by row_version) gives its address to another target.
  bool apply_record(time_point observed_at, target_record record, std::uint64_t row_version = 0,
                    std::optional<time_point> written_after = std::nullopt);
  void mark_unlisted(time_point now, const target_id& id);
  // The list has no usable record of this engine, for any incarnation.
  void mark_engine_unlisted(time_point now, std::string_view engine);
  struct listed_row {
    target_record record;
    std::uint64_t version{};
  };
  // Applies a complete list: targets that are not in it become unlisted. Rows whose version is
  // already known are skipped.
  void replace_all(time_point now, const std::vector<listed_row>& rows,
                   std::optional<time_point> written_after = std::nullopt);

  // Applies the list of a store that came back from an older copy. What is known of a target is
  // kept: its row may be older, a listed target that is not in the copy is about to be listed
  // again, and one that has left the list is about to leave it again. Adds what is unknown. A
  // target that is leaving, in the list or as known, is leaving.
  void merge_restored(time_point now, const std::vector<listed_row>& rows);

  // Applies a target's answer to a probe that was sent at `queried_at`. The answer describes the
  // state at `as_of`: reports lag behind, so newer state from the list or from an order is kept.
  // Returns false if another incarnation than `id` answered; if that one is newer, it replaces
  // `id`.
  bool apply_answer(time_point queried_at, time_point as_of, const target_id& id,
                    const target_answer& answer);
  // Removes a target that has ended, as another target answers at its address. Its row may stay in
  // the list until the row expires; a newer row of the target adds it again.
  void mark_ended(const target_id& id) { remove_target(id); }
  // The target has carried out an order of this node, and `member_of` is its membership since then.
  void apply_order(time_point now, const target_id& id, const std::optional<membership>& member_of);
  // A probe of the target failed. It is lost after `probes_until_lost` consecutive failures.
  void probe_failed(time_point now, const target_id& id,
                    unanswered_probe failure = unanswered_probe::silent);
  // A peer has an answer of the target: earlier failures were those of this node's path.
  void answered_a_peer(const target_id& id);

  // Takes back the losses of targets that probes have found since `from`, because it was this node
  // that could not reach them.
  void revoke_losses(time_point from);

  // Applies the hub's list of lost targets. The hub keeps probing lost targets, so all others are
  // reachable again, unless this node lost them so recently that the hub may not know yet.
  void apply_hub_losses(time_point now, const std::vector<target_id>& still_lost);

  // Sets a target's slowdown factor that another node has measured.
  void set_slowdown_factor(const target_id& id, double slowdown_factor);

  // Removes targets that have been unlisted for longer than `unlisted_retention`.
  void remove_expired(time_point now);

  [[nodiscard]] const std::map<target_id, target_view>& all() const { return targets_; }
  [[nodiscard]] const target_view* find(const target_id& id) const;
  // The current incarnation of the engine; empty: none is known.
  [[nodiscard]] target_id current_incarnation(std::string_view engine) const;
  // Increases with each change that may affect routing.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }

  // Consecutive failed probes after which a target counts as lost. Not 1, since a single probe can
  // fail because of a lost datagram or a busy link.
  static constexpr std::uint32_t probes_until_lost = 2;
  // Maximum time from a node's loss of a target until the hub reports that loss: the hub learns of
  // it within one heartbeat, probes twice and reports within another heartbeat.
  static constexpr duration hub_loss_report_delay = 1s;
  // How long unlisted targets are kept. Longer than a target runs on after it left the list: a
  // drain and its grace period, which take seconds.
  static constexpr duration unlisted_retention = 60s;
  // Ended incarnations stored per engine. An engine that restarts every few seconds reaches its
  // ninth incarnation only after 12 s, the longest observed delay of a record or an answer.
  static constexpr std::size_t max_ended_incarnations = 8;

 private:
  struct engine_incarnations {
    target_id current;
    std::vector<target_id> ended;  // newest last
  };

  // Makes `incarnation` the engine's current incarnation unless it has ended. Returns whether it is
  // the current one.
  bool accept_incarnation(time_point now, const target_id& incarnation);
  // Assigns the record's address to its target and removes the previous owner. Returns false if the
  // owner has a newer row.
  bool accept_address(const target_record& record, std::uint64_t row_version);
  void remove_target(const target_id& id);
  // Whether the record contradicts what is known of other targets: its engine has another
  // incarnation, or its address another owner.
  [[nodiscard]] bool contradicts_others(const target_record& record) const;
  static void apply_row_state(target_view& view, const target_record& record, time_point as_of);
  void replace_incarnation(time_point queried_at, time_point as_of, const target_id& id,
                           const target_answer& answer);

  std::map<target_id, target_view> targets_;
  std::map<std::string, engine_incarnations, std::less<>> incarnations_by_engine_;
  std::map<endpoint, target_id>
      address_owners_;  // of addresses, by the row with the highest version
  std::uint64_t revision_{1};
};

// A replica that can serve requests.
struct serving_replica {
  replica_key key;
  service_id service;
  model_id model;
  target_id head;
  endpoint address;
  data_centre_id data_centre;
  std::vector<target_id> members;
  // Of members, besides that of the head; rarely any.
  std::vector<data_centre_id> other_data_centres = {};
  bool crosses_domains = false;
  double slowdown_factor = 1;  // of the replica's slowest member, on top of the model's factor

  [[nodiscard]] model_key key_of_model() const { return {service, model}; }
};

// Whether serving_replicas() includes replicas with members that this node has marked as lost.
enum class lost_target_policy : std::uint8_t { exclude, include };

// Replicas whose head is open, listed and not draining, and whose other members are all present and
// neither lost nor draining.
//
// Members other than the head need not be listed. The list also drops engines that have only lost
// their connection to the list and still work; if it dropped a fifth of the engines simultaneously,
// hardly any replica of 16 would remain. Requests go only to the head, so an unlisted member
// receives none. If it does end, its replica stalls and is detected; until then the replica
// controller probes the member.
[[nodiscard]] std::vector<serving_replica> serving_replicas(
    const fleet_view& fleet, const service_id& service, const model_id& model, std::uint32_t size,
    lost_target_policy lost = lost_target_policy::exclude);

}  // namespace arbutus
