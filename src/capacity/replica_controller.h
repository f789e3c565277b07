// Replica controller: prepares spare engines of its data centres for a model, forms replicas of
// them, opens these, and dissolves replicas that lost a member.
//
// No table row stores which engine belongs to which replica; the engines are the source of truth.
// Each engine stores the replica it joined, with its epoch, and counts the orders it has carried
// out. An order names the count that it is based on. If two nodes order the same engine, one order
// is refused, and a late order does not match the count any more. Two rules make this safe:
//
// - A replica is opened only after each member has reported ready in it, at that epoch.
// - A replica is dissolved head first: its members are reused only after the head was seen outside
//   of the replica or cannot serve any more. The order that removes the head also invalidates every
//   pending order to open it, because it changes the head's count.
//
// A plain value without I/O: it gets the time and the node's view, and returns orders and queries.
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
#include "capacity/demand_plan.h"
#include "capacity/domain_layout.h"
#include "capacity/model_demand.h"
#include "process/fleet_view.h"
#include "process/replica_name.h"
#include "process/stall_monitor.h"
#include "request/replica_choice.h"
#include "version/service_map.h"

namespace arbutus {

enum class order_action : std::uint8_t { join, open, close, leave };

[[nodiscard]] std::string_view to_string(order_action action);

struct replica_order {
  target_id to;
  endpoint address;
  order_action action = order_action::join;
  replica_key replica;
  model_id model;                   // model of the replica to join; only for join
  std::vector<target_id> members;   // of the replica to join, head first; only for join
  std::uint64_t expected_orders{};  // number of orders that the target must have carried out so far
  std::string_view reason;          // why the order is sent, for logs
};

// Requests a report from a target.
struct report_request {
  target_id to;
  endpoint address;
};

using controller_effect = std::variant<replica_order, report_request>;
using controller_effects = std::vector<controller_effect>;

enum class order_outcome : std::uint8_t {
  accepted,      // the target carried out the order, and its count of orders increased
  already_done,  // the target was already in the requested state
  conflict,      // the count differs, or the order does not fit the target's state
  outdated,      // the epoch is lower than one that the target knows
  other_target,  // the address now belongs to a different target
  refused,       // the target does not understand the order
  no_answer,     // the order may or may not be carried out, now or later
  not_sent,      // there was no connection to the target: the order is not carried out
};

struct target_report {
  target_id incarnation;  // incarnation that answered
  std::optional<membership> member_of;
  model_id loaded;
  std::uint64_t orders{};  // number of orders carried out in this incarnation
  bool busy = false;       // an order is in progress
  double slowdown_factor = 1;
  std::uint32_t queued{};
  std::uint32_t active{};
};

struct controller_settings {
  // The join order is repeated after this time if the member has neither joined nor refused.
  duration order_retry_interval = 250ms;
  // The open order is repeated after this time. A head takes 300 ms to open, and its record takes
  // longer to reflect that.
  duration open_order_retry_interval = 600ms;
  // Ready spares take 0.2 s to join and 0.3 s to open. A replica that is not formed after this time
  // is dissolved, so that a member that does not answer does not block the others.
  duration form_timeout = 3s;
  // Time that a closing head has to finish its requests before its replica is dissolved. A draining
  // member works for its head for no longer than this.
  duration close_timeout = 10s;
  // A sound target may be silent for about a second. A replica keeps its requests for this time
  // after the node lost one of its members, unless that member's process is known to have ended.
  duration silence_tolerance = arbutus::silence_tolerance;
  // Interval between queries of a head whose replica waits for a silent member. Reports lag by
  // about as much.
  duration idle_check_interval = 200ms;
  duration report_retry_interval = 100ms;
  // The list of targets is stale after this time. A query for changes waits for up to 1 s, and the
  // hub forwards them within one heartbeat.
  duration max_target_list_age = 1500ms;
  // While the list is stale, a count of orders is used only for this time after a report confirmed
  // it. A restarted engine does not serve in a replica within 1.6 s, the minimum warm-up time.
  duration order_count_max_age = 500ms;
  // After this time an order to an engine to load a model counts as lost. A load takes 12 to 16 s,
  // and longer while many engines load.
  duration load_timeout = 40s;
  // If nearly all engines of a data centre are unavailable, it is probably unreachable from this
  // node, or the list dropped the engines while it could not be written. After such an outage
  // engines reappear one by one, within 2 s through the list. Until then the data centre gets no
  // orders.
  duration reconnect_window = 2s;
  // Share of unavailable engines above which a data centre counts as unreachable. Losing one fabric
  // domain makes at most half of a data centre's engines unavailable.
  double unreachable_engine_share = 2.0 / 3;
  // Engines unlisted for longer than this do not count as unavailable. Longer than a network
  // partition and the recovery from it take.
  duration unlisted_engine_count_window = 20s;
  // A ready engine switches to a different model only after the plan has asked for that for this
  // time: most domain outages end within 8 s, and a load takes 12 to 16 s.
  duration model_switch_delay = 10s;
  // A change by demand does not wait that long. It is carried out replica by replica, within the
  // limit on loads, for up to this time: closing takes up to 10 s, and a load 12 to 16 s.
  duration demand_change_window = 60s;
  // A model without a replica inside one data centre gets one across data centres after this time.
  // Less than callers wait, and more than it takes to form a replica again once its members are
  // free.
  duration cross_data_centre_delay = 1500ms;
  // At a cold start, the limit on loads applies for this time, so that the first complete replicas
  // load at full speed. After that all other loads are ordered immediately, as loads are cheap
  // until the first request.
  duration cold_start_limit_duration = 8500ms;
};

class replica_controller {
 public:
  // `origin` contains no dots, see replica_name().
  replica_controller(const controller_settings& settings, std::string origin, time_point started)
      : settings_(settings), origin_(std::move(origin)), started_(started) {}

