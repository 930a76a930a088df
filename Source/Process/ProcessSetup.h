#ifndef ANVIL_PROCESS_PROCESSSETUP_H
#define ANVIL_PROCESS_PROCESSSETUP_H

namespace anvil {

/// Has to be the first call of a serving process. Writes to a closed pipe or
/// a full file fail from then on and don't end the process. SIGHUP, SIGTERM and
/// SIGINT are held back until `admitSignals`. Standard descriptors that are
/// closed lead to /dev/null, so that no socket gets their numbers.
void prepareProcess();

/// Lets the held signals through to the handlers that are installed by now.
void admitSignals();

} // namespace anvil

#endif // ANVIL_PROCESS_PROCESSSETUP_H
