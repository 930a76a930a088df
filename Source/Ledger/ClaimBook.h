#ifndef ANVIL_LEDGER_CLAIMBOOK_H
#define ANVIL_LEDGER_CLAIMBOOK_H

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

/// Where a claim of this VM stands.
enum class ClaimPhase {
  /// Its row is being written; nothing was dispatched.
  Claiming,
  /// Its row holds; the request may be on a target.
  Running,
  /// It ended and its end is not recorded yet.
  Ended,
};

/// What the VM that made a claim says of it.
enum class ClaimantState {
  /// It runs, or it ended and will be recorded.
  Running,
  /// It was never dispatched and never will be.
  NotRunning,
  /// The process that made it is gone.
  Gone,
  /// The VM gave no answer.
  NoAnswer,
};

/// A claim that this VM holds.
struct HeldClaim {
  std::string Id_;
  std::string Digest_;
  ClaimPhase Phase_ = ClaimPhase::Claiming;
  /// The version of its row; from `Running` on.
  std::uint64_t Version_ = 0;
  /// How it ended; `Ended` only.
  ClaimRow End_;
  /// What is to be written: nothing gives the claim back.
  std::optional<std::string> EndText_;
};

/// The claims of this VM's process that are not settled in the table. Nothing
/// leaves it before its end is recorded, so a claim of this process that is not
/// in the book never runs.
class ClaimBook {
public:
  /// Notes a claim before its row is written. False when the row has one.
  bool begin(const std::string &Row, std::string Id, std::string Digest);

  /// The row holds: from now on the request may be dispatched.
  void confirm(const std::string &Row, std::uint64_t Version);

  /// The claim was not won and is never dispatched.
  void abandon(const std::string &Row);

  /// Notes how a running claim ended and what its row is to become.
  void finish(const std::string &Row, ClaimRow End,
              std::optional<std::string> EndText);

  /// The end is in the table.
  void settle(const std::string &Row);

  /// The claim that this VM holds on a row, or null.
  const HeldClaim *find(const std::string &Row) const;

  /// What this VM says of the claim `Id`, which its process has made.
  ClaimantState lookUp(const std::string &Row, const std::string &Id) const;

  /// The ended claims that are not recorded.
  std::vector<std::string> unrecorded() const;

  /// The bytes that wait to be recorded.
  std::size_t unrecordedBytes() const { return UnrecordedBytes_; }

private:
  std::map<std::string, HeldClaim> Claims_;
  std::size_t UnrecordedBytes_ = 0;
};

} // namespace anvil

#endif // ANVIL_LEDGER_CLAIMBOOK_H