  struct responsibilities {
    std::set<data_centre_id> data_centres;  // whose engines this node controls
    // Number of data centres that have engines and share the limit on loads.
    std::size_t all_data_centres = 1;
    bool requests_seen = false;   // from the first request on, loads take their full time
    duration target_list_age{};   // time since the list of targets was last up to date
    bool is_first_start = false;  // the whole deployment starts for the first time
    // Data centres whose engines keep their replicas, but load nothing and form no new ones.
    std::set<data_centre_id> evacuated = {};
    // Whether engines are divided among the models by demand. The fields below count only then.
    bool plans_by_demand = false;
    model_demand demand = {};           // of the deployment
    double heard_nodes = 1;             // fraction of the known nodes that are heard
    const load_table* loads = nullptr;  // to close idle replicas first; null: not known
  };

  // Returns the orders and queries to send now for the engines of `service`. Call every few tens of
  // ms.
  [[nodiscard]] controller_effects tick(time_point now, const fleet_view& fleet,
                                        const service_spec& service, const responsibilities& own);

  // Least time between two ticks. A tick looks at each engine of all data centres, so with many of
  // them a hub with a quarter of a core ticks less often, to have time for its heartbeats.
  [[nodiscard]] static constexpr duration min_tick_interval(std::size_t engines) {
    constexpr duration per_engine = 40us;
    return static_cast<std::int64_t>(engines) * per_engine;
  }

  // Handles the outcome of an order, and updates the fleet view if it was carried out.
  void on_order_outcome(time_point now, fleet_view& fleet, const replica_order& order,
                        order_outcome outcome);
  // Handles a target's answer to a report request; `report` is empty when there was no answer.
  void on_report(time_point now, const target_id& id, const std::optional<target_report>& report);
  // A new controller starts its epochs this far above the highest that it has seen. More than the
  // number of epochs that its predecessor can have used unseen: those of its orders of the last 1
  // to 2 s, a few dozen at the start of a data centre of 81 engines.
  static constexpr std::uint64_t epoch_margin = 1000;

  // Numbers of engines of a fabric domain by model, current (`ready`) and planned (`desired`); for
  // logs.
  struct domain_plan {
    fabric_domain_id domain;
    std::vector<std::uint32_t> ready;
    std::vector<std::uint32_t> desired;
    std::uint32_t unloaded = 0;
    std::size_t free = 0;
    bool operator==(const domain_plan&) const = default;
  };
  [[nodiscard]] const std::vector<domain_plan>& plan() const { return plan_; }

  // What the plan by demand has for a model; for metrics and logs.
  struct model_plan {
    model_id model;
    double calls_per_second = 0;
    double work = 0;                     // replicas that the calls keep busy
    double engine_time_share = 0;        // in force
    std::uint32_t planned_replicas = 0;  // in all data centres
  };
  // Empty if engines are not divided by demand.
  [[nodiscard]] const std::vector<model_plan>& model_plans() const { return model_plans_; }
  // Number of changes by demand, and of replicas that this node closed for them.
  [[nodiscard]] std::uint64_t demand_changes() const { return demand_changes_; }
  [[nodiscard]] std::uint64_t surplus_closed() const { return surplus_closed_; }

  // Number of replicas that this node is forming; for status and tests.
  [[nodiscard]] std::size_t forming() const { return forming_.size(); }

