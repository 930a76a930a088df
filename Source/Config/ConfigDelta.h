#ifndef ANVIL_CONFIG_CONFIGDELTA_H
#define ANVIL_CONFIG_CONFIGDELTA_H

#include "Config/ConfigMessages.h"
#include "Objects/ObjectSet.h"
#include "Objects/SetDigest.h"

namespace anvil {

/// The set that a peer's answer leads to from a base with that digest. Null
/// when a change can't be read, or when the digest is not the one that the peer
/// named. The whole set was checked when it was published.
SnapshotPtr applyPulledChanges(const ConfigSnapshot &Base, SetDigest BaseDigest,
                               const ConfigPullReply &Reply);

/// The whole set in a peer's answer; null when there is none or its digest is
/// not the one that the peer named.
SnapshotPtr readPulledSnapshot(const ConfigPullReply &Reply);

} // namespace anvil

#endif // ANVIL_CONFIG_CONFIGDELTA_H
