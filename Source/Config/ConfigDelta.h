#ifndef ANVIL_CONFIG_CONFIGDELTA_H
#define ANVIL_CONFIG_CONFIGDELTA_H

#include "Config/ConfigMessages.h"
#include "Objects/ObjectSet.h"
#include "Objects/SetDigest.h"

namespace anvil {

/// Applies the changes of a peer's reply to a base set with the given digest.
/// Null when a change cannot be decoded or the resulting digest differs from
/// the reply's. The objects are not validated again: the publisher has done so.
SnapshotPtr applyPulledChanges(const ConfigSnapshot &Base, SetDigest BaseDigest,
                               const ConfigPullReply &Reply);

/// Decodes the full snapshot of a peer's reply. Null when the reply has none or
/// its digest differs from the reply's.
SnapshotPtr readPulledSnapshot(const ConfigPullReply &Reply);

} // namespace anvil

#endif // ANVIL_CONFIG_CONFIGDELTA_H
