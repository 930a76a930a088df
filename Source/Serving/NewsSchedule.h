#ifndef ANVIL_SERVING_NEWSSCHEDULE_H
#define ANVIL_SERVING_NEWSSCHEDULE_H

#include "Kernel/Clock.h"

#include <cstddef>

namespace anvil {

/// How often a VM tells its news to so many others. The period grows with
/// their number, so that what a VM sends and reads a second doesn't.
Duration newsPeriod(std::size_t Listeners);

/// For how long news count that are told again after `Period`: two of them may
/// be lost or late.
Duration newsTime(Duration Period);

/// For how long a data centre counts as one that hears this VM, after one of
/// its VMs has told at `Period`. Shorter, since both sides of a cut spend whole
/// rates until it ends; several VMs tell, so that one may be lost.
Duration reachTime(Duration Period);

} // namespace anvil

#endif // ANVIL_SERVING_NEWSSCHEDULE_H
