// Waiting for the signals that end a command.
#pragma once

namespace arbutus {

// To be called before any thread starts, so that none of them takes the signals.
void block_end_signals();

// Waits for SIGINT or SIGTERM and returns which came.
int wait_for_end_signal();

}  // namespace arbutus
