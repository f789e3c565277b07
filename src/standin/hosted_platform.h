// A stand-in for a platform that holds the configuration and the list of targets: its store, some
// engines and a service that is not a model, each an HTTP server on loopback, in the wire format of
// platform/.
//
// Deliberately small: it covers the behaviour under faults (a store that is unavailable, engines
// that die, that fall silent and go on, that stall when a member is lost, that refuse orders which
// name another count of accepted orders than theirs, and that ask nodes to back off or say that
// they are leaving), not the platform's complete interface.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "connection/http_server.h"
#include "node/periodic.h"
#include "standin/hosted_configuration.h"
#include "standin/hosted_engine.h"
#include "standin/network_paths.h"
#include "standin/repeat_log.h"
#include "standin/restartable_server.h"
#include "standin/restraint_checker.h"

namespace arbutus::standin {

struct hosted_platform_settings {
  std::vector<std::string> data_centres = {"lab-a"};
  std::size_t engines_per_data_centre = 9;  // the engines of one data centre form one fabric domain
  std::string ip = "127.0.0.1";
  std::uint16_t store_port = 0;  // port of the store; 0: any free port
  int events_per_answer = 10;    // number of events in each streamed answer
  duration event_gap = 20ms;
  duration crash_delay = 15ms;     // time from the start of a poison request to the crash
  duration restart_delay = 600ms;  // time from a crash to the restart
  // Number of nodes with a store address of their own, in whose rows the targets have the addresses
  // of paths that can be cut. Hubs pass rows on, so only one such node may be in a data centre.
  std::size_t nodes_with_paths = 0;
  int model_max_attempts = 3;  // of the route to the model
  double warmup_s = 0;         // see hosted_configuration
  double cold_per_s = 0;
  bool has_urgent_route = false;                    // see hosted_configuration
  std::map<std::string, std::string> regions = {};  // of data centres, in the settings of the nodes
  hosted_engine_settings engine = {.rejoin_time = 50ms,
                                   .warm_load_time = 200ms,
                                   .load_time = 300ms,
                                   .open_time = 50ms,
                                   .report_lag = 20ms};
};

// The only instance of the service that is not a model.
inline constexpr const char* plain_instance_id = "i-api";
// A request whose path contains this text crashes the engine or service instance that starts to run
// it.
inline constexpr const char* poison_path_marker = "poison";

class hosted_platform {
 public:
  hosted_platform(fiber_runtime& runtime, const hosted_platform_settings& settings);
  ~hosted_platform();
  hosted_platform(const hosted_platform&) = delete;
  hosted_platform& operator=(const hosted_platform&) = delete;
  hosted_platform(hosted_platform&&) = delete;
  hosted_platform& operator=(hosted_platform&&) = delete;

  [[nodiscard]] std::uint16_t store_port() const;
  // Number of nodes with paths of their own, and the port of the store for one of them.
  [[nodiscard]] std::size_t node_count() const;
  [[nodiscard]] std::uint16_t store_port(std::size_t node) const;

  // The paths from one node to a target, by its id; empty: to all targets.
  void set_paths(std::size_t node, path_state paths, const std::string& target = {});

  // What the paths from one node answer in place of a target, by its id; empty: of all targets.
  void set_answer(std::size_t node, const faulty_answer& answer, const std::string& target = {});

  // Writes the next version of the operators' configuration. It has `extra_routes` additional
  // routes; the path of each is extra_route(index).
  void write_next_configuration(workspace_list workspaces = workspace_list::with_key,
                                std::size_t extra_routes = 0);
  [[nodiscard]] static std::string extra_route(std::size_t index);
  // Operators evacuate a data centre, or lift its evacuation.
  void set_evacuated(const std::string& data_centre, bool evacuated);
  // Writes the next version of the configuration, with the regions in which requests of the routes
  // and of the workspace may be served; empty: everywhere.
  void write_allowed_regions(const std::vector<std::string>& of_routes,
                             const std::vector<std::string>& of_workspace);
  // Limits the rate at which the store sends each response; 0: no limit.
  void set_store_rate(std::size_t bytes_per_s);
  void set_store_down(bool down);

  // Keeps a copy of the store as it is now.
  void copy_store();
  enum class rewrite : std::uint8_t {
    everything,  // operators and targets write again at once what the copy lacks
    targets,     // only targets do
    nothing,
  };
  // The store comes back from the copy, in its next era: versions of the copy on are given out
  // again. The copy has none of the rows of the tables `lost_tables`.
  void restore_store(rewrite written_again, const std::set<std::string>& lost_tables = {});
  // Operators and targets write again what the store lacks.
  void write_again();
  // The store forgets the changes up to now: who has read less has to read whole tables.
  void drop_history();
  // Uses up versions of the store by writes to a table that no node reads.
  void use_up_versions(std::size_t count);
  // The service that is not a model reports in the list that it is leaving.
  void drain_plain_service();

  // How a target answers, by its id; empty: all targets.
  void set_behaviour(const std::string& target, const target_behaviour& behaviour);
  // Checks of what targets asked of the nodes, see restraint_checker.
  [[nodiscard]] std::vector<backoff_window> broken_backoff_windows() const;
  [[nodiscard]] std::vector<arrival_after_notice> arrivals_after_notice() const;

  // Id of an engine of a complete replica: the head, or the last member. Empty if no replica is
  // complete.
  [[nodiscard]] std::string find_member(bool head) const;
  // Id of the last member of the replica that this engine is in.
  [[nodiscard]] std::string last_member_beside(const std::string& engine) const;
  void kill_engine(const std::string& id);
  // Restarts the engine under its id at its address; its running requests are lost.
  void restart_engine(const std::string& id);
  // A target whose process stands still and later goes on; empty: all engines. While it is silent
  // it answers nothing and its replica writes no events, but connections to it are accepted and
  // stay open, and the list of targets keeps its record. It then answers what has arrived.
  void set_silent(const std::string& id, bool silent);
  // Number of orders to leave a replica that engines have received.
  [[nodiscard]] int leave_orders() const;
  // Writes a row that comes from another writer.
  void write_row(const std::string& table, const std::string& key, const std::string& value);
  // Writes a record that does not come from an engine into the list of targets.
  void write_target_record(const std::string& key, const std::string& value);

  // All engines and the service that is not a model announce this send limit in their responses;
  // empty: none.
  void set_send_limit(const std::string& value);
  // Arrival times of requests at each engine and at the service that is not a model, also of
  // requests that did not run.
  [[nodiscard]] std::map<std::string, std::vector<time_point>> arrivals() const;

  // Arrivals at each service beyond the first of their request, see repeat_log.
  [[nodiscard]] repeat_log::repeats_by_service repeats() const;

  // Headers of the request at each of its arrivals at an engine or at the service that is not a
  // model.
  [[nodiscard]] std::vector<http_headers> arrived_headers(const std::string& request) const;

  // Id of the engine where the request last started to run; empty: none.
  [[nodiscard]] std::string engine_of_run(const std::string& request) const;
  // Number of rows in a table of the store.
  [[nodiscard]] std::size_t rows_of_table(const std::string& table) const;

  // Number of complete serving replicas.
  [[nodiscard]] std::size_t count_serving_replicas() const;
  // How often each request has started to run, by request id.
  [[nodiscard]] std::map<std::string, int> runs_by_request() const;
  // How often requests with a poison path crashed an engine or the service that is not a model, by
  // path.
  [[nodiscard]] std::map<std::string, int> crashes_by_path() const;
  // Number of requests that reached targets with a caller's API key or without the workspace in
  // their headers.
  [[nodiscard]] int header_violations() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace arbutus::standin
