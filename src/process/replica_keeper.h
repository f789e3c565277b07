// Keeps replicas of a data centre's engines whole: makes spare engines ready for a model, forms
// replicas of them, opens them, and takes apart those that lost a member.
//
// There is no row that says who belongs to whom. The truth is in the engines: each keeps the
// replica it joined, with its epoch, and counts the orders it obeyed. Every order names the count
// it was decided on, so that of two nodes that order the same engine one is refused, and an order
// that arrives late finds another count. Two rules make that safe:
//
// - A replica is opened only after each member reported ready in it, at that epoch.
// - A replica is taken apart head first: its members are used elsewhere only once the head was
//   seen outside of it, or cannot serve any more. The order that took the head out also voids
//   every order to open it that may still be on its way.
//
// A value: fed with (now, what is known), returns orders and questions.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/id.h"
#include "base/units.h"
#include "process/domain_shape.h"
#include "process/fleet_view.h"
#include "process/replica_name.h"
#include "version/service_map.h"

namespace arbutus {

enum class order_action : std::uint8_t { join, open, close, leave };

[[nodiscard]] std::string_view to_string(order_action action);

struct replica_order {
  target_id to;
  endpoint address;
  order_action action = order_action::join;
  replica_key replica;
  model_id model;                   // join
  std::vector<target_id> members;   // join; the first is the head
  std::uint64_t expected_orders{};  // orders that the target must have obeyed so far
  std::string_view reason;          // for logs
};

// Asks a target for its report.
struct report_question {
  target_id to;
  endpoint address;
};

using keeper_effect = std::variant<replica_order, report_question>;
using keeper_effects = std::vector<keeper_effect>;

enum class order_outcome : std::uint8_t {
  begun,      // obeyed; the count of orders rose
  holds,      // the state was there already
  conflict,   // another count, or it does not fit the target's state
  outdated,   // the epoch is lower than one the target knows
  another,    // the address belongs to another target now
  refused,    // not understood
  no_answer,  // may or may not be obeyed, now or later
  not_sent,   // no connection: not obeyed
};

struct target_report {
  target_id incarnation;  // that answered
  std::optional<membership> member_of;
  model_id loaded;
  std::uint64_t orders{};  // obeyed in this incarnation
  bool busy = false;       // an order is being carried out
  double pace = 1;
  std::uint32_t queued{};
  std::uint32_t active{};
};

struct keeper_settings {
  // A member that was told to join a replica, and neither did nor refused, is asked again.
  duration order_retry = 250ms;
  // A head that was told to open takes 300 ms, and its record some more to say so.
  duration open_retry = 600ms;
  // A replica of ready spares forms in 0.2 s (join) and 0.3 s (open); one that has not after this
  // is taken apart, so that its members are not held by one that does not answer.
  duration form_timeout = 3s;
  // A closing head may go on with its requests so long before its replica is taken apart. Longest
  // usual generation: 80 events of 50 ms.
  duration close_timeout = 6s;
  duration report_retry = 100ms;
  // The list is asked for changes that it waits a second for, and its hub tells within a beat.
  duration list_is_old = 1500ms;
  // Counts of orders rest on the list while that is new, and else on a report as old as this. An
  // engine that starts again serves in no replica before 1.6 s, the least time of warming up.
  duration count_good_for = 500ms;
  // A load takes 12 to 16 s, and longer while many load; after this it is taken for lost.
  duration load_timeout = 40s;
  // A data centre whose engines are nearly all away is cut off from this node, or the list has lost
  // them while it could not be written; what is away comes back one by one, within 2 s by the
  // list. So long nothing of it is ordered.
  duration back_within = 2s;
  double dark_share = 2.0 / 3;  // away; a lost fabric domain is half of a data centre at most
  // Engines that left the list longer ago than a cut and its return take are not counted as away.
  duration away_counts_for = 20s;
  // An engine that is ready for a model is made ready for another only when the plan has desired
  // that for so long: domains that go dark are mostly back within 8 s, and a load takes 12 to 16 s.
  duration change_after = 10s;
  // A model without a replica within one data centre is given one across data centres after this.
  // Less than callers wait; more than a replica takes to form again once its members were seen
  // free.
  duration across_after = 1500ms;
  // While the replicas of the start are loading the store's share is used for those of whole
  // replicas; after this the rest is ordered at once, as loads are cheap until the first request.
  duration cold_start_rush = 8500ms;
};

class replica_keeper {
 public:
  // `origin` without dots, see replica_name().
  replica_keeper(const keeper_settings& settings, std::string origin, time_point started,
                 bool cold_start)
      : settings_(settings),
        origin_(std::move(origin)),
        started_(started),
        cold_start_(cold_start) {}