 private:
  // What this controller knows about an engine in addition to the fleet view.
  struct local_engine_state {
    // Number of orders carried out, and the engine's replica at that count. An order is based on
    // both, and sent only while the fleet view confirms the replica. Empty: query the engine first.
    std::optional<std::uint64_t> orders;
    std::optional<replica_key> replica_at_order_count;
    time_point order_count_confirmed_at{};  // when the count was last confirmed
    bool order_pending = false;
    bool report_pending = false;
    time_point report_requested_at{};
    time_point idle_at{};  // when the newest report without requests was asked for
    time_point close_sent_at{};
    time_point next_attempt_at{};  // the engine gets no query or repeated order before this time
    model_id ready_model;          // loaded model: the engine joins a replica of it in 0.2 s
    model_id loading_model;        // model that the engine was ordered to load; empty: none
    time_point load_started_at{};
  };
  struct forming_replica {
    replica_key key;
    model_id model;
    std::vector<target_id> members;
    time_point started_at;
    bool head_joined = false;  // the other members get their orders only after the head joined
    std::set<target_id> ordered_members;  // members that carried out the order to join
    // Each member's replica when it was chosen. A member that has changed its replica since then
    // cannot be used.
    std::map<target_id, std::optional<replica_key>> replica_when_chosen;
    bool finished = false;  // the replica has been formed or abandoned
  };
  struct formed_replica {
    replica_key key;
    std::vector<const target_view*> members;
  };

  struct domain_state;
  struct engine_ref;
  struct tick_context;  // state of one tick

  void update_responsibilities(const responsibilities& own);
  void update_unreachable(tick_context& ctx);
  void collect_engines(tick_context& ctx);
  void update_engines(tick_context& ctx);
  void request_report(tick_context& ctx, const target_view& view);
  void refresh_order_counts(tick_context& ctx);
  void advance_forming(tick_context& ctx);
  void check_formed(tick_context& ctx);
  [[nodiscard]] bool has_spares(const tick_context& ctx, const target_view& head,
                                const model_spec& model, std::size_t required) const;
  [[nodiscard]] std::string_view dissolve_reason(const tick_context& ctx,
                                                 const formed_replica& replica,
                                                 const target_view* head) const;
  void dissolve_replica(tick_context& ctx, const formed_replica& replica, std::string_view reason);
  [[nodiscard]] static bool requests_may_finish(const tick_context& ctx,
                                                const formed_replica& replica,
                                                const target_view& head);
  [[nodiscard]] static std::optional<time_point> silent_since(const formed_replica& replica);
  void close_when_idle(tick_context& ctx, const target_view& head, const replica_key& key,
                       time_point silent_since);
  bool order_head(tick_context& ctx, const target_view& head, order_action action,
                  const replica_key& key, std::string_view reason);
  void send_close(tick_context& ctx, const target_view& head, const replica_key& key,
                  std::string_view reason);
  [[nodiscard]] bool may_only_be_silent(const tick_context& ctx, const replica_key& key,
                                        const target_view* head) const;
  void release_headless_members(tick_context& ctx, const formed_replica& replica,
                                std::string_view reason);
  void collect_free_engines(tick_context& ctx);
  void form_replicas(tick_context& ctx);
  void form_in_domain(tick_context& ctx, const fabric_domain_id& domain, const model_spec& model);
  void form_across_domains(tick_context& ctx, const model_spec& model);
  void form_across_data_centres(tick_context& ctx, const model_spec& model);
  [[nodiscard]] std::vector<const target_view*> free_engines_in(const tick_context& ctx,
                                                                const data_centre_id& data_centre,
                                                                const model_spec& model) const;
  [[nodiscard]] std::vector<const target_view*> free_engines_in_other_data_centres(
      const tick_context& ctx, const model_spec& model) const;
  [[nodiscard]] static bool has_most_free_engines(const std::vector<const target_view*>& own,
                                                  const std::vector<const target_view*>& others);
  void start_forming(tick_context& ctx, const model_spec& model,
                     const std::vector<const target_view*>& members);
  void reclaim(tick_context& ctx, const fabric_domain_id& domain, const model_spec& model,
               std::size_t ready);
  [[nodiscard]] std::vector<const target_view*> ready_engines(
      const std::vector<const target_view*>& free, const model_spec& model) const;
  void update_shares(tick_context& ctx);
  void update_plan(tick_context& ctx);
  void update_model_plans(const tick_context& ctx);
  [[nodiscard]] bool is_demand_change(const tick_context& ctx) const;
  void update_shortages(const tick_context& ctx);
  void choose_surplus(tick_context& ctx);
  struct surplus_search;  // state of choose_surplus()
  [[nodiscard]] std::map<fabric_domain_id, surplus_search> find_short_domains(
      const tick_context& ctx) const;
  void count_available(const tick_context& ctx, const fabric_domain_id& domain,
                       surplus_search& search) const;
  void close_surplus(const tick_context& ctx, std::map<fabric_domain_id, surplus_search>& searches,
                     const std::vector<const formed_replica*>& serving);
  [[nodiscard]] bool is_last_of_model(const tick_context& ctx, const formed_replica& replica) const;
  [[nodiscard]] bool is_short(const tick_context& ctx, const fabric_domain_id& domain,
                              std::size_t model) const;
  void assign_models(tick_context& ctx);
  void start_loading(tick_context& ctx, const target_view& view, std::size_t model);
  [[nodiscard]] bool is_loading(const target_view& view, const local_engine_state& local) const;
  [[nodiscard]] static bool surplus_completes_replica(const tick_context& ctx,
                                                      const domain_state& domain, std::size_t from,
                                                      std::size_t to);
  // An engine that may load a model, and what the fleet gains by it.
  struct load_candidate {
    const target_view* view = nullptr;  // null: there is none
    double gain = 0;
  };
  [[nodiscard]] static double model_need(const tick_context& ctx, std::size_t model);
  [[nodiscard]] std::vector<load_candidate> load_candidates(
      const tick_context& ctx, const std::vector<const target_view*>& free, bool may_load,
      const std::set<target_id>& rejected) const;
  [[nodiscard]] std::optional<double> model_load_gain(const tick_context& ctx,
                                                      const target_view& view,
                                                      std::size_t model) const;
  void send(tick_context& ctx, const target_view& to, order_action action,
            const replica_key& replica, std::string_view reason, const model_id& model = {},
            const std::vector<target_id>& members = {});
  [[nodiscard]] bool can_order(tick_context& ctx, const target_id& id);
  [[nodiscard]] model_id model_for(const target_view& view, const local_engine_state& local) const;
  [[nodiscard]] std::uint64_t next_epoch() { return ++last_epoch_; }
  [[nodiscard]] static std::optional<replica_key> replica_of(const target_view& view);
  [[nodiscard]] bool members_still_available(const tick_context& ctx,
                                             const forming_replica& f) const;
  [[nodiscard]] static bool is_current(const target_view& view, const local_engine_state& local);
  void on_order_obeyed(time_point now, fleet_view& fleet, local_engine_state& local,
                       const replica_order& order, order_outcome outcome);
  void abandon_forming(const replica_key& key);
  void record_join(const replica_order& order);

