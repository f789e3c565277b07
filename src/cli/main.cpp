// The one binary. Provisional: only `trial`.
#include <string_view>

#include "cli/trial.h"

int main(int argc, char** argv) {
  arbutus::trial_options options;
  options.keep_up = argc > 2 && std::string_view(argv[2]) == "--keep-up";
  return arbutus::run_trial(options);
}
