// Waits for the signals that end a command or make it reload its settings.
#pragma once

namespace arbutus {

// Blocks SIGINT and SIGTERM. Must be called before any thread starts, so that no thread receives
// them.
void block_termination_signals();

// Waits for SIGINT or SIGTERM and returns the signal received.
int wait_for_termination_signal();

enum class signal_kind { end, reload };

// Block and wait for SIGINT, SIGTERM and also SIGHUP, for a command that reloads its settings on
// SIGHUP.
void block_signals();
[[nodiscard]] signal_kind wait_for_signal();

}  // namespace arbutus
