#ifndef ANVIL_LEDGER_CLAIMSESSION_H
#define ANVIL_LEDGER_CLAIMSESSION_H

#include "Ledger/ClaimRegistry.h"
#include "Ledger/GroupCommitter.h"
#include "Requests/Claim.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace anvil {

/// The parameters of a claim.
struct ClaimRequest {
  std::string Row_;
  std::string Digest_;
  std::string Vm_;
  /// The incarnation of this VM's process.
  std::string Incarnation_;
  std::string RequestId_;
  /// When the row may be removed, in seconds since the Unix epoch.
  std::int64_t ExpiresAt_ = 0;
};

/// Step: write the claim's row.
struct WriteClaim {
  RowChange Change_;
};

/// Step: query the state of a claim from the VM that made it.
struct QueryClaimOwner {
  std::string Vm_;
  std::string Id_;
};

/// The next step that the caller has to carry out, or the decision.
using ClaimStep =
    std::variant<WriteClaim, QueryClaimOwner, Outcome<ClaimDecision>>;

/// State machine that claims one request which must not be repeated: decides
/// whether it may run now and what a resend receives. Does no I/O: each call
/// returns the next step, and its result is passed to the next call.
class ClaimSession {
public:
  ClaimSession(ClaimRegistry &Registry, ClaimRequest Request);

  ClaimStep begin();
  ClaimStep onWriteCompleted(const ChangeResult &Result);
  ClaimStep claimOwnerReplied(ClaimOwnerState State);

  /// Whether the claim was refused but its write may still take effect.
  bool hasUnconfirmedWrite() const { return HasUnconfirmedWrite_; }

  /// The value of the claim's row while the request runs.
  const std::string &rowValue() const { return RowValue_; }

private:
  ClaimStep decideFromHeldClaim(const HeldClaim &Held) const;
  ClaimStep decideFromRow(const TableRow &Current);
  ClaimStep refuse(Refusal Reason);
  ClaimStep write(std::uint64_t CheckVersion);

  ClaimRegistry &Registry_;
  ClaimRequest Request_;
  std::string Id_;
  std::string RowValue_;
  /// The version of the row found; another claim's, which this one may
  /// replace.
  std::uint64_t FoundVersion_ = 0;
  ClaimRow FoundRow_;
  int Writes_ = 0;
  bool HasUnconfirmedWrite_ = false;
};

/// What a resend receives that finds a row with an outcome, or the row of a
/// running claim whose owner reports `State`. No decision when the claim found
/// was never dispatched.
std::optional<Outcome<ClaimDecision>> decideClaim(const ClaimRow &Existing,
                                                  const std::string &Digest,
                                                  ClaimOwnerState State);

/// The retry delay given to callers when the platform is unreachable.
inline constexpr Duration PlatformRetryDelay = std::chrono::seconds(2);

} // namespace anvil

#endif // ANVIL_LEDGER_CLAIMSESSION_H
