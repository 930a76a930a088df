#ifndef ANVIL_SERVING_UPDATESCHEDULE_H
#define ANVIL_SERVING_UPDATESCHEDULE_H

#include "Kernel/Clock.h"

#include <cstddef>

namespace anvil {

/// The interval of a VM's state updates to `Receivers` others. It grows with
/// their number, so that the bytes that a VM sends and receives per second do
/// not grow as well.
Duration updatePeriod(std::size_t Receivers);

/// How long an update that is repeated every `Period` is valid: two updates may
/// be lost or late.
Duration updateValidity(Duration Period);

/// How long a data centre counts as able to reach this VM after a summary that
/// one of its VMs sends every `Period`. Shorter than `updateValidity`, since
/// both sides of a network partition spend at the full rates until this time
/// has passed; one summary may be lost, as several VMs send them.
Duration reachabilityTimeout(Duration Period);

} // namespace anvil

#endif // ANVIL_SERVING_UPDATESCHEDULE_H
