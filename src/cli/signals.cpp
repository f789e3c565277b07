// Waits for the signals that end a command or make it reload its settings.
#include "cli/signals.h"

#include <csignal>

namespace arbutus {

namespace {

sigset_t end_signals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  return signals;
}

}  // namespace

void block_end_signals() {
  const sigset_t signals = end_signals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

int wait_for_end_signal() {
  const sigset_t signals = end_signals();
  int received = 0;
  sigwait(&signals, &received);
  return received;
}

void block_signals() {
  sigset_t signals = end_signals();
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

signal_kind wait_for_signal() {
  sigset_t signals = end_signals();
  sigaddset(&signals, SIGHUP);
  int received = 0;
  sigwait(&signals, &received);
  return received == SIGHUP ? signal_kind::reload : signal_kind::end;
}

}  // namespace arbutus
