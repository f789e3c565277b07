// What a node knows of the targets: a live inventory, fed by the platform's list of targets and by
// the targets' own reports.
//
// A value: fed with (now, observation). A target_id names one incarnation of an engine
// (target_life.h); engines start again under their name, and addresses are given to others.
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
  joining,  // gets the model's weights ready
  ready,    // a member that may be opened (the head), or that works for its head
  open,     // the head serves
  closing,  // the head finishes what it has
  broken,   // the head lost a member and gave up
};

[[nodiscard]] std::string_view to_string(member_state state);

// A replica is known by its name and epoch; a greater epoch is a later composition.
struct replica_key {
  std::string name;
  std::uint64_t epoch{};
  auto operator<=>(const replica_key&) const = default;
};

struct membership {
  replica_key replica;
  std::uint32_t rank{};  // 0: the head, which gets the requests
  member_state state = member_state::joining;
  auto operator<=>(const membership&) const = default;
};

// One incarnation of a target, as it tells of itself.
struct target_record {
  target_id id;
  service_id service;
  endpoint address;
  data_centre_id data_centre;
  std::uint32_t slots = 1;
  bool draining = false;  // leaves soon; gets nothing new
  fabric_domain_id domain;
  std::vector<model_id> staged;  // weights on its host
  model_id loaded;               // the model it runs or last ran; empty: none
  std::optional<membership> member_of;
  bool operator==(const target_record&) const = default;
};

// What is known of a target beside its own words.
struct target_view {
  target_record record;
  time_point heard_at{};  // its record last changed or it answered
  time_point state_at{};  // what it says of its replica was so at this time or later
  // Of the newest answer of its own, to a question or an order; a row may be older than it looks.
  std::optional<replica_key> told_replica;
  time_point told_at{};
  bool doubted = false;         // its row and its answers differ, and neither is known to be newer
  std::uint64_t row_version{};  // of its newest row
  bool listed = true;           // in the platform's list; false: kept for what may still run there
  time_point unlisted_at{};
  time_point life_seen{};           // when this incarnation was first heard of
  std::uint32_t failed_probes = 0;  // in a row
  bool lost = false;                // does not answer; nothing is sent there
  time_point lost_at{};
  double pace = 1;  // above 1: slower than it should be
};

// What a target said of itself when it was asked.
struct target_answer {
  target_id incarnation;  // which may be another one than the one that was asked
  std::optional<membership> member_of;
  model_id loaded;
  double pace = 1;
};

// Of two lives of one engine that are both known, the one heard of first has ended, and never comes
// back: records and answers of it that arrive late change nothing. Goes wrong otherwise: a load, a
// suspicion or a count of orders of the one is taken for the other's, and a replica whose member
// started again looks whole.
class fleet_view {
 public:
  // From the platform's list. `observed_at`: when the question was sent. `written_after`: a time
  // that its writing is known to be behind; by default the same, as for a list that is followed.
  // False: the record is of a incarnation that has ended, or its address is another target's by a
  // newer row (row_version), and was dropped.
  bool listed(time_point observed_at, target_record record, std::uint64_t row_version = 0,
              std::optional<time_point> written_after = std::nullopt);
  void unlisted(time_point now, const target_id& id);
  // The list has nothing under this engine's name that could be used, whichever incarnation it
  // knew.
  void unlisted_engine(time_point now, std::string_view engine);
  struct listed_row {
    target_record record;
    std::uint64_t version{};
  };
  // A whole list: what it does not hold is unlisted. A row that was known says nothing new.
  void replace_all(time_point now, const std::vector<listed_row>& rows,
                   std::optional<time_point> written_after = std::nullopt);

  // A target's own report, to a question sent at `asked`. What it says was so at `as_of`: reports
  // lag, so that the list or an order's answer may be newer, and is then kept. False: it was
  // another incarnation than `id` that answered; if it is a newer one, it has taken the place of
  // `id`.
  bool reported(time_point asked, time_point as_of, const target_id& id,
                const target_answer& answer);
  // Another target answers at its address: it has ended. Its row may stand in the list until it
  // lapses; from a newer one on it is known again.
  void ended(const target_id& id) { forget(id); }
  // The target obeyed an order of this node's.
  void ordered(time_point now, const target_id& id, const std::optional<membership>& member_of);
  // It did not answer a probe in time. Lost after `probes_until_lost` in a row.
  void probe_failed(time_point now, const target_id& id);

  // The hub, which asks lost targets again and again, names those that are still lost. Others are
  // back, unless this node lost them so lately that the hub may not know.
  void found_by_others(time_point now, const std::vector<target_id>& still_lost);

  // Slower than it should be, as another node measured.
  void set_pace(const target_id& id, double pace);

  // Targets that left the list are forgotten after `remembered`.
  void forget_old(time_point now);

  [[nodiscard]] const std::map<target_id, target_view>& all() const { return targets_; }
  [[nodiscard]] const target_view* find(const target_id& id) const;
  // The incarnation of the engine that is known now; empty: none.
  [[nodiscard]] target_id life_now(std::string_view engine) const;
  // Rises with each change that may alter what is routed to.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }

  // One lost datagram or a busy link is no death: two probes in a row have to fail.
  static constexpr std::uint32_t probes_until_lost = 2;
  // A hub hears of a loss within a beat, asks twice and answers within another one.
  static constexpr duration hub_knows_within = 1s;
  // Longer than a target goes on after it left the list (a drain and its grace, seconds).
  static constexpr duration remembered = 60s;
  // Ended lives of an engine that are remembered. One that starts again every few seconds is at its
  // ninth after the longest time that a record or an answer was seen to be late (12 s).
  static constexpr std::size_t most_ended = 8;

 private:
  struct engine_lives {
    target_id now;
    std::vector<target_id> ended;  // the newest last
  };

  // Whether `incarnation` is, or has now become, the engine's incarnation.
  bool take_life(time_point now, const target_id& incarnation);
  // Whether the address is the target's by its row of this version; whoever had it is forgotten.
  bool take_address(const target_record& record, std::uint64_t row_version);
  void forget(const target_id& id);
  static void take_row_state(target_view& view, const target_record& record, time_point as_of);
  void replace_by_answer(time_point asked, time_point as_of, const target_id& id,
                         const target_answer& answer);

  std::map<target_id, target_view> targets_;
  std::map<std::string, engine_lives, std::less<>> lives_;
  std::map<endpoint, target_id> owners_;  // of addresses, by the newest row of a version
  std::uint64_t revision_{1};
};

// A replica that may be sent requests.
struct serving_replica {
  replica_key key;
  service_id service;
  model_id model;
  target_id head;
  endpoint address;
  data_centre_id data_centre;
  std::vector<target_id> members;
  bool crosses_domains = false;
  double pace = 1;  // of its slowest member, beyond that of the model
};

// Whether replicas with a member that this node takes for lost are named.
enum class lost_targets : std::uint8_t { left_out, kept };

// Replicas whose head is open, listed and not leaving, and whose members are all present and
// neither lost nor leaving.
//
// A member that is not the head need not be listed: the list drops an engine that is cut off from
// it, and one that serves well then. With a fifth of the engines dropped at once, hardly a replica
// of 16 would be left. Nothing is sent to such a member; if it is really about to end, its replica
// falls silent and is found. The keeper asks it meanwhile.
[[nodiscard]] std::vector<serving_replica> serving_replicas(
    const fleet_view& fleet, const service_id& service, const model_id& model, std::uint32_t size,
    lost_targets lost = lost_targets::left_out);

}  // namespace arbutus
