#ifndef ANVIL_STREAMS_COPYHOLDERS_H
#define ANVIL_STREAMS_COPYHOLDERS_H

#include <functional>
#include <string>
#include <vector>

namespace anvil {

/// The VMs that get copies of what a VM remembers of its streams: the next two
/// by name that serve, so that all VMs hold about as many. `Peers` are sorted.
std::vector<std::string>
copyHolders(const std::string &Self, const std::vector<std::string> &Peers,
            const std::function<bool(const std::string &)> &IsServing);

} // namespace anvil

#endif // ANVIL_STREAMS_COPYHOLDERS_H
