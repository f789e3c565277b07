// HTTP servers of the stand-in platform: its engines and a service that is not a model, the rows
// that they write to its store, and the faults of all of them.
#include "standin/hosted_platform.h"

#include <algorithm>
#include <iterator>
#include <mutex>
#include <nlohmann/json.hpp>

#include "connection/clock.h"
#include "process/target_incarnation.h"
#include "standin/hosted_store.h"
#include "standin/silent_targets.h"
#include "standin/standin_http.h"

namespace arbutus::standin {

namespace {

using nlohmann::json;

constexpr const char* configuration_table = "op";
constexpr const char* configuration_row = "config";
constexpr const char* evacuation_prefix = "evacuate/";
constexpr const char* unread_table = "unread";
constexpr duration refresh_interval = 10ms;
// Time until a dead engine is removed from the list of targets.
constexpr duration unlist_delay = 400ms;
constexpr std::uint64_t first_start_stamp = 1'700'000'000'000;

json group_of(const std::optional<membership>& own) {
  return {{"name", own->replica.name},
          {"epoch", own->replica.epoch},
          {"rank", own->rank},
          {"state", std::string(to_string(own->state))}};
}

// Adds the start time that is part of the incarnation's id to the document, as an integer, if the
// id has one.
void add_start_stamp(json& document, const target_id& incarnation) {
  const std::string& text = incarnation.str();
  if (const auto at = text.find(incarnation_separator); at != std::string::npos) {
    document["born"] = std::stoull(text.substr(at + 1));
  }
}

void add_state(json& document, const std::optional<membership>& own, const model_id& loaded) {
  document["models"] = json::array();
  if (!loaded.empty()) {
    document["models"].push_back({{"name", loaded.str()}, {"version", 1}});
  }
  if (own) {
    document["group"] = group_of(own);
  }
}

// A node's own address of the store, and its paths to the targets.
struct node_access {
  std::unique_ptr<network_paths> paths;
  std::unique_ptr<http_server> store;
};

}  // namespace

struct hosted_platform::state {
  struct engine_process {
    hosted_engine engine;
    bool dead = false;
    time_point unlist_at{};
    std::string listed_record;  // record of the engine as last written to the list of targets;
                                // empty: not listed
    std::unique_ptr<restartable_server> server;
    std::uint32_t running = 0;  // streams
  };

  // Counts a stream as running for as long as this object lives.
  class running_stream {
   public:
    running_stream(state& owner, engine_process& engine) : owner_(owner), engine_(engine) {
      const std::lock_guard guard(owner_.mutex);
      ++engine_.running;
    }
    ~running_stream() {
      const std::lock_guard guard(owner_.mutex);
      --engine_.running;
    }
    running_stream(const running_stream&) = delete;
    running_stream& operator=(const running_stream&) = delete;
    running_stream(running_stream&&) = delete;
    running_stream& operator=(running_stream&&) = delete;

   private:
    state& owner_;
    engine_process& engine_;
  };

  // A process that a poison request has crashed: its server closes, and reopens as another
  // incarnation.
  struct process_crash {
    restartable_server* server;
    engine_process* engine;  // engine that crashed; null: the service that is not a model
    bool closed = false;
    time_point starts_at{};
  };

  state(fiber_runtime& r, const hosted_platform_settings& s) : runtime(r), settings(s) {}

  // ---- rows that their writers write again ----

  [[nodiscard]] std::vector<desired_row> rows_of_targets() const {
    std::vector<desired_row> rows;
    for (const auto& [id, e] : engines) {
      rows.push_back({targets_table, id, e->listed_record});
    }
    rows.push_back({targets_table, plain_instance_id, plain_record});
    return rows;
  }

  [[nodiscard]] std::vector<desired_row> rows_of_configuration() const {
    std::vector<desired_row> rows = {
        {configuration_table, configuration_row, newest_configuration}};
    for (const auto& [key, value] : evacuations) {
      rows.push_back({configuration_table, key, value});
    }
    return rows;
  }

