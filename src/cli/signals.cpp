// Waits for the signals that end a command or make it reload its settings.
#include "cli/signals.h"

#include <csignal>

namespace arbutus {

namespace {

sigset_t termination_signals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  return signals;
}

}  // namespace

void block_termination_signals() {
  const sigset_t signals = termination_signals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

int wait_for_termination_signal() {
  const sigset_t signals = termination_signals();
  int received = 0;
  sigwait(&signals, &received);
  return received;
}

void block_signals() {
  sigset_t signals = termination_signals();
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

signal_kind wait_for_signal() {
  sigset_t signals = termination_signals();
  sigaddset(&signals, SIGHUP);
  int received = 0;
  sigwait(&signals, &received);
  return received == SIGHUP ? signal_kind::reload : signal_kind::end;
}

}  // namespace arbutus