  struct duties {
    std::set<data_centre_id> data_centres;  // whose engines this node orders
    std::size_t all_data_centres = 1;       // that have engines: the load limits are shared
    bool requests_seen = false;             // loads cost their full time from then on
    duration list_age{};                    // since the list of targets was last known to be new
  };

  // What to do now for the engines of `service`. Call every few tens of ms.
  [[nodiscard]] keeper_effects tick(time_point now, const fleet_view& fleet,
                                    const service_shape& service, const duties& own);

  // The fleet view is told what an obeyed order has made of its target.
  void on_order(time_point now, fleet_view& fleet, const replica_order& order,
                order_outcome outcome);
  // `report` is empty when there was no answer.
  void on_report(time_point now, const target_id& id, const std::optional<target_report>& report);
  // Epochs that a keeper may have used beyond those that others can see: its orders of the last
  // second or two, some dozens at the start of a data centre of 81 engines. Far more than that.
  static constexpr std::uint64_t epoch_leap = 1000;

  // What each domain has and should have, by model; for logs.
  struct domain_plan {
    fabric_domain_id domain;
    std::vector<std::uint32_t> ready;
    std::vector<std::uint32_t> desired;
    std::uint32_t blank = 0;
    std::size_t free = 0;
    bool operator==(const domain_plan&) const = default;
  };
  [[nodiscard]] const std::vector<domain_plan>& plan() const { return plan_; }

  // Replicas being formed by this node, for status and tests.
  [[nodiscard]] std::size_t forming() const { return forming_.size(); }

 private:
  // What this node knows of an engine beyond the fleet view.
  struct engine_memory {
    // Orders obeyed, and the replica it was in at that count: what is ordered on one is refused
    // unless the other still holds. Empty: ask first.
    std::optional<std::uint64_t> orders;
    std::optional<replica_key> at_that_count;
    time_point counted_at{};  // when the engine was last known to have that count
    bool order_pending = false;
    bool report_pending = false;
    time_point ask_after{};  // next question or repeated order, not earlier
    model_id ready_for;      // joins a replica of this model in 0.2 s
    model_id load_for;       // told to get ready for this one; empty: nothing is under way
    time_point load_begun{};
  };
  struct forming_replica {
    replica_key key;
    model_id model;
    std::vector<target_id> members;
    time_point begun;
    bool head_joined = false;  // the others are told only then
    std::set<target_id> told;  // obeyed the order to join
    // What each member was in when it was chosen: the choice holds only as long as that does.
    std::map<target_id, std::optional<replica_key>> chosen_from;
    bool failed = false;  // done or given up
  };
  struct standing_replica {
    replica_key key;
    std::vector<const target_view*> members;
  };

  struct domain_state;
  struct round;  // one tick

