#include "Process/ProcessSetup.h"

#include <array>
#include <csignal>

#include <fcntl.h>
#include <unistd.h>

namespace anvil {

static constexpr std::array<int, 3> HeldSignals{SIGHUP, SIGTERM, SIGINT};
static constexpr std::array<int, 2> FailedWriteSignals{SIGPIPE, SIGXFSZ};

static void maskHeldSignals(int Operation) {
  sigset_t Mask;
  ::sigemptyset(&Mask);
  for (int Number : HeldSignals)
    ::sigaddset(&Mask, Number);
  ::pthread_sigmask(Operation, &Mask, nullptr);
}

void prepareProcess() {
  maskHeldSignals(SIG_BLOCK);
  for (int Number : FailedWriteSignals)
    ::signal(Number, SIG_IGN);
  // `open` returns the lowest number that is free.
  int Opened = 0;
  do
    Opened = ::open("/dev/null", O_RDWR);
  while (Opened >= 0 && Opened <= STDERR_FILENO);
  if (Opened > STDERR_FILENO)
    ::close(Opened);
}

void admitSignals() { maskHeldSignals(SIG_UNBLOCK); }

} // namespace anvil
