// The `load` subcommand: runs an experiment, shows its progress and writes the results to files.
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

#include "cli/commands.h"
#include "load/report.h"
#include "load/run.h"

namespace arbutus {

namespace {

namespace fs = std::filesystem;

std::optional<std::string> read_file(const std::string& path) {
  const std::ifstream in(path, std::ios::binary);
  if (!in) {
    return std::nullopt;
  }
  std::ostringstream text;
  text << in.rdbuf();
  return std::move(text).str();
}

void write_file(const fs::path& path, const std::string& text) {
  std::ofstream out(path, std::ios::binary);
  out << text;
  out.close();
  if (!out) {
    throw std::runtime_error("cannot write " + path.string());
  }
}

// Progress line of a load run that overwrites itself; shown on a terminal only.
class progress_line {
 public:
  explicit progress_line(bool shown) : shown_(shown) {}
  ~progress_line() {
    if (shown_) {
      std::cerr << "\r\033[K" << std::flush;
    }
  }
  progress_line(const progress_line&) = delete;
  progress_line& operator=(const progress_line&) = delete;

  void show(const load_progress& p) const {
    if (!shown_) {
      return;
    }
    std::ostringstream line;
    line << "\r\033[K" << p.variant << " round " << p.round << ": " << std::fixed
         << std::setprecision(1) << p.elapsed_seconds << " of " << p.planned_seconds << " s, "
         << p.begun_calls << " calls, " << p.begun_calls - p.ended_calls << " running, "
         << p.incomplete_calls << " not whole";
    std::cerr << line.str() << std::flush;
  }

 private:
  bool shown_;
};

void write_results(const fs::path& directory, const experiment_report& report) {
  fs::create_directories(directory);
  write_file(directory / (report.name + ".json"), json_report(report));
  write_file(directory / (report.name + ".html"), html_report(report));
  std::ostringstream text;
  print_report(text, report);
  write_file(directory / (report.name + ".txt"), std::move(text).str());
}

}  // namespace

int run_load(const load_options& options, std::ostream& out) {
  const auto text = read_file(options.experiment_file);
  if (!text) {
    std::cerr << "arbutusworks: cannot read " << options.experiment_file << '\n';
    return to_status(exit_code::input_errors);
  }
  experiment_result loaded = load_experiment(*text, options.experiment_file);
  for (const finding& problem : loaded.problems) {
    std::cerr << problem << '\n';
  }
  if (has_errors(loaded.problems)) {
    return to_status(exit_code::input_errors);
  }
  if (options.seed != 0) {
    loaded.value.seed = options.seed;
  }
  const progress_line line(::isatty(STDERR_FILENO) != 0);
  load_run_options run_options;
  run_options.variant_names = options.variants;
  run_options.on_progress = [&line](const load_progress& p) { line.show(p); };
  const experiment_report report = run_experiment(loaded.value, run_options);
  if (!options.out_directory.empty()) {
    write_results(options.out_directory, report);
  }
  if (options.json) {
    out << json_report(report) << '\n';
  } else {
    print_report(out, report);
  }
  return to_status(report.passed() ? exit_code::ok : exit_code::failure);
}

}  // namespace arbutus
