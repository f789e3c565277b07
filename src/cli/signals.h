// Waiting for the signals that end a command.
#pragma once

namespace arbutus {

// To be called before any thread starts, so that none of them takes the signals.
void block_end_signals();

// Waits for SIGINT or SIGTERM and returns which came.
int wait_for_end_signal();

enum class signal_kind { end, reload };

// The same with SIGHUP, for a command that reads its settings again.
void block_signals();
[[nodiscard]] signal_kind wait_for_signal();

}  // namespace arbutus
