// Experiments, run.
#include "load/run.h"

#include <algorithm>
#include <iterator>
#include <memory>

#include "load/variant_run.h"

namespace arbutus {

namespace {

bool is_chosen(const load_run_options& options, const std::string& name) {
  return options.only.empty() ||
         std::find(options.only.begin(), options.only.end(), name) != options.only.end();
}

}  // namespace

// Round by round, so that a machine that is busy for a while is so for all variants alike.
experiment_report run_experiment(const experiment& what, const load_run_options& options) {
  experiment_report report{what.name, what.description, what.seed, {}};
  for (std::uint32_t round = 0; round < what.rounds; ++round) {
    std::size_t index = 0;
    for (const variant& v : what.variants) {
      if (!is_chosen(options, v.name)) {
        continue;
      }
      variant_run run(what, v, round);
      variant_result result = run.run(options.on_progress);
      if (round == 0) {
        report.variants.push_back(std::move(result));
      } else {
        report.variants[index] += result;
      }
      ++index;
    }
  }
  return report;
}

}  // namespace arbutus
