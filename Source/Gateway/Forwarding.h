#ifndef ANVIL_GATEWAY_FORWARDING_H
#define ANVIL_GATEWAY_FORWARDING_H

#include "Http/HttpMessage.h"
#include "Requests/RequestContext.h"

namespace anvil {

/// The headers of a request to a target: the allowed headers of the caller's
/// request, and this system's own. The caller's key is never forwarded.
HttpHeaders headersForTarget(const HttpRequest &Given,
                             const RequestContext &Request);

/// The headers of a response to the caller: the allowed headers of the target's
/// response, and this system's own.
HttpHeaders headersForCaller(const HttpHeaders &Given,
                             const RequestContext &Request);

} // namespace anvil

#endif // ANVIL_GATEWAY_FORWARDING_H
