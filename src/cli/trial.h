// `arbutusworks trial`: the main job with no set-up, in one process.
#pragma once

namespace arbutus {

struct trial_options {
  bool keep_up = false;  // stay for own calls until interrupted
};

// 0 if every promise held.
int run_trial(const trial_options& options);

}  // namespace arbutus
