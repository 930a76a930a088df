#ifndef ANVIL_LEDGER_CLAIMREGISTRY_H
#define ANVIL_LEDGER_CLAIMREGISTRY_H

#include "Ledger/ClaimCodec.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace anvil {

/// The phase of a claim held by this VM.
enum class ClaimPhase {
  /// Its row is being written; the request was not dispatched.
  Claiming,
  /// Its row is committed; the request may have been dispatched.
  Running,
  /// The request ended; its outcome is not in the table yet.
  Ended,
};

/// The state of a claim as reported by the VM that owns it.
enum class ClaimOwnerState {
  /// The request is running, or ended and its outcome will be recorded.
  Running,
  /// The request was not dispatched and never will be.
  NotRunning,
  /// The process that made the claim has terminated.
  Terminated,
  /// The VM did not reply.
  NoReply,
};

/// A claim held by this VM.
struct HeldClaim {
  std::string Id_;
  std::string Digest_;
  ClaimPhase Phase_ = ClaimPhase::Claiming;
  /// The version of its row; set from `Running` on.
  std::uint64_t Version_ = 0;
  /// The row with the outcome; `Ended` only.
  ClaimRow FinalRow_;
  /// The value to write to the row; no value removes it and releases the
  /// claim.
  std::optional<std::string> FinalValue_;
};

/// Holds the claims of this VM's process whose outcome is not in the table yet.
/// A claim stays until its outcome is recorded, so a claim of this process that
/// is not held here is not running and never will be.
class ClaimRegistry {
public:
  /// Adds a claim before its row is written. False when the row already has
  /// one.
  bool begin(const std::string &Row, std::string Id, std::string Digest);

  /// Records that the row is committed; the request may now be dispatched.
  void confirm(const std::string &Row, std::uint64_t Version);

  /// Drops a claim that was not acquired; its request is never dispatched.
  void abandon(const std::string &Row);

  /// Records the outcome of a running claim and the value to write to its row.
  void recordOutcome(const std::string &Row, ClaimRow End,
                     std::optional<std::string> FinalValue);

  /// Drops a claim whose outcome is in the table.
  void markRecorded(const std::string &Row);

  /// The claim that this VM holds on a row, or null.
  const HeldClaim *find(const std::string &Row) const;

  /// The state of the claim `Id`, which this process made.
  ClaimOwnerState stateOf(const std::string &Row, const std::string &Id) const;

  /// The rows of ended claims whose outcome is not recorded.
  std::vector<std::string> unrecordedRows() const;

  /// The size of the outcomes that are not recorded, in bytes.
  std::size_t unrecordedBytes() const { return UnrecordedBytes_; }

private:
  std::map<std::string, HeldClaim> Claims_;
  std::size_t UnrecordedBytes_ = 0;
};

} // namespace anvil

#endif // ANVIL_LEDGER_CLAIMREGISTRY_H