  [[nodiscard]] std::vector<desired_row> all_rows() const {
    std::vector<desired_row> rows = rows_of_targets();
    std::ranges::move(rows_of_configuration(), std::back_inserter(rows));
    return rows;
  }

  [[nodiscard]] std::vector<desired_row> rows_of(rewrite written_again) const {
    switch (written_again) {
      case rewrite::everything:
        return all_rows();
      case rewrite::targets:
        return rows_of_targets();
      case rewrite::nothing:
        break;
    }
    return {};
  }

  // ---- paths of nodes ----

  void open_node_access() {
    auto paths = std::make_unique<network_paths>();
    for (const auto& [id, e] : engines) {
      paths->add(e->engine.record().address);
    }
    paths->add(plain_address());
    const network_paths* own = paths.get();
    auto server = std::make_unique<http_server>(
        runtime, socket_address{settings.ip, 0}, http_server_limits{},
        [this, own](const http_request& r, response_writer& w) { store.serve(r, w, own); });
    nodes.push_back({std::move(paths), std::move(server)});
  }

  // Tells the paths to the target with this port whether its process listens.
  void set_listening(std::uint16_t port, bool listens) {
    for (const node_access& node : nodes) {
      node.paths->set_listening({settings.ip, port}, listens);
    }
  }

  [[nodiscard]] endpoint plain_address() const { return {settings.ip, plain->port()}; }

  [[nodiscard]] endpoint address_of_target(const std::string& id) const {
    return id == plain_instance_id ? plain_address() : engines.at(id)->engine.record().address;
  }

  // ---- engines ----

  void serve_engine(engine_process& e, const http_request& request, response_writer& writer) {
    const std::string name(engine_of(e.engine.record().id));
    silent.wait_while_silent(name);
    if (request.headers.find("X-Expect-Instance") != name) {
      writer.send(421, {{"X-Instance-Id", name}}, "");
      return;
    }
    if (request.target == "/api/report") {
      send_json(writer, 200, report_json(e));
    } else if (request.target == "/api/order") {
      order(e, request, writer);
    } else {
      run(e, request, writer);
    }
  }

  std::string report_json(const engine_process& e) {
    const std::lock_guard guard(mutex);
    const target_report report = e.engine.report(monotonic_now());
    json document = {{"sequence", report.orders},
                     {"busy", false},
                     {"pace", 1.0},
                     {"queued", 0},
                     {"active", e.running}};
    add_state(document, report.member_of, report.loaded);
    add_start_stamp(document, report.incarnation);
    return document.dump();
  }

  order_outcome execute(engine_process& e, const replica_order& o) {
    const std::lock_guard guard(mutex);
    leave_orders += o.action == order_action::leave ? 1 : 0;
    return e.engine.execute(monotonic_now(), o);
  }

  target_id incarnation_of_process(const engine_process& e) {
    const std::lock_guard guard(mutex);
    return e.engine.record().id;
  }

  bool is_open(const engine_process& e) {
    const std::lock_guard guard(mutex);
    return e.engine.is_open();
  }

  void order(engine_process& e, const http_request& request, response_writer& writer) {
    const json body = json::parse(request.body, nullptr, false);
    replica_order o;
    o.to = e.engine.record().id;
    const std::string action = body.value("operation", "");
    o.action = action == "join"    ? order_action::join
               : action == "open"  ? order_action::open
               : action == "close" ? order_action::close
                                   : order_action::leave;
    o.replica = {body.value("group", ""), body.value("epoch", std::uint64_t{0})};
    o.model = model_id{body.value("model", "")};
    o.expected_orders = body.value("precondition", std::uint64_t{0});
    for (const json& m : body.value("members", json::array())) {
      o.members.emplace_back(m.get<std::string>());
    }
    static const std::map<order_outcome, int> statuses = {{order_outcome::accepted, 202},
                                                          {order_outcome::already_done, 200},
                                                          {order_outcome::conflict, 409},
                                                          {order_outcome::outdated, 412}};
    const auto found = statuses.find(execute(e, o));
    send_json(writer, found == statuses.end() ? 400 : found->second, "{}");
  }