  void note_duties(const duties& own);
  void note_dark(round& r);
  void note_engines(round& r);
  void ask(round& r, const target_view& view);
  void ask_reports(round& r);
  void advance_forming(round& r);
  void mend_standing(round& r);
  [[nodiscard]] bool has_spares(const round& r, const target_view& head, const model_shape& model,
                                std::size_t desired) const;
  [[nodiscard]] std::string_view why_apart(const round& r, const standing_replica& replica,
                                           const target_view* head) const;
  void take_apart(round& r, const standing_replica& replica, std::string_view reason);
  void orphan(round& r, const standing_replica& replica, std::string_view reason);
  void find_free(round& r);
  void form(round& r);
  void form_in(round& r, const fabric_domain_id& domain, const model_shape& model);
  void form_across(round& r, const model_shape& model);
  void form_across_data_centres(round& r, const model_shape& model);
  [[nodiscard]] std::vector<const target_view*> free_in(const round& r,
                                                        const data_centre_id& data_centre,
                                                        const model_shape& model) const;
  [[nodiscard]] std::vector<const target_view*> free_elsewhere(const round& r,
                                                               const model_shape& model) const;
  [[nodiscard]] static bool has_most(const std::vector<const target_view*>& own,
                                     const std::vector<const target_view*>& others);
  void begin_forming(round& r, const model_shape& model,
                     const std::vector<const target_view*>& members);
  void reclaim(round& r, const fabric_domain_id& domain, const model_shape& model,
               std::size_t ready);
  [[nodiscard]] std::vector<const target_view*> ready_engines(
      const std::vector<const target_view*>& free, const model_shape& model) const;
  void survey(round& r);
  void note_shortages(const round& r);
  void prepare(round& r);
  void load(round& r, const target_view& view, std::size_t model);
  [[nodiscard]] bool is_loading(const target_view& view, const engine_memory& memory) const;
  [[nodiscard]] static bool completes_with_surplus(const round& r, const domain_state& domain,
                                                   std::size_t from, std::size_t to);
  [[nodiscard]] std::optional<double> gain_of_load(const round& r, const target_view& view,
                                                   std::size_t model) const;
  void send(round& r, const target_view& to, order_action action, const replica_key& replica,
            std::string_view reason, const model_id& model = {},
            const std::vector<target_id>& members = {});
  [[nodiscard]] bool may_order(round& r, const target_id& id);
  [[nodiscard]] model_id model_for(const target_view& view, const engine_memory& memory) const;
  [[nodiscard]] std::uint64_t next_epoch() { return ++last_epoch_; }
  [[nodiscard]] static std::optional<replica_key> replica_of(const target_view& view);
  [[nodiscard]] bool is_still_chosen(const round& r, const forming_replica& f) const;
  [[nodiscard]] static bool is_current(const target_view& view, const engine_memory& memory);
  void obeyed(time_point now, fleet_view& fleet, engine_memory& memory, const replica_order& order,
              order_outcome outcome);
  void give_up(const replica_key& key);
  void note_joined(const replica_order& order);

  keeper_settings settings_;
  std::string origin_;
  time_point started_;
  bool cold_start_;
  std::uint64_t last_epoch_ = 0;
  std::set<data_centre_id> kept_data_centres_;    // in the last tick
  std::map<data_centre_id, time_point> dark_at_;  // when it was last seen dark
  std::map<target_id, engine_memory> memory_;
  std::vector<forming_replica> forming_;
  std::vector<domain_plan> plan_;
  // The last plan and what it was made of: it is costly at some hundred engines, and most ticks
  // change nothing.
  std::vector<shape_domain> planned_domains_;
  std::vector<shape_model> planned_models_;
  fleet_shape planned_;
  // Since when a domain has had fewer engines of a model than the plan wants.
  std::map<std::pair<fabric_domain_id, model_id>, time_point> short_since_;
  // Since when a model has had no replica within one data centre.
  std::map<model_id, time_point> no_near_since_;
  std::map<replica_key, time_point> first_seen_;  // when an engine was first seen in it
  // When this node began to close a head, so that it is not waited for endlessly.
  std::map<replica_key, time_point> closing_since_;
};

}  // namespace arbutus
