#ifndef ANVIL_LEDGER_CLAIMCODEC_H
#define ANVIL_LEDGER_CLAIMCODEC_H

#include "Http/HttpMessage.h"
#include "Kernel/Error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace anvil {

/// What a claim's row says of its request.
enum class ClaimState { Running, Answered, AnsweredWithoutBody, Unknown };

inline constexpr std::pair<ClaimState, std::string_view> ClaimStateNames[] = {
    {ClaimState::Running, "running"},
    {ClaimState::Answered, "answered"},
    {ClaimState::AnsweredWithoutBody, "answered_without_body"},
    {ClaimState::Unknown, "unknown"},
};

/// The record of one request that may not be repeated.
struct ClaimRow {
  ClaimState State_ = ClaimState::Running;
  /// SHA-256 of the request, so that a key can't be used for another one.
  std::string Digest_;
  /// The VM that runs it.
  std::string Vm_;
  /// The claim's own id: the incarnation of the VM's process, a slash and the
  /// request's id.
  std::string Incarnation_;
  /// When the row may be removed, in seconds of the Unix clock.
  std::int64_t ExpiresAt_ = 0;
  HttpReply Answer_;
};

std::string encodeClaim(const ClaimRow &Row);
Result<ClaimRow> decodeClaim(std::string_view Text);

} // namespace anvil

#endif // ANVIL_LEDGER_CLAIMCODEC_H