  [[nodiscard]] bool is_complete(const engine_process& head) const {
    if (!head.engine.is_open() || head.dead) {
      return false;
    }
    const replica_key& key = head.engine.record().member_of->replica;
    return std::all_of(head.engine.members().begin(), head.engine.members().end(),
                       [&](const target_id& id) {
                         const engine_process& member = *engines.at(std::string(engine_of(id)));
                         const auto& own = member.engine.record().member_of;
                         return !member.dead && own && own->replica == key;
                       });
  }

  // Whether the replica of this head writes events: a member that is silent holds all others up.
  [[nodiscard]] bool makes_progress(const engine_process& head) const {
    return is_complete(head) && std::none_of(head.engine.members().begin(),
                                             head.engine.members().end(), [&](const target_id& id) {
                                               return silent.contains(std::string(engine_of(id)));
                                             });
  }

  // Waits until the head writes its next event; false if it never will.
  bool wait_for_event(const engine_process& e, const target_id& incarnation,
                      response_writer& writer) {
    // As with real engines, a head that has lost a member stalls without reporting the loss.
    const auto stalls = [&] {
      const std::lock_guard guard(mutex);
      return e.engine.record().id == incarnation && !makes_progress(e);
    };
    // If the engine has restarted, its connections are closed.
    return wait_for(writer, settings.event_gap) && wait_while(writer, stalls) &&
           incarnation_of_process(e) == incarnation;
  }

  void count_run(const http_request& request) {
    const std::lock_guard guard(mutex);
    ++runs[header_text(request, "X-Request-Id")];
    header_violations +=
        request.headers.find("Authorization") || !request.headers.find("X-Tenant") ? 1 : 0;
  }

  void record_arrival(const std::string& at, const http_request& request) {
    const std::string id = header_text(request, "X-Request-Id");
    const time_point now = monotonic_now();
    const std::lock_guard guard(mutex);
    arrivals[at].push_back(now);
    arrived_headers[id].push_back(request.headers);
    restraints.arrived(now, at, id);
    repeats.arrived(now, at == plain_instance_id ? plain_service_name : model_service_name, id);
  }

  // Headers of the answer of `target` to a request that it runs.
  http_headers answer_headers(const std::string& target, const std::string& id) {
    http_headers headers{{"X-Request-Id", id}, {"X-Response-Seal", "seal." + id}};
    const std::lock_guard guard(mutex);
    if (!send_limit.empty()) {
      headers.add("Server-Limit", send_limit);
    }
    add_leaving(headers, target);
    restraints.answered(monotonic_now(), target, id);
    return headers;
  }

  void add_leaving(http_headers& headers, const std::string& target) const {
    if (restraints.behaviour_of(target).is_leaving) {
      headers.add("Server-Leaving", "1");
    }
  }

  // Answers the request without running it if the target turns requests away now.
  bool is_turned_away(const std::string& target, const std::string& id, response_writer& writer) {
    http_headers headers{{"X-Not-Executed", "1"}, {"X-Request-Id", id}};
    {
      const std::lock_guard guard(mutex);
      const target_behaviour behaviour = restraints.behaviour_of(target);
      if (!behaviour.turns_away) {
        return false;
      }
      if (!behaviour.retry_after.empty()) {
        headers.add("Retry-After", behaviour.retry_after);
      }
      add_leaving(headers, target);
      restraints.answered(monotonic_now(), target, id);
    }
    writer.send(503, headers, "");
    return true;
  }

  // Fails a request that has run if the target fails its requests now.
  bool fails_run(const std::string& target, const std::string& id, response_writer& writer) {
    const target_behaviour behaviour = behaviour_of(target);
    if (behaviour.failure_status == 0) {
      return false;
    }
    http_headers headers = answer_headers(target, id);
    if (!behaviour.retry_after.empty()) {
      headers.add("Retry-After", behaviour.retry_after);
    }
    writer.send(behaviour.failure_status, headers, "failed");
    return true;
  }

