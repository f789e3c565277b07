// Proposes a configuration on behalf of an operator.
#include "node/configure.h"

#include <nlohmann/json.hpp>
#include <sstream>

#include "connection/clock.h"
#include "node/error_body.h"
#include "process/config_proposer.h"
#include "version/config_changes.h"
#include "version/import.h"

namespace arbutus {

namespace {

using json = nlohmann::json;

// After this time, the operator gets the answer that the outcome of the proposal is still unknown.
constexpr duration proposal_timeout = 10s;
constexpr duration pause_between_reads = 200ms;
// How long to wait until an accepted version is in force on the node that proposed it.
constexpr duration in_force_timeout = 3s;
constexpr duration view_poll_interval = 10ms;

struct change {
  std::uint64_t base{};
  proposal_id id;
  std::string inventory;
  std::string rules;
};

void send_json(response_writer& writer, int status, const json& body) {
  http_headers headers;
  headers.add("content-type", "application/json");
  writer.send(status, headers, body.dump(-1, ' ', false, json::error_handler_t::replace));
}

void refuse(response_writer& writer, int status, std::string code, std::string message) {
  call_error error;
  error.status = status;
  error.code = std::move(code);
  error.message = std::move(message);
  send_error(writer, error);
}

std::optional<change> parse_change(const std::string& text) {
  const json body = json::parse(text, nullptr, false);
  const auto is_text = [&](const char* key) { return body.contains(key) && body[key].is_string(); };
  if (!body.is_object() || !is_text("proposal") || !is_text("inventory") || !is_text("rules") ||
      !body.contains("base_version") || !body["base_version"].is_number_unsigned()) {
    return std::nullopt;
  }
  return change{body["base_version"].get<std::uint64_t>(),
                proposal_id{body["proposal"].get<std::string>()},
                body["inventory"].get<std::string>(), body["rules"].get<std::string>()};
}

json findings_json(const findings& list) {
  json result = json::array();
  for (const finding& f : list) {
    std::ostringstream text;
    text << f;
    result.push_back(text.str());
  }
  return result;
}

json head_json(const std::optional<config_head>& head) {
  if (!head) {
    return nullptr;
  }
  return {{"version", head->version},
          {"hash", head->hash},
          {"proposal", head->proposals.empty() ? "" : head->proposals.front().str()}};
}

outcome<head_row> read_head_row(platform_client& platform) {
  const auto row =
      platform.read({std::string(config_head_key)}, monotonic_now() + platform_timeout);
  return match(
      row,
      [](const table_row& r) -> outcome<head_row> {
        if (r.version == 0) {
          return head_row{};
        }
        const auto head = decode_head(r.value);
        if (const auto* known = std::get_if<config_head>(&head)) {
          return head_row{*known, r.version};
        }
        return unknown{"the head row is damaged"};
      },
      [](const refused& r) -> outcome<head_row> { return r; },
      [](const unknown& u) -> outcome<head_row> { return u; });
}

// Encoded configurations (see encode_content) from which the differences that the operator is shown
// are computed.
struct change_contents {
  std::string base;  // what the operator's change is based on; empty: not available
  std::string proposed;
};

// Executes the steps of one proposal and answers the operator.
class proposal_run {
 public:
  proposal_run(platform_client& platform, control& core, response_writer& writer,
               config_proposer proposer, change_contents contents)
      : platform_(platform),
        core_(core),
        writer_(writer),
        proposer_(std::move(proposer)),
        contents_(std::move(contents)) {}

  void run() {
    const time_point deadline = monotonic_now() + proposal_timeout;
    proposal_step step = proposer_.start();
    while (!answered_) {
      const bool out_of_time = monotonic_now() >= deadline;
      step = std::visit([&](const auto& s) { return carry_out(s, out_of_time); }, step);
    }
  }

 private:
  proposal_step carry_out(const put_config_content& s, bool) {
    return proposer_.put_result(
        platform_.put({s.name, s.content}, monotonic_now() + platform_timeout));
  }

  proposal_step carry_out(const write_config_head& s, bool) {
    const table_write write{std::string(config_head_key), encode(s.head), s.expected_row_version};
    const auto result = platform_.write(write, monotonic_now() + platform_timeout);
    return proposer_.write_result(match(
        result, [](const table_written& w) -> outcome<std::uint64_t> { return w.version; },
        [](const refused& r) -> outcome<std::uint64_t> { return r; },
        [](const unknown& u) -> outcome<std::uint64_t> { return u; }));
  }

