#ifndef ANVIL_GATEWAY_FORWARDING_H
#define ANVIL_GATEWAY_FORWARDING_H

#include "Http/HttpMessage.h"
#include "Requests/RequestContext.h"

namespace anvil {

/// The headers that a target may see of a caller's request. The caller's key is
/// not among them, under whatever name it came.
HttpHeaders headersForTarget(const HttpRequest &Given,
                             const RequestContext &Request);

/// The headers of a target's answer that go back to the caller.
HttpHeaders headersForCaller(const HttpHeaders &Given,
                             const RequestContext &Request);

} // namespace anvil

#endif // ANVIL_GATEWAY_FORWARDING_H