  [[nodiscard]] target_behaviour behaviour_of(const std::string& target) const {
    const std::lock_guard guard(mutex);
    return restraints.behaviour_of(target);
  }

  void record_engine_of_run(const engine_process& e, const std::string& request) {
    const std::lock_guard guard(mutex);
    engine_of_run[request] = std::string(engine_of(e.engine.record().id));
  }

  void run(engine_process& e, const http_request& request, response_writer& writer) {
    const std::string id = header_text(request, "X-Request-Id");
    const std::string name(engine_of(e.engine.record().id));
    record_arrival(name, request);
    if (is_turned_away(name, id, writer)) {
      return;
    }
    if (!is_open(e)) {
      writer.send(503, {{"X-Not-Executed", "1"}, {"X-Request-Id", id}}, "");
      return;
    }
    const running_stream running(*this, e);
    count_run(request);
    record_engine_of_run(e, id);
    if (behaviour_of(name).closes_connections) {
      close_without_response(writer);
      return;
    }
    if (fails_run(name, id, writer)) {
      return;
    }
    const target_id incarnation = incarnation_of_process(e);
    if (is_poison(request)) {
      run_poison_request(e, request, writer);
      return;
    }
    http_headers headers = answer_headers(name, id);
    headers.add("Content-Type", "text/event-stream");
    writer.start(200, headers);
    if (const std::string text = behaviour_of(name).endless_text; !text.empty()) {
      while (writer.write(text)) {
      }
      return;
    }
    write_events(request, writer, [&] { return wait_for_event(e, incarnation, writer); });
  }

  // Writes the events behind the last one that the caller has. `wait`: until the next event; false
  // if there will be none.
  template <class Wait>
  void write_events(const http_request& request, response_writer& writer, Wait&& wait) const {
    const std::string id = header_text(request, "X-Request-Id");
    const int from = static_cast<int>(header_number(request, "Last-Event-Id", 0));
    for (int i = from + 1; i <= settings.events_per_answer; ++i) {
      if (!wait() || !writer.write("id: " + std::to_string(i) + "\ndata: " + id + "\n\n")) {
        return;
      }
    }
    writer.finish();
  }

  // ---- poison requests: they crash the target that runs them ----

  static bool is_poison(const http_request& request) {
    return request.target.find(poison_path_marker) != std::string::npos;
  }

  // Crashes the process of a server: breaks its connections and closes its port until the process
  // has restarted.
  void crash_process(restartable_server& server, engine_process* engine, const std::string& path) {
    const std::lock_guard guard(mutex);
    const bool already_crashing =
        std::any_of(process_crashes.begin(), process_crashes.end(),
                    [&](const process_crash& p) { return p.server == &server; });
    if (already_crashing) {
      return;
    }
    ++crashes[path];
    silent.set(
        engine == nullptr ? plain_instance_id : std::string(engine_of(engine->engine.record().id)),
        false);
    const time_point now = monotonic_now();
    if (engine != nullptr) {
      engine->dead = true;
      engine->unlist_at = now + unlist_delay;
    }
    process_crashes.push_back({&server, engine, false, now + settings.restart_delay});
  }

  void run_poison_request(engine_process& e, const http_request& request, response_writer& writer) {
    const std::string id = header_text(request, "X-Request-Id");
    writer.start(200, {{"X-Request-Id", id},
                       {"X-Response-Seal", "seal." + id},
                       {"Content-Type", "text/event-stream"}});
    if (!wait_for(writer, settings.crash_delay)) {
      return;
    }
    crash_process(*e.server, &e, request.target);
    wait_for(writer, settings.restart_delay);
  }

