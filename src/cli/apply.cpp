// The `apply` subcommand: proposes a configuration through a node. After a lost reply it sends the
// request again with the same proposal id, which the nodes never apply twice.
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

#include "cli/admin_client.h"
#include "cli/commands.h"
#include "connection/clock.h"
#include "version/import.h"

namespace arbutus {

namespace {

using json = nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_unauthorized = 401;
constexpr int status_conflict = 409;
constexpr int status_unprocessable = 422;
constexpr duration version_query_timeout = 3s;

struct configuration_texts {
  std::string inventory;
  std::string rules;
};

std::optional<configuration_texts> read_configuration_files(const std::string& directory,
                                                            findings& problems) {
  const std::filesystem::path root(directory);
  const auto inventory = read_text_file(root / inventory_file_name, max_inventory_bytes, problems);
  const auto rules = read_text_file(root / rules_file_name, max_toml_bytes, problems);
  if (!inventory || !rules) {
    return std::nullopt;
  }
  const import_result imported = import_texts(*inventory, (root / inventory_file_name).string(),
                                              *rules, (root / rules_file_name).string());
  problems.insert(problems.end(), imported.problems.begin(), imported.problems.end());
  return configuration_texts{*inventory, *rules};
}

std::string new_proposal() {
  std::random_device device;
  std::ostringstream out;
  out << std::hex << wall_now().milliseconds << '-' << device() << device();
  return out.str();
}

int fail(exit_code code, const std::string& message) {
  std::cerr << "apply: " << message << '\n';
  return to_status(code);
}

std::uint64_t number_in(const json& body, const char* key) {
  return body.is_object() && body.contains(key) && body[key].is_number_unsigned()
             ? body[key].get<std::uint64_t>()
             : 0;
}

class proposal_client {
 public:
  proposal_client(const apply_options& options, configuration_texts content, std::ostream& out)
      : options_(options), content_(std::move(content)), out_(out) {
    proposal_ = options.proposal.empty() ? new_proposal() : options.proposal;
  }

  int run() {
    std::uint64_t base = options_.base_version;
    if (base == 0) {
      const auto known = newest_version();
      if (!known) {
        return fail(exit_code::unreachable, "no node answered; nothing was changed");
      }
      base = *known;
    }
    if (options_.dry_run) {
      out_ << "the configuration is valid; it would be proposed on version " << base << '\n';
      return to_status(exit_code::ok);
    }
    return propose(base);
  }

 private:
  std::optional<std::uint64_t> newest_version() {
    std::optional<std::uint64_t> newest;
    for (const endpoint& node : options_.nodes) {
      const call_result result =
          nodes_.call(node, "GET", "/admin/configuration", options_.key, {}, version_query_timeout);
      if (result.ok() && result.response.status == status_ok) {
        const json body = json::parse(result.response.body, nullptr, false);
        newest = std::max(newest.value_or(0), number_in(body, "version"));
      }
    }
    return newest;
  }

  // Every attempt carries the same proposal id, so retrying at another node after a lost reply is
  // safe.
  int propose(std::uint64_t base) {
    const std::string body = json{
        {"base_version", base},
        {"proposal", proposal_},
        {"inventory", content_.inventory},
        {"rules",
         content_.rules}}.dump(-1, ' ', false, json::error_handler_t::replace);
    const time_point deadline = monotonic_now() + options_.timeout;
    bool may_have_arrived = false;
    while (monotonic_now() < deadline) {
      for (const endpoint& node : options_.nodes) {
        const call_result result = nodes_.call(node, "POST", "/admin/configuration", options_.key,
                                               body, deadline - monotonic_now());
        if (result.ok()) {
          if (const auto status = handle_response(result.response)) {
            return *status;
          }
        }
        may_have_arrived = may_have_arrived || result.outcome != call_outcome::not_sent;
        if (monotonic_now() >= deadline) {
          break;
        }
      }
      if (!may_have_arrived) {
        return fail(exit_code::unreachable, "no node could be reached; nothing was changed");
      }
    }
    return fail(exit_code::unknown,
                "no reply in time; the change may have been accepted. To find out, "
                "run the command again with --proposal " +
                    proposal_ + " --base " + std::to_string(base));
  }

  // Returns the exit status of the command, or nothing if the proposal's outcome is still unknown
  // and the request has to be sent again.
  std::optional<int> handle_response(const http_response& response) {
    const json body = json::parse(response.body, nullptr, false);
    switch (response.status) {
      case status_ok:
        print_accepted(body);
        return to_status(exit_code::ok);
      case status_conflict:
        return conflict(body);
      case status_unauthorized:
        return fail(exit_code::failure, "the node refused the operators' key; nothing was changed");
      case status_unprocessable:
        for (const json& f : body.value("findings", json::array())) {
          std::cerr << f.get<std::string>() << '\n';
        }
        return to_status(exit_code::input_errors);
      default:
        return std::nullopt;
    }
  }

  void print_accepted(const json& body) {
    out_ << "accepted as version " << number_in(body, "version")
         << (body.value("in_force_here", false)
                 ? ", in force on the node that accepted it\n"
                 : ", not yet in force on the node that accepted it\n");
    // The list of changed items is printed to standard error, so that standard output is the same
    // for a repeated proposal, whose response lists no changes.
    for (const json& line : body.value("changed", json::array())) {
      std::cerr << "  " << line.get<std::string>() << '\n';
    }
  }

  int conflict(const json& body) {
    std::ostringstream text;
    const json current = body.value("current", json{});
    text << "another configuration was accepted meanwhile: version "
         << number_in(current, "version") << ". None of your changes was applied.";
    for (const json& line : body.value("changed", json::array())) {
      text << "\n  " << line.get<std::string>();
    }
    return fail(exit_code::conflict, text.str());
  }

  const apply_options& options_;
  configuration_texts content_;
  std::ostream& out_;
  std::string proposal_;
  admin_client nodes_;
};

}  // namespace

int run_apply(const apply_options& options, std::ostream& out) {
  findings problems;
  auto content = read_configuration_files(options.directory, problems);
  for (const finding& f : problems) {
    std::cerr << f << '\n';
  }
  if (!content || has_errors(problems)) {
    return to_status(exit_code::input_errors);
  }
  return proposal_client(options, std::move(*content), out).run();
}

}  // namespace arbutus
