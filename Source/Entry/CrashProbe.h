#ifndef ANVIL_ENTRY_CRASHPROBE_H
#define ANVIL_ENTRY_CRASHPROBE_H

#include <string>

namespace anvil {

struct TargetChoice;
struct RequestServices;

/// Finds out, beside the caller, whether a target that broke off a request has
/// crashed. If so, requests are kept off it and the request's digest is noted
/// as one that was running then.
void probeAfterFailure(RequestServices &Shared, const TargetChoice &Lost,
                       const std::string &Digest);

/// Keeps requests off a target that can't be reached, and tries it from time
/// to time until it can be, or is no longer listed.
void excludeTarget(RequestServices &Shared, const TargetChoice &Unreachable);

} // namespace anvil

#endif // ANVIL_ENTRY_CRASHPROBE_H
