#ifndef ANVIL_ENTRY_CRASHPROBE_H
#define ANVIL_ENTRY_CRASHPROBE_H

#include "Routing/PartReport.h"

#include <string>
#include <vector>

namespace anvil {

struct TargetChoice;
struct RequestServices;

/// Checks in the background whether a target that broke off a request has
/// crashed. If so, records that a request with this digest and these parts of
/// its prompt was running when it crashed. A target that only this VM can't
/// connect to hasn't crashed.
void probeAfterFailure(RequestServices &Shared, const TargetChoice &Lost,
                       const std::string &Digest, std::vector<PartId> Parts);

} // namespace anvil

#endif // ANVIL_ENTRY_CRASHPROBE_H
