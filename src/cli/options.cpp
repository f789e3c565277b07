// Parses the command line with Boost.Program_options; `specs` has one entry for each subcommand.
#include "cli/options.h"

#include <algorithm>
#include <array>
#include <boost/program_options.hpp>
#include <cmath>
#include <cstdlib>
#include <sstream>
#include <stdexcept>
#include <string_view>

#include "version/field_text.h"

namespace arbutus {

namespace {

namespace po = boost::program_options;

using strings = std::vector<std::string>;

// Thrown for an option value that Boost.Program_options accepts but the subcommand does not.
struct usage_error : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// ---- values ----

endpoint endpoint_from(const std::string& text, std::string_view option) {
  const auto parsed = parse_endpoint(text);
  if (!parsed) {
    throw usage_error("--" + std::string(option) + ": " + quoted_for_message(text) +
                      " is no valid endpoint; " + std::string(endpoint_expected));
  }
  return *parsed;
}

std::vector<endpoint> endpoints_of(const po::variables_map& values, const char* option) {
  std::vector<endpoint> result;
  for (const std::string& text : values[option].as<strings>()) {
    result.push_back(endpoint_from(text, option));
  }
  return result;
}

double positive(const po::variables_map& values, const char* option) {
  constexpr double max_value = 1e6;
  const double value = values[option].as<double>();
  if (!std::isfinite(value) || value <= 0 || value > max_value) {
    throw usage_error("--" + std::string(option) + ": expected a number above 0, at most 1000000");
  }
  return value;
}

duration seconds_of(const po::variables_map& values, const char* option) {
  return from_seconds(positive(values, option));
}

// Boost would parse "-1" for an unsigned option as a huge number, so numeric options are parsed as
// signed and checked here.
std::uint64_t non_negative_integer(const po::variables_map& values, const char* option) {
  const auto value = values[option].as<std::int64_t>();
  if (value < 0) {
    throw usage_error("--" + std::string(option) + ": expected a whole number from 0");
  }
  return static_cast<std::uint64_t>(value);
}

std::uint64_t seed_of(const po::variables_map& values) {
  return non_negative_integer(values, "seed");
}

po::typed_value<std::string>* text() {
  return po::value<std::string>();
}

po::typed_value<double>* number(double fallback, const char* shown) {
  return po::value<double>()->default_value(fallback, shown);
}

po::typed_value<std::int64_t>* count_value(std::int64_t fallback) {
  return po::value<std::int64_t>()->default_value(fallback);
}

std::string text_or_empty(const po::variables_map& values, const char* option) {
  return values.count(option) != 0 ? values[option].as<std::string>() : std::string();
}

// ---- subcommands ----

void add_node(po::options_description& add) {
  add.add_options()("settings", text()->required()->value_name("FILE"), "settings of this node");
}

command make_node(const po::variables_map& values) {
  return node_options{values["settings"].as<std::string>()};
}

void add_platform(po::options_description& add) {
  add.add_options()("data-centre", po::value<strings>()->required()->value_name("NAME"),
                    "data centres of the engines; the first has the plain service")(
      "engines", count_value(9)->value_name("N"), "number of engines in each data centre")(
      "store-port", count_value(0)->value_name("PORT"), "port of the store; 0: any free port")(
      "event-gap", number(0.02, "0.02")->value_name("SECONDS"),
      "time between the events of a streamed answer")(
      "control-port", count_value(0)->value_name("PORT"),
      "port of the interface for commands that inject faults, for tests; 0: none");
}

command make_platform(const po::variables_map& values) {
  constexpr std::uint64_t max_engines = 100;
  constexpr std::uint64_t max_port = 65535;
  const std::uint64_t engines = non_negative_integer(values, "engines");
  const std::uint64_t port = non_negative_integer(values, "store-port");
  const std::uint64_t control = non_negative_integer(values, "control-port");
  if (engines == 0 || engines > max_engines) {
    throw usage_error("--engines: expected 1 to 100");
  }
  if (port > max_port || control > max_port) {
    throw usage_error("--store-port, --control-port: expected 0 to 65535");
  }
  return platform_options{values["data-centre"].as<strings>(), static_cast<std::uint32_t>(engines),
                          static_cast<std::uint16_t>(port), static_cast<std::uint16_t>(control),
                          seconds_of(values, "event-gap")};
}

command make_hosted(const po::variables_map& values) {
  return hosted_options{values["settings"].as<std::string>()};
}

void add_explain(po::options_description& add) {
  add.add_options()("words", po::value<strings>()->required()->value_name("ID FILE"),
                    "a request's id, then log files; without one, standard input");
}

command make_explain(const po::variables_map& values) {
  strings words = values["words"].as<strings>();
  explain_options options;
  options.request = words.front();
  words.erase(words.begin());
  options.files = std::move(words);
  return options;
}

void add_outcomes(po::options_description& add) {
  add.add_options()("files", po::value<strings>()->value_name("FILE"),
                    "log files; without one, standard input")(
      "window", po::value<int>()->default_value(2)->value_name("SECONDS"),
      "time that one output line covers");
}

command make_outcomes(const po::variables_map& values) {
  outcomes_options options;
  options.window = std::chrono::seconds(std::max(1, values["window"].as<int>()));
  if (values.count("files") > 0) {
    options.files = values["files"].as<strings>();
  }
  return options;
}

void add_check(po::options_description& add) {
  add.add_options()("path", po::value<strings>()->required()->value_name("DIR|FILE"),
                    "configuration directories, or files")(
      "strict", po::bool_switch(), "treat warnings as errors (exit status 3)");
}

command make_check(const po::variables_map& values) {
  return check_options{values["path"].as<strings>(), values["strict"].as<bool>()};
}

// Reads the operators' key, also from an environment variable, since arguments are visible in the
// list of processes.
std::string operator_key(const po::variables_map& values) {
  if (values.count("key") != 0) {
    return values["key"].as<std::string>();
  }
  const char* from_environment = std::getenv("ARBUTUSWORKS_KEY");
  return from_environment == nullptr ? std::string() : from_environment;
}

void add_apply(po::options_description& add) {
  add.add_options()("directory", text()->required()->value_name("DIR"),
                    "inventory.csv and rules.toml")(
      "node", po::value<strings>()->required()->value_name("IP:PORT"),
      "nodes to propose through, tried in turn")("key", text()->value_name("KEY"),
                                                 "the operators' key; else from ARBUTUSWORKS_KEY")(
      "base", count_value(0)->value_name("N"),
      "version the change was made on; 0: the one in force")(
      "proposal", text()->value_name("ID"), "id of an earlier attempt whose outcome is unknown")(
      "dry-run", po::bool_switch(), "show what would change, change nothing")(
      "timeout", number(30, "30")->value_name("SECONDS"), "give up after this time");
}

command make_apply(const po::variables_map& values) {
  apply_options options;
  options.directory = values["directory"].as<std::string>();
  options.nodes = endpoints_of(values, "node");
  options.key = operator_key(values);
  options.base_version = non_negative_integer(values, "base");
  options.proposal = text_or_empty(values, "proposal");
  options.dry_run = values["dry-run"].as<bool>();
  options.timeout = seconds_of(values, "timeout");
  return options;
}

void add_status(po::options_description& add) {
  add.add_options()("node", po::value<strings>()->required()->value_name("IP:PORT"),
                    "nodes to query, by their endpoints for callers")(
      "key", text()->value_name("KEY"), "the operators' key; else from ARBUTUSWORKS_KEY")(
      "json", po::bool_switch(), "print JSON")("timeout", number(2, "2")->value_name("SECONDS"),
                                               "time limit for each node");
}

command make_status(const po::variables_map& values) {
  return status_options{endpoints_of(values, "node"), operator_key(values),
                        values["json"].as<bool>(), seconds_of(values, "timeout")};
}

void add_bench(po::options_description& add) {
  add.add_options()("filter", text()->value_name("TEXT"),
                    "run only parts with this text in the name")(
      "full", po::bool_switch(), "print all figures and the long tables")(
      "seconds", number(1, "1")->value_name("SECONDS"),
      "duration of each measurement of connections, with --full")(
      "seed", count_value(1)->value_name("N"), "seed of the random numbers");
}

command make_bench(const po::variables_map& values) {
  return bench_options{text_or_empty(values, "filter"), values["full"].as<bool>(),
                       seconds_of(values, "seconds"), seed_of(values)};
}

void add_load(po::options_description& add) {
  add.add_options()("experiment", text()->required()->value_name("FILE"),
                    "what to run: an experiment (TOML)")(
      "out", text()->value_name("DIR"), "write the results there: text, JSON and HTML")(
      "variant", po::value<strings>()->value_name("NAME"), "run only these variants")(
      "seed", count_value(0)->value_name("N"),
      "seed of the random numbers; 0: the seed in the file")("json", po::bool_switch(),
                                                             "print JSON");
}

command make_load(const po::variables_map& values) {
  load_options options;
  options.experiment_file = values["experiment"].as<std::string>();
  options.out_directory = text_or_empty(values, "out");
  if (values.count("variant") != 0) {
    options.variants = values["variant"].as<strings>();
  }
  options.seed = seed_of(values);
  options.json = values["json"].as<bool>();
  return options;
}

void add_trial(po::options_description& add) {
  add.add_options()("keep-up", po::bool_switch(),
                    "keep the fleet running for your own calls until interrupted");
}

command make_trial(const po::variables_map& values) {
  return trial_options{values["keep-up"].as<bool>()};
}

void add_standin(po::options_description& add) {
  add.add_options()("directory", text()->required()->value_name("DIR"),
                    "configuration whose targets to simulate")(
      "settings", text()->required()->value_name("FILE"),
      "settings of any node, for the platform's endpoints")("only", text()->value_name("PART"),
                                                            "one of platform, engines, services")(
      "seed", count_value(1)->value_name("N"), "seed of the random numbers");
}

command make_standin(const po::variables_map& values) {
  standin_options options;
  options.directory = values["directory"].as<std::string>();
  options.settings_file = values["settings"].as<std::string>();
  options.seed = seed_of(values);
  const std::string only = text_or_empty(values, "only");
  if (!only.empty() && only != "platform" && only != "engines" && only != "services") {
    throw usage_error("--only: " + quoted_for_message(only) +
                      " is not known; expected platform, engines or services");
  }
  options.platform = only.empty() || only == "platform";
  options.engines = only.empty() || only == "engines";
  options.services = only.empty() || only == "services";
  return options;
}

struct command_spec {
  std::string_view name;
  std::string_view summary;
  std::string_view arguments;   // text that the help shows after the subcommand's name
  std::string_view positional;  // name of the option that takes the positional arguments
  int positional_count;         // maximum number of positional arguments; -1: any number
  void (*add)(po::options_description&);
  command (*make)(const po::variables_map&);
  std::string_view examples;
};

constexpr std::array<command_spec, 12> specs = {{
    {"node", "Run a node in front of the targets, until SIGTERM.", "FILE", "settings", 1, add_node,
     make_node, "  arbutusworks node examples/small/nodes/lab-a-node-1.toml\n"},
    {"hosted", "Run a node on a platform that stores configuration and targets, until SIGTERM.",
     "FILE", "settings", 1, add_node, make_hosted,
     "  arbutusworks hosted /etc/arbutusworks/node.toml\n"},
    {"platform",
     "Stand in for a platform that stores configuration and targets, until interrupted.", "NAME...",
     "data-centre", -1, add_platform, make_platform,
     "  arbutusworks platform lab-a lab-b --store-port 23900\n"},
    {"explain", "Show the timeline of a request, from the log lines of all nodes.", "ID [FILE...]",
     "words", -1, add_explain, make_explain,
     "  arbutusworks explain 4f1d22a07c9be853 /var/log/arbutusworks/*.log\n"
     "  zcat old/*.gz | arbutusworks explain 4f1d22a07c9be853\n"},
    {"outcomes", "Show how requests ended over time, from the log lines of all nodes.", "[FILE...]",
     "files", -1, add_outcomes, make_outcomes,
     "  arbutusworks outcomes /var/log/arbutusworks/*.log\n"
     "  arbutusworks outcomes --window 10 < evening.log\n"},
    {"check", "Check configurations and node settings; report every error with its location.",
     "DIR|FILE...", "path", -1, add_check, make_check,
     "  arbutusworks check examples/odtok\n"
     "  arbutusworks check examples/odtok examples/odtok/nodes/*.toml\n"},
    {"apply", "Propose a configuration; if another change came first, show what it changed.",
     "DIR --node IP:PORT...", "directory", 1, add_apply, make_apply,
     "  arbutusworks apply examples/small --node 127.0.0.1:23400 --key example-operator\n"},
    {"status", "Show what nodes know: configuration, replicas, targets.", "IP:PORT...", "node", -1,
     add_status, make_status,
     "  arbutusworks status 127.0.0.1:23400 127.0.0.1:23402 --key example-operator\n"},
    {"bench", "Benchmark the decisions, without a network; prints a signature of them.", "", "", 0,
     add_bench, make_bench, "  arbutusworks bench\n  arbutusworks bench --filter planner --full\n"},
    {"load", "Run an experiment: calls and faults, latencies and violated guarantees.", "FILE",
     "experiment", 1, add_load, make_load,
     "  arbutusworks load experiments/overload.toml\n"
     "  arbutusworks load experiments/overload.toml --variant double --out build/experiments\n"},
    {"trial", "Run nodes, platform and targets in this process and test the main functions.", "",
     "", 0, add_trial, make_trial, "  arbutusworks trial\n  arbutusworks trial --keep-up\n"},
    {"standin", "Stand in for the platform and the targets of a configuration.",
     "DIR --settings FILE", "directory", 1, add_standin, make_standin,
     "  arbutusworks standin examples/small --settings "
     "examples/small/nodes/lab-a-node-1.toml\n"},
}};

// ---- help ----

std::string overview() {
  std::ostringstream out;
  out << "Serves models whose replicas span several VMs.\n\n"
         "Usage: arbutusworks COMMAND [OPTION...]\n\nCommands:\n";
  for (const command_spec& spec : specs) {
    out << "  " << spec.name << std::string(10 - spec.name.size(), ' ') << spec.summary << '\n';
  }
  out << "\n  arbutusworks COMMAND --help   explains a command\n"
         "  arbutusworks --version        prints the version\n\n"
         "Exit status: 0 done, 1 failed, 2 wrong command line, 3 errors in the input,\n"
         "4 conflict with another change, 5 not done since unreachable, 6 unknown.\n\n"
         "Examples:\n"
         "  arbutusworks trial\n"
         "  arbutusworks check examples/odtok\n";
  return out.str();
}

po::options_description options_of(const command_spec& spec) {
  po::options_description options("Options");
  spec.add(options);
  options.add_options()("help,h", "print this help");
  return options;
}

std::string usage_of(const command_spec& spec) {
  std::string text = "Usage: arbutusworks " + std::string(spec.name);
  if (!spec.arguments.empty()) {
    text += ' ' + std::string(spec.arguments);
  }
  return text + " [OPTION...]\n";
}

std::string help_of(const command_spec& spec) {
  std::ostringstream out;
  out << spec.summary << "\n\n" << usage_of(spec) << '\n' << options_of(spec) << '\n';
  out << "Examples:\n" << spec.examples;
  return out.str();
}

early_exit usage_exit(const std::string& message, const std::string& hint) {
  return {to_status(exit_code::usage), "arbutusworks: " + message + '\n' + hint};
}

early_exit unknown_command(const std::string& name) {
  std::vector<std::string_view> names;
  names.reserve(specs.size());
  for (const command_spec& spec : specs) {
    names.push_back(spec.name);
  }
  const finding problem = unknown_name_finding({}, "command", name, names);
  return usage_exit(problem.message, "Commands are listed by: arbutusworks --help\n");
}

// ---- parsing ----

// Abbreviated option names are rejected: a prefix that is unique now may become ambiguous or match
// another option later.
constexpr int option_style =
    po::command_line_style::default_style & ~po::command_line_style::allow_guessing;

std::string unknown_option_message(const po::options_description& options,
                                   const std::string& given) {
  std::vector<std::string> names;
  names.reserve(options.options().size());
  for (const auto& option : options.options()) {
    names.push_back("--" + option->long_name());
  }
  const std::vector<std::string_view> candidates(names.begin(), names.end());
  return unknown_name_finding({}, "option", given, candidates).message;
}

std::string missing_option_message(const command_spec& spec, const std::string& given) {
  const bool positional = given == "--" + std::string(spec.positional);
  return positional ? "an argument is missing" : "option \"" + given + "\" is missing";
}

std::variant<command, early_exit> parse_with(const command_spec& spec, const strings& arguments) {
  const bool help = std::any_of(arguments.begin(), arguments.end(),
                                [](const std::string& a) { return a == "--help" || a == "-h"; });
  if (help) {
    return early_exit{to_status(exit_code::ok), help_of(spec)};
  }
  const po::options_description options = options_of(spec);
  try {
    po::positional_options_description positional;
    if (!spec.positional.empty()) {
      positional.add(std::string(spec.positional).c_str(), spec.positional_count);
    }
    po::variables_map values;
    po::store(po::command_line_parser(arguments)
                  .options(options)
                  .positional(positional)
                  .style(option_style)
                  .run(),
              values);
    po::notify(values);
    return spec.make(values);
  } catch (const po::unknown_option& e) {
    return usage_exit(unknown_option_message(options, e.get_option_name()), usage_of(spec));
  } catch (const po::required_option& e) {
    return usage_exit(missing_option_message(spec, e.get_option_name()), usage_of(spec));
  } catch (const po::error& e) {
    return usage_exit(e.what(), usage_of(spec));
  } catch (const usage_error& e) {
    return usage_exit(e.what(), usage_of(spec));
  }
}

}  // namespace

std::variant<command, early_exit> parse_command_line(const strings& arguments) {
  if (arguments.empty()) {
    return usage_exit("no command is given", '\n' + overview());
  }
  const std::string& first = arguments.front();
  if (first == "--version") {
    return early_exit{to_status(exit_code::ok), "arbutusworks " ARBUTUS_VERSION "\n"};
  }
  const auto find = [](const std::string& name) {
    return std::find_if(specs.begin(), specs.end(),
                        [&](const command_spec& s) { return s.name == name; });
  };
  const bool help_requested = first == "--help" || first == "-h" || first == "help";
  if (help_requested && arguments.size() == 1) {
    return early_exit{to_status(exit_code::ok), overview()};
  }
  const std::string& name = help_requested ? arguments[1] : first;
  const auto spec = find(name);
  if (spec == specs.end()) {
    return unknown_command(name);
  }
  if (help_requested) {
    return early_exit{to_status(exit_code::ok), help_of(*spec)};
  }
  return parse_with(*spec, {arguments.begin() + 1, arguments.end()});
}

}  // namespace arbutus