  // Restarts the processes whose restart is due. Runs on the refresher and never in a handler of
  // these servers, because closing a server waits for its handlers.
  void restart_crashed_processes() {
    std::vector<restartable_server*> closing;
    {
      const std::lock_guard guard(mutex);
      for (process_crash& p : process_crashes) {
        if (!p.closed) {
          p.closed = true;
          closing.push_back(p.server);
        }
      }
    }
    for (restartable_server* server : closing) {
      server->close();
      set_listening(server->port(), false);
    }
    for (restartable_server* server : finish_restarts()) {
      server->open();
      set_listening(server->port(), true);
    }
  }

  std::vector<restartable_server*> finish_restarts() {
    std::vector<restartable_server*> opening;
    const time_point now = monotonic_now();
    const std::lock_guard guard(mutex);
    std::erase_if(process_crashes, [&](const process_crash& p) {
      if (!p.closed || now < p.starts_at) {
        return false;
      }
      if (p.engine != nullptr) {
        hosted_engine& engine = p.engine->engine;
        restraints.restarted(std::string(engine_of(engine.record().id)));
        engine.restart_as(incarnation_of(engine_of(engine.record().id), ++last_start_stamp));
        p.engine->dead = false;
      } else {
        restraints.restarted(plain_instance_id);
        list_plain_service(++last_start_stamp);
      }
      opening.push_back(p.server);
      return true;
    });
    return opening;
  }

  // ---- the service that is not a model ----

  void list_plain_service(std::uint64_t incarnation) { put_plain_record(incarnation, "ready"); }

  void put_plain_record(std::uint64_t incarnation, const char* reported_state) {
    const json record = {{"service", plain_service_name},
                         {"address", to_string(plain_address())},
                         {"zone", settings.data_centres.front()},
                         {"slots", 6},
                         {"born", incarnation},
                         {"state", reported_state}};
    plain_incarnation = incarnation;
    plain_record = record.dump();
    store.put(targets_table, plain_instance_id, plain_record);
  }

  void serve_plain(const http_request& request, response_writer& writer) {
    silent.wait_while_silent(plain_instance_id);
    const std::string id = header_text(request, "X-Request-Id");
    // A query whether the service lives is no request of a caller and does not run.
    if (id.empty()) {
      writer.send(400, {{"X-Not-Executed", "1"}}, "");
      return;
    }
    record_arrival(plain_instance_id, request);
    if (is_turned_away(plain_instance_id, id, writer)) {
      return;
    }
    count_run(request);
    if (behaviour_of(plain_instance_id).closes_connections) {
      close_without_response(writer);
      return;
    }
    if (fails_run(plain_instance_id, id, writer)) {
      return;
    }
    if (is_poison(request)) {
      wait_for(writer, settings.crash_delay);
      crash_process(*plain, nullptr, request.target);
      wait_for(writer, settings.restart_delay);
      return;
    }
    http_headers headers = answer_headers(plain_instance_id, id);
    if (request.target.starts_with(plain_stream_prefix) ||
        request.target.starts_with(once_plain_stream_prefix)) {
      headers.add("Content-Type", "text/event-stream");
      writer.start(200, headers);
      write_events(request, writer, [&] { return wait_for(writer, settings.event_gap); });
      return;
    }
    writer.send(200, headers, "card " + id);
  }

  // ---- list of targets ----

  std::string record_json(const engine_process& e) {
    const target_record& r = e.engine.record();
    json document = {{"service", r.service.str()},
                     {"address", to_string(r.address)},
                     {"zone", r.data_centre.str()},
                     {"slots", r.slots},
                     {"state", "ready"},
                     {"domain", r.domain.str()}};
    document["staged"] = json::array();
    for (const model_id& m : r.staged) {
      document["staged"].push_back(m.str());
    }
    add_state(document, r.member_of, r.loaded);
    add_start_stamp(document, r.id);
    return document.dump();
  }

