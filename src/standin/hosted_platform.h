// A stand-in for a platform that keeps the configuration and the list of targets: its store, some
// engines and a plain service, each behind HTTP on loopback, in the wire format of platform/.
//
// Small on purpose: what matters in the face of faults is here (a store that is away, engines that
// die, stall without a member and obey orders by count), not the platform's whole surface.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "connection/http_server.h"
#include "node/periodic.h"
#include "standin/hosted_engine.h"
#include "standin/restartable_server.h"

namespace arbutus::standin {

struct hosted_platform_settings {
  std::vector<std::string> data_centres = {"lab-a"};
  std::size_t engines_each = 9;  // in one fabric domain for each data centre
  std::string ip = "127.0.0.1";
  std::uint16_t store_port = 0;  // 0: any
  int events = 10;               // of an answer
  duration event_gap = 20ms;
  duration ends_after = 15ms;  // a request that ends the engine which runs it does so after this
  duration started_after = 600ms;  // such an engine has started again after this
  hosted_engine_settings engine = {.rejoin_time = 50ms,
                                   .warm_load_time = 200ms,
                                   .load_time = 300ms,
                                   .open_time = 50ms,
                                   .report_lag = 20ms};
};

inline constexpr const char* hosted_host = "desk.example";
inline constexpr const char* hosted_key = "key-of-the-desk";
inline constexpr const char* hosted_model = "large";
// A request whose path has this in it ends the engine or the instance that begins to run it.
inline constexpr const char* poison_mark = "poison";

class hosted_platform {
 public:
  hosted_platform(fiber_runtime& runtime, const hosted_platform_settings& settings);
  ~hosted_platform();
  hosted_platform(const hosted_platform&) = delete;
  hosted_platform& operator=(const hosted_platform&) = delete;
  hosted_platform(hosted_platform&&) = delete;
  hosted_platform& operator=(hosted_platform&&) = delete;

  [[nodiscard]] std::uint16_t store_port() const;

  // Writes the next version of the configuration; without `keys` the workspace loses its key. It
  // has `more_routes` beside the usual ones, each at the path that `extra_route` tells.
  void configure(bool keys = true, std::size_t more_routes = 0);
  [[nodiscard]] static std::string extra_route(std::size_t index);
  // From now on each answer of the store takes its bytes at this rate; 0: at once.
  void set_store_rate(std::size_t bytes_per_s);
  void set_store_down(bool down);

  // Of the engines that are in a real replica: a head, or another member.
  [[nodiscard]] std::string find_member(bool head) const;
  void kill_engine(const std::string& id);
  // It starts again under its id, at its address; what it ran goes on to nowhere.
  void restart_engine(const std::string& id);
  // Something else than an engine writes into the list; `value` as it stands there.
  void write_entry(const std::string& key, const std::string& value);

  // From now on all engines and the plain instance name this limit in their answers; empty: none.
  void set_send_limit(const std::string& value);
  // When requests reached each engine and the plain instance, also those that they did not run.
  [[nodiscard]] std::map<std::string, std::vector<time_point>> arrivals() const;

  // Where the request began to run last.
  [[nodiscard]] std::string engine_of_run(const std::string& request) const;
  // Rows that a table of the store holds.
  [[nodiscard]] std::size_t rows_of_table(const std::string& table) const;

  // Replicas that serve and are whole.
  [[nodiscard]] std::size_t serving() const;
  // How often each request has begun to run, by its id.
  [[nodiscard]] std::map<std::string, int> runs() const;
  // How often each path with a poison mark has ended its engine or instance.
  [[nodiscard]] std::map<std::string, int> ends() const;
  // Requests whose head carried a caller's key, or no workspace.
  [[nodiscard]] int leaked() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace arbutus::standin
