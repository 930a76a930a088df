#ifndef ANVIL_ENTRY_CRASHPROBE_H
#define ANVIL_ENTRY_CRASHPROBE_H

#include <string>

namespace anvil {

struct Pick;
struct RequestServices;

/// Finds out, beside the caller, whether a target that broke off a request has
/// crashed. If so, requests are kept off it and the request's digest is noted
/// as one that was running then.
void probeAfterLoss(RequestServices &Shared, const Pick &Lost,
                    const std::string &Digest);

} // namespace anvil

#endif // ANVIL_ENTRY_CRASHPROBE_H