  proposal_step carry_out(const read_config_head&, bool) {
    return proposer_.read_result(read_head_row(platform_));
  }

  proposal_step carry_out(const proposal_accepted& s, bool) {
    // Reports all differences between the proposal and its base version, so that an operator who
    // did not read that version notices this.
    const json changes = contents_.base.empty()
                             ? json::array()
                             : json(changes_between(contents_.base, contents_.proposed));
    answer(200, {{"version", s.version},
                 {"in_force_here", wait_in_force(s.version)},
                 {"changed", changes}});
    return s;
  }

  proposal_step carry_out(const proposal_conflict& s, bool) {
    answer(409, {{"current", head_json(s.current)}, {"changed", changed(s.current)}});
    return s;
  }

  // Waits until this node holds the accepted version, before the operator is notified. Guards
  // against the loss of an accepted version when the table is restored from an old copy right after
  // the write, before any node has read it: a node that holds the version repairs the table.
  bool wait_in_force(std::uint64_t version) {
    core_.post(
        [](time_point, coordinator&) { return effects{table_read{std::string(config_head_key)}}; });
    const time_point deadline = monotonic_now() + in_force_timeout;
    while (monotonic_now() < deadline) {
      const std::shared_ptr<const node_view> view = core_.view();
      if (view->config && view->config->version >= version) {
        return true;
      }
      sleep_until(monotonic_now() + view_poll_interval);
    }
    return false;
  }

  // The changes made by the other operator. If the content of the base is not available, the
  // differences to the proposed content, which mix the changes of both operators.
  json changed(const std::optional<config_head>& current) {
    if (!current) {
      return json::array();
    }
    const auto content = platform_.get({current->hash}, monotonic_now() + platform_timeout);
    if (!is_ok(content)) {
      return json::array();
    }
    const bool has_base = !contents_.base.empty();
    return changes_between(has_base ? contents_.base : contents_.proposed,
                           std::get<std::string>(content));
  }

  proposal_step carry_out(const proposal_failed& s, bool) {
    answer(503, {{"error", {{"type", "not_run"}, {"message", s.reason}}}});
    return s;
  }

  proposal_step carry_out(const proposal_unresolved& s, bool out_of_time) {
    if (out_of_time) {
      answer(502, {{"error", {{"type", "unknown"}, {"message", s.reason}}}});
      return s;
    }
    sleep_until(monotonic_now() + pause_between_reads);
    return proposer_.read_back();
  }

  void answer(int status, const json& body) {
    send_json(writer_, status, body);
    answered_ = true;
  }

  platform_client& platform_;
  control& core_;
  response_writer& writer_;
  config_proposer proposer_;
  change_contents contents_;
  bool answered_ = false;
};

}  // namespace

void serve_configure(platform_client& platform, control& core, const http_request& request,
                     response_writer& writer) {
  const std::shared_ptr<const node_view> view = core.view();
  const std::uint64_t known = view->config ? view->config->version : 0;
  if (request.method == "GET") {
    send_json(writer, 200, {{"version", known}});
    return;
  }
  if (request.method != "POST") {
    refuse(writer, 405, "method_not_allowed", "use GET or POST");
    return;
  }
  const std::optional<change> requested = parse_change(request.body);
  if (!requested) {
    refuse(writer, 400, "invalid_change",
           "expected base_version, proposal, inventory and rules as JSON");
    return;
  }
  const import_result imported =
      import_texts(requested->inventory, std::string(inventory_file_name), requested->rules,
                   std::string(rules_file_name));
  if (has_errors(imported.problems)) {
    send_json(writer, 422, {{"findings", findings_json(imported.problems)}});
    return;
  }
  const std::string base_content =
      view->config ? encode_content(view->config->assets, view->config->desired) : std::string{};
  change_contents contents;
  contents.base = known == requested->base ? base_content : std::string{};
  contents.proposed = encode_content(imported.assets, imported.desired);
  config_proposer proposer(requested->id, contents.proposed, requested->base, known, base_content);
  proposal_run(platform, core, writer, std::move(proposer), std::move(contents)).run();
}

}  // namespace arbutus
