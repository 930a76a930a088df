#ifndef ANVIL_PLACEMENT_ENGINECODEC_H
#define ANVIL_PLACEMENT_ENGINECODEC_H

#include "Http/HttpMessage.h"
#include "Kernel/Error.h"
#include "Requests/RequestContext.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace anvil {

/// The header that carries the fencing token of an order.
inline constexpr std::string_view FencingHeader = "X-Fencing-Token";

/// An adapter version in an engine's memory.
struct ResidentAdapter {
  /// As `adapter@version`.
  std::string Name_;
  std::int64_t Running_ = 0;
};

/// An engine's status as reported by itself; it may lag behind.
struct EngineStatus {
  std::string Incarnation_;
  std::int64_t Running_ = 0;
  std::int64_t Waiting_ = 0;
  std::vector<ResidentAdapter> Resident_;
};

/// The order to load an adapter version.
HttpRequest encodeLoadOrder(const AdapterRef &Adapter,
                            const std::string &Weights,
                            std::uint64_t FencingToken);

/// The order to unload an adapter version.
HttpRequest encodeUnloadOrder(const AdapterRef &Adapter,
                              std::uint64_t FencingToken);

/// Decodes the outcome of an order. Errors: refused (old fencing token), too
/// large (no room), not found (no weights), unavailable (the load failed).
Status decodeOrderReply(const HttpReply &Reply);

std::string encodeEngineStatus(const EngineStatus &Status);
Result<EngineStatus> decodeEngineStatus(std::string_view Text);

} // namespace anvil

#endif // ANVIL_PLACEMENT_ENGINECODEC_H
