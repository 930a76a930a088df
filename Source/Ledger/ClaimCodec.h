#ifndef ANVIL_LEDGER_CLAIMCODEC_H
#define ANVIL_LEDGER_CLAIMCODEC_H

#include "Http/HttpMessage.h"
#include "Kernel/Error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace anvil {

/// The state of a request as stored in its claim's row.
enum class ClaimState { Running, Answered, AnsweredWithoutBody, Unknown };

inline constexpr std::pair<ClaimState, std::string_view> ClaimStateNames[] = {
    {ClaimState::Running, "running"},
    {ClaimState::Answered, "answered"},
    {ClaimState::AnsweredWithoutBody, "answered_without_body"},
    {ClaimState::Unknown, "unknown"},
};

/// The stored record of one request that must not be repeated.
struct ClaimRow {
  ClaimState State_ = ClaimState::Running;
  /// SHA-256 of the request; detects reuse of its key for another request.
  std::string Digest_;
  /// The VM that made the claim and runs the request.
  std::string Vm_;
  /// The claim's id: `incarnation of the VM's process/request id`.
  std::string Incarnation_;
  /// When the row may be removed, in seconds since the Unix epoch.
  std::int64_t ExpiresAt_ = 0;
  HttpReply Reply_;
};

std::string encodeClaim(const ClaimRow &Row);
Result<ClaimRow> decodeClaim(std::string_view Text);

} // namespace anvil

#endif // ANVIL_LEDGER_CLAIMCODEC_H
