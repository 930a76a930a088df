#ifndef ANVIL_LEDGER_CLAIMSESSION_H
#define ANVIL_LEDGER_CLAIMSESSION_H

#include "Ledger/ClaimBook.h"
#include "Ledger/GroupCommitter.h"
#include "Requests/Claim.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace anvil {

/// Who claims and what.
struct ClaimRequest {
  std::string Row_;
  std::string Digest_;
  std::string Vm_;
  /// The incarnation of this VM's process.
  std::string Incarnation_;
  std::string RequestId_;
  /// When the row may be removed, in seconds of the Unix clock.
  std::int64_t ExpiresAt_ = 0;
};

/// Asks for the row to be written.
struct WriteClaim {
  RowChange Change_;
};

/// Asks the VM that made a claim where that claim stands.
struct AskClaimant {
  std::string Vm_;
  std::string Id_;
};

/// What a session needs next, or its decision.
using ClaimStep = std::variant<WriteClaim, AskClaimant, Outcome<ClaimDecision>>;

/// Decides about one request that may not be repeated: whether it may run now,
/// and what a resend gets. It does no I/O: each call gives the next step, and
/// the end of that step is given to the next call.
class ClaimSession {
public:
  ClaimSession(ClaimBook &Book, ClaimRequest Request);

  ClaimStep begin();
  ClaimStep writeEnded(const ChangeEnd &End);
  ClaimStep claimantSaid(ClaimantState State);

  /// Whether the claim's write may still arrive although it was refused.
  bool leftTrace() const { return LeftTrace_; }

  /// What the claim's row holds while the request runs.
  const std::string &text() const { return Text_; }

private:
  ClaimStep decideHeld(const HeldClaim &Held) const;
  ClaimStep decideRow(const TableRow &Found);
  ClaimStep refuse(Refusal Given);
  ClaimStep write(std::uint64_t CheckVersion);

  ClaimBook &Book_;
  ClaimRequest Request_;
  std::string Id_;
  std::string Text_;
  /// The version of another's claim that this one may take over.
  std::uint64_t OtherVersion_ = 0;
  ClaimRow Other_;
  int Writes_ = 0;
  bool LeftTrace_ = false;
};

/// What a resend gets that finds a settled row, or the row of a claim whose
/// maker is in `State`. A claim that was never dispatched has no decision.
std::optional<Outcome<ClaimDecision>> decideClaim(const ClaimRow &Known,
                                                  const std::string &Digest,
                                                  ClaimantState State);

/// When to come back after the platform was not reachable.
inline constexpr Duration PlatformRetry = std::chrono::seconds(2);

} // namespace anvil

#endif // ANVIL_LEDGER_CLAIMSESSION_H
