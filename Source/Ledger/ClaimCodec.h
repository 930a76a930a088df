#ifndef ANVIL_LEDGER_CLAIMCODEC_H
#define ANVIL_LEDGER_CLAIMCODEC_H

#include "Http/HttpMessage.h"
#include "Kernel/Error.h"

#include <string>
#include <string_view>
#include <utility>

namespace anvil {

/// What a claim's row says of its request.
enum class ClaimState { Running, Answered, Unknown };

inline constexpr std::pair<ClaimState, std::string_view> ClaimStateNames[] = {
    {ClaimState::Running, "running"},
    {ClaimState::Answered, "answered"},
    {ClaimState::Unknown, "unknown"},
};

/// The record of one request that may not be repeated.
struct ClaimRow {
  ClaimState State_ = ClaimState::Running;
  /// SHA-256 of the request, so that a key can't be used for another one.
  std::string Digest_;
  /// The VM that runs it, with the incarnation of its process.
  std::string Vm_;
  std::string Incarnation_;
  HttpReply Answer_;
};

std::string encodeClaim(const ClaimRow &Row);
Result<ClaimRow> decodeClaim(std::string_view Text);

} // namespace anvil

#endif // ANVIL_LEDGER_CLAIMCODEC_H