  controller_settings settings_;
  std::string origin_;
  time_point started_;
  std::uint64_t last_epoch_ = 0;
  std::set<data_centre_id> controlled_data_centres_;          // as of the last tick
  std::map<data_centre_id, time_point> last_unreachable_at_;  // when it was last found unreachable
  std::map<target_id, local_engine_state> local_states_;
  std::vector<forming_replica> forming_;
  std::vector<domain_plan> plan_;
  // The last plan and its input. Planning is costly with several hundred engines, and the input
  // rarely changes between ticks.
  std::vector<layout_domain> plan_input_domains_;
  std::vector<layout_model> plan_input_models_;
  fleet_layout planned_layout_;
  // Since when a domain has had fewer engines of a model than planned.
  std::map<std::pair<fabric_domain_id, model_id>, time_point> shortage_since_;
  demand_plan demand_plan_;
  std::vector<model_plan> model_plans_;
  std::uint64_t demand_changes_ = 0;
  std::uint64_t surplus_closed_ = 0;
  // When demand last changed the plan, and the engines that each domain had then.
  std::optional<time_point> demand_changed_at_;
  std::map<fabric_domain_id, std::uint32_t> engines_at_demand_change_;
  // Replicas that are closed because the plan needs their engines for another model.
  std::set<replica_key> surplus_;
  // Models whose free engines in the domain are to load another model, so they form no replica.
  std::set<std::pair<fabric_domain_id, model_id>> withheld_;
  // Since when a model has had no replica inside a single data centre.
  std::map<model_id, time_point> no_local_replica_since_;
  std::map<replica_key, time_point> first_seen_;  // when an engine was first seen in the replica
  // When this node started to close the head of a replica; limits how long it waits until the head
  // has finished its requests.
  std::map<replica_key, time_point> closing_since_;
};

}  // namespace arbutus
