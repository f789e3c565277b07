// The `check` subcommand: reads configurations and node settings as the other commands would, and
// reports every error in one run. It makes no network calls and changes nothing.
#include <algorithm>
#include <filesystem>
#include <optional>
#include <string>
#include <utility>

#include "cli/commands.h"
#include "process/settings.h"
#include "version/import.h"

namespace arbutus {

namespace fs = std::filesystem;

namespace {

struct named_settings {
  node_settings settings;
  std::string file;
};

std::string counted(std::size_t count, const std::string& what) {
  return std::to_string(count) + ' ' + what + (count == 1 ? "" : "s");
}

class checker {
 public:
  void check_path(const fs::path& path) {
    std::error_code error;
    if (fs::is_directory(path, error)) {
      check_directory(path);
    } else if (path.extension() == ".csv") {
      check_inventory(path);
    } else if (path.filename() == rules_file_name) {
      check_rules(path);
    } else {
      check_settings(path);
    }
  }

  // If exactly one configuration is given, checks that each valid file of node settings agrees with
  // the configuration's inventory.
  void compare() {
    if (directories_ != 1 || !assets_) {
      return;
    }
    for (const named_settings& node : settings_) {
      append(compare_settings(node.settings, *assets_, node.file));
    }
  }

  int print(std::ostream& out, bool strict) const {
    for (const finding& problem : problems_) {
      out << problem << '\n';
    }
    const auto errors = count(severity::error);
    const auto warnings = count(severity::warning);
    out << "checked " << counted(directories_, "configuration") << " and "
        << counted(files_, "file") << ": " << counted(errors, "error") << ", "
        << counted(warnings, "warning") << '\n';
    const bool failed = errors > 0 || (strict && warnings > 0);
    return to_status(failed ? exit_code::input_errors : exit_code::ok);
  }

 private:
  void append(findings more) {
    problems_.insert(problems_.end(), std::make_move_iterator(more.begin()),
                     std::make_move_iterator(more.end()));
  }

  std::size_t count(severity level) const {
    const auto matches = [&](const finding& f) { return f.level == level; };
    return static_cast<std::size_t>(std::count_if(problems_.begin(), problems_.end(), matches));
  }

  void check_directory(const fs::path& path) {
    ++directories_;
    import_result result = import_directory(path);
    if (!has_errors(result.problems)) {
      assets_ = std::move(result.assets);
    }
    append(std::move(result.problems));
  }

  std::optional<std::string> text_of(const fs::path& path, std::size_t limit) {
    ++files_;
    return read_text_file(path, limit, problems_);
  }

  void check_inventory(const fs::path& path) {
    if (const auto text = text_of(path, max_inventory_bytes)) {
      append(import_inventory(*text, path.string()).problems);
    }
  }

  void check_rules(const fs::path& path) {
    if (const auto text = text_of(path, max_toml_bytes)) {
      append(import_rules(*text, path.string()).problems);
    }
  }

  void check_settings(const fs::path& path) {
    const auto text = text_of(path, max_toml_bytes);
    if (!text) {
      return;
    }
    settings_result result = load_settings(*text, path.string());
    if (!has_errors(result.problems)) {
      settings_.push_back({std::move(result.settings), path.string()});
    }
    append(std::move(result.problems));
  }

  findings problems_;
  std::optional<inventory> assets_;  // inventory of the last configuration that has no errors
  std::vector<named_settings> settings_;
  std::size_t directories_ = 0;
  std::size_t files_ = 0;
};

}  // namespace

int run_check(const check_options& options, std::ostream& out) {
  checker check;
  for (const std::string& path : options.paths) {
    check.check_path(path);
  }
  check.compare();
  return check.print(out, options.strict);
}

}  // namespace arbutus
