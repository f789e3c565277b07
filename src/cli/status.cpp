// The `status` subcommand: prints the state known to each node, as text or as JSON.
#include <algorithm>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "cli/admin_client.h"
#include "cli/commands.h"

namespace arbutus {

namespace {

using json = nlohmann::json;

constexpr int status_ok = 200;

std::string seconds(const json& value) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(0) << value.get<double>() << " s";
  return out.str();
}

std::string joined(const json& list) {
  std::string text;
  for (const json& item : list) {
    text += (text.empty() ? "" : " ") + item.get<std::string>();
  }
  return text.empty() ? "-" : text;
}

void print_nodes(std::ostream& out, const json& view) {
  out << "  nodes\n";
  for (const json& n : view.at("nodes")) {
    out << "    " << std::left << std::setw(18) << n.at("node").get<std::string>()
        << (n.at("live").get<bool>() ? "live  " : "dead  ")
        << (n.at("leaving").get<bool>() ? "stopping  " : "") << "configuration "
        << n.at("config_version") << " for " << seconds(n.at("config_seconds")) << ", assignment "
        << n.at("assignment_version") << '\n';
  }
}

void print_replicas(std::ostream& out, const json& view) {
  const json& list = view.at("replicas");
  const auto serving = std::count_if(list.begin(), list.end(),
                                     [](const json& r) { return r.at("serving").get<bool>(); });
  out << "  replicas: " << serving << " of " << list.size() << " serve\n";
  for (const json& r : list) {
    out << "    " << std::left << std::setw(32) << r.at("replica").get<std::string>()
        << (r.at("serving").get<bool>() ? "serves  " : "DARK    ") << joined(r.at("members"))
        << "  standbys " << joined(r.at("standbys"));
    if (!r.at("serving").get<bool>()) {
      out << "  because " << r.at("why_not").get<std::string>();
    }
    out << '\n';
  }
}

void print_list(std::ostream& out, const json& list, const char* title, const char* name,
                const char* why) {
  if (list.empty()) {
    return;
  }
  out << "  " << title << '\n';
  for (const json& item : list) {
    out << "    " << std::left << std::setw(32) << item.at(name).get<std::string>()
        << (item.at(why).is_string() ? item.at(why).get<std::string>()
                                     : "waits for " + joined(item.at(why)))
        << '\n';
  }
}

void print_view(std::ostream& out, const json& view) {
  out << "seen by " << view.at("node").get<std::string>() << ": table "
      << (view.at("table_reachable").get<bool>() ? "reachable" : "AWAY") << " for "
      << seconds(view.at("table_seconds")) << ", configuration " << view.at("config_version")
      << ", assignment " << view.at("assignment_version") << '\n';
  print_nodes(out, view);
  print_replicas(out, view);
  print_list(out, view.at("stranded"), "stranded VMs", "vm", "reason");
  print_list(out, view.at("drains"), "draining", "replica", "waiting_for");
  for (const json& reason : view.at("unmet")) {
    out << "  not met: " << reason.get<std::string>() << '\n';
  }
  out << '\n';
}

}  // namespace

int run_status(const status_options& options, std::ostream& out) {
  admin_client nodes;
  bool all_answered = true;
  json collected = json::array();
  for (const endpoint& node : options.nodes) {
    const call_result result =
        nodes.call(node, "GET", "/admin/status", options.key, {}, options.timeout);
    const json view = result.ok() && result.response.status == status_ok
                          ? json::parse(result.response.body, nullptr, false)
                          : json{};
    if (!view.is_object()) {
      all_answered = false;
      std::cerr << "status: " << to_string(node) << ": "
                << (result.ok() ? "status " + std::to_string(result.response.status)
                                : std::string(to_string(result.failure)))
                << '\n';
    } else if (options.json) {
      collected.push_back(view);
    } else {
      print_view(out, view);
    }
  }
  if (options.json) {
    out << collected.dump(2) << '\n';
  }
  return to_status(all_answered ? exit_code::ok : exit_code::failure);
}

}  // namespace arbutus
