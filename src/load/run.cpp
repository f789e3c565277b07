// Runs the variants of an experiment and collects their results.
#include "load/run.h"

#include <algorithm>
#include <iterator>
#include <memory>

#include "load/variant_run.h"

namespace arbutus {

namespace {

bool is_chosen(const load_run_options& options, const std::string& name) {
  return options.variant_names.empty() ||
         std::find(options.variant_names.begin(), options.variant_names.end(), name) !=
             options.variant_names.end();
}

}  // namespace

// Each round runs all variants once, so that a temporary load of the machine affects all variants
// alike.
experiment_report run_experiment(const experiment& experiment_spec,
                                 const load_run_options& options) {
  experiment_report report{
      experiment_spec.name, experiment_spec.description, experiment_spec.seed, {}};
  for (std::uint32_t round = 0; round < experiment_spec.rounds; ++round) {
    std::size_t index = 0;
    for (const variant& v : experiment_spec.variants) {
      if (!is_chosen(options, v.name)) {
        continue;
      }
      variant_run run(experiment_spec, v, round);
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