  void refresh() {
    const time_point now = monotonic_now();
    const std::lock_guard guard(mutex);
    for (auto& [id, e] : engines) {
      if (e->dead) {
        if (now >= e->unlist_at && !e->listed_record.empty()) {
          e->listed_record.clear();
          store.remove(targets_table, id);
        }
        continue;
      }
      if (silent.contains(id)) {
        continue;
      }
      e->engine.advance(now);
      std::string record = record_json(*e);
      if (record != e->listed_record) {
        store.put(targets_table, id, record);
        e->listed_record = std::move(record);
      }
    }
  }

  fiber_runtime& runtime;
  hosted_platform_settings settings;
  mutable std::mutex mutex;  // guards the data below; never locked while a handler waits
  std::uint64_t config_version = 0;
  std::string newest_configuration;
  std::vector<std::string> route_regions;
  std::vector<std::string> workspace_regions;
  std::map<std::string, std::string> evacuations;  // rows as last written; empty: removed
  std::string plain_record;                        // as last written to the list of targets
  std::uint64_t plain_incarnation = 0;
  std::map<std::string, std::unique_ptr<engine_process>> engines;
  std::map<std::string, int> runs;
  std::map<std::string, std::string> engine_of_run;
  std::map<std::string, int> crashes;  // number of crashes by path of the request
  std::map<std::string, std::vector<time_point>> arrivals;  // arrival times of requests, by target
  std::map<std::string, std::vector<http_headers>> arrived_headers;  // of each arrival, by request
  std::string send_limit;
  restraint_checker restraints;
  repeat_log repeats;
  std::vector<process_crash> process_crashes;
  int header_violations = 0;
  int leave_orders = 0;  // number of orders to leave a replica that reached an engine
  silent_targets silent;
  std::uint64_t last_start_stamp = first_start_stamp;
  hosted_store store;
  std::unique_ptr<http_server> store_server;
  std::unique_ptr<restartable_server> plain;
  std::vector<node_access> nodes;       // nodes with paths of their own
  std::unique_ptr<periodic> refresher;  // last member, since it uses the other members
};

hosted_platform::hosted_platform(fiber_runtime& runtime, const hosted_platform_settings& settings)
    : state_(std::make_unique<state>(runtime, settings)) {
  state& s = *state_;
  s.store_server = std::make_unique<http_server>(
      runtime, socket_address{settings.ip, settings.store_port}, http_server_limits{},
      [&s](const http_request& r, response_writer& w) { s.store.serve(r, w, nullptr); });
  s.plain = std::make_unique<restartable_server>(
      runtime, socket_address{settings.ip, 0},
      [&s](const http_request& r, response_writer& w) { s.serve_plain(r, w); });
  for (const std::string& data_centre : settings.data_centres) {
    for (std::size_t i = 0; i < settings.engines_per_data_centre; ++i) {
      target_record record;
      record.id = incarnation_of("i-" + data_centre + "-" + std::to_string(i), first_start_stamp);
      record.service = service_id{model_service_name};
      record.data_centre = data_centre_id{data_centre};
      record.domain = fabric_domain_id{data_centre + "-d0"};
      auto process = std::make_unique<state::engine_process>(
          state::engine_process{hosted_engine(record, settings.engine), false, {}, {}, nullptr});
      state::engine_process* e = process.get();
      e->server = std::make_unique<restartable_server>(
          runtime, socket_address{settings.ip, 0},
          [&s, e](const http_request& r, response_writer& w) { s.serve_engine(*e, r, w); });
      record.address = {settings.ip, e->server->port()};
      e->engine = hosted_engine(record, settings.engine);
      s.engines.emplace(std::string(engine_of(record.id)), std::move(process));
    }
  }
  for (std::size_t i = 0; i < settings.nodes_with_paths; ++i) {
    s.open_node_access();
  }
  s.list_plain_service(first_start_stamp);
  write_next_configuration();
  s.refresher = std::make_unique<periodic>(runtime, 0, refresh_interval, [&s] {
    s.restart_crashed_processes();
    s.refresh();
  });
}

hosted_platform::~hosted_platform() {
  state_->refresher.reset();
  for (const auto& [id, e] : state_->engines) {
    state_->silent.set(id, false);
  }
  state_->silent.set(plain_instance_id, false);
  state_->store_server.reset();
  state_->nodes.clear();
  state_->plain.reset();
  for (auto& [id, e] : state_->engines) {
    e->server.reset();
  }
}

std::uint16_t hosted_platform::store_port() const {
  return state_->store_server->port();
}

std::size_t hosted_platform::node_count() const {
  return state_->nodes.size();
}

std::uint16_t hosted_platform::store_port(std::size_t node) const {
  return state_->nodes.at(node).store->port();
}

void hosted_platform::set_paths(std::size_t node, path_state paths, const std::string& target) {
  network_paths& all = *state_->nodes.at(node).paths;
  if (target.empty()) {
    all.set_state(paths);
  } else {
    all.set_state(state_->address_of_target(target), paths);
  }
}

void hosted_platform::set_answer(std::size_t node, const faulty_answer& answer,
                                 const std::string& target) {
  network_paths& all = *state_->nodes.at(node).paths;
  if (target.empty()) {
    all.set_answer(answer);
  } else {
    all.set_answer(state_->address_of_target(target), answer);
  }
}

void hosted_platform::write_next_configuration(workspace_list workspaces,
                                               std::size_t extra_routes) {
  const std::lock_guard guard(state_->mutex);
  const hosted_configuration next{++state_->config_version,
                                  workspaces,
                                  extra_routes,
                                  state_->settings.model_max_attempts,
                                  state_->settings.warmup_s,
                                  state_->settings.cold_per_s,
                                  state_->settings.has_urgent_route,
                                  state_->route_regions,
                                  state_->workspace_regions};
  state_->newest_configuration = encode(next);
  state_->store.put(configuration_table, configuration_row, state_->newest_configuration);
}

void hosted_platform::set_evacuated(const std::string& data_centre, bool evacuated) {
  const std::lock_guard guard(state_->mutex);
  const std::string key = evacuation_prefix + data_centre;
  const desired_row row{configuration_table, key, evacuated ? "{}" : ""};
  state_->evacuations[key] = row.value;
  state_->store.write_missing({&row, 1});
}

void hosted_platform::write_allowed_regions(const std::vector<std::string>& of_routes,
                                            const std::vector<std::string>& of_workspace) {
  {
    const std::lock_guard guard(state_->mutex);
    state_->route_regions = of_routes;
    state_->workspace_regions = of_workspace;
  }
  write_next_configuration();
}

std::string hosted_platform::extra_route(std::size_t index) {
  return extra_route_path(index);
}

void hosted_platform::set_store_rate(std::size_t bytes_per_s) {
  state_->store.set_rate(bytes_per_s);
}

void hosted_platform::set_store_down(bool down) {
  state_->store.set_down(down);
}

void hosted_platform::copy_store() {
  const std::lock_guard guard(state_->mutex);
  state_->store.copy();
}

void hosted_platform::restore_store(rewrite written_again,
                                    const std::set<std::string>& lost_tables) {
  const std::lock_guard guard(state_->mutex);
  state_->store.restore(lost_tables, state_->rows_of(written_again));
}

void hosted_platform::write_again() {
  const std::lock_guard guard(state_->mutex);
  state_->store.write_missing(state_->all_rows());
}

void hosted_platform::drop_history() {
  state_->store.drop_history();
}

void hosted_platform::use_up_versions(std::size_t count) {
  for (std::size_t i = 0; i < count; ++i) {
    state_->store.put(unread_table, "row", std::to_string(i));
  }
}

void hosted_platform::drain_plain_service() {
  const std::lock_guard guard(state_->mutex);
  state_->put_plain_record(state_->plain_incarnation, "draining");
}

std::string hosted_platform::find_member(bool head) const {
  const std::lock_guard guard(state_->mutex);
  for (const auto& [id, e] : state_->engines) {
    if (state_->is_complete(*e)) {
      return head ? id : std::string(engine_of(e->engine.members().back()));
    }
  }
  return {};
}

std::string hosted_platform::last_member_beside(const std::string& engine) const {
  const std::lock_guard guard(state_->mutex);
  return std::string(engine_of(state_->engines.at(engine)->engine.members().back()));
}

void hosted_platform::kill_engine(const std::string& id) {
  restartable_server* server = nullptr;
  {
    const std::lock_guard guard(state_->mutex);
    state::engine_process& e = *state_->engines.at(id);
    e.dead = true;
    state_->silent.set(id, false);
    e.unlist_at = monotonic_now() + unlist_delay;
    server = e.server.get();
  }
  server->close();
  state_->set_listening(server->port(), false);
}

void hosted_platform::set_silent(const std::string& id, bool silent) {
  if (!id.empty()) {
    state_->silent.set(id, silent);
    return;
  }
  for (const auto& [engine, e] : state_->engines) {
    state_->silent.set(engine, silent);
  }
}

int hosted_platform::leave_orders() const {
  const std::lock_guard guard(state_->mutex);
  return state_->leave_orders;
}

void hosted_platform::restart_engine(const std::string& id) {
  const std::lock_guard guard(state_->mutex);
  hosted_engine& engine = state_->engines.at(id)->engine;
  state_->restraints.restarted(id);
  engine.restart_as(incarnation_of(id, ++state_->last_start_stamp));
}

void hosted_platform::write_row(const std::string& table, const std::string& key,
                                const std::string& value) {
  state_->store.put(table, key, value);
}

void hosted_platform::write_target_record(const std::string& key, const std::string& value) {
  write_row(targets_table, key, value);
}

std::size_t hosted_platform::count_serving_replicas() const {
  const std::lock_guard guard(state_->mutex);
  std::size_t count = 0;
  for (const auto& [id, e] : state_->engines) {
    count += state_->is_complete(*e) ? 1 : 0;
  }
  return count;
}

std::map<std::string, int> hosted_platform::runs_by_request() const {
  const std::lock_guard guard(state_->mutex);
  return state_->runs;
}

std::string hosted_platform::engine_of_run(const std::string& request) const {
  const std::lock_guard guard(state_->mutex);
  const auto found = state_->engine_of_run.find(request);
  return found == state_->engine_of_run.end() ? std::string{} : found->second;
}

std::size_t hosted_platform::rows_of_table(const std::string& table) const {
  return state_->store.rows_of_table(table);
}

std::map<std::string, int> hosted_platform::crashes_by_path() const {
  const std::lock_guard guard(state_->mutex);
  return state_->crashes;
}

void hosted_platform::set_send_limit(const std::string& value) {
  const std::lock_guard guard(state_->mutex);
  state_->send_limit = value;
}

void hosted_platform::set_behaviour(const std::string& target, const target_behaviour& behaviour) {
  const std::lock_guard guard(state_->mutex);
  state_->restraints.set_behaviour(target, behaviour);
}

std::vector<backoff_window> hosted_platform::broken_backoff_windows() const {
  const std::lock_guard guard(state_->mutex);
  return state_->restraints.broken_windows();
}

std::vector<arrival_after_notice> hosted_platform::arrivals_after_notice() const {
  const std::lock_guard guard(state_->mutex);
  return state_->restraints.arrivals_after_notice();
}

std::map<std::string, std::vector<time_point>> hosted_platform::arrivals() const {
  const std::lock_guard guard(state_->mutex);
  return state_->arrivals;
}

repeat_log::repeats_by_service hosted_platform::repeats() const {
  const std::lock_guard guard(state_->mutex);
  return state_->repeats.repeats();
}

std::vector<http_headers> hosted_platform::arrived_headers(const std::string& request) const {
  const std::lock_guard guard(state_->mutex);
  const auto found = state_->arrived_headers.find(request);
  return found == state_->arrived_headers.end() ? std::vector<http_headers>{} : found->second;
}

int hosted_platform::header_violations() const {
  const std::lock_guard guard(state_->mutex);
  return state_->header_violations;
}

}  // namespace arbutus::standin
