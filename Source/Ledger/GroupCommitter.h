#ifndef ANVIL_LEDGER_GROUPCOMMITTER_H
#define ANVIL_LEDGER_GROUPCOMMITTER_H

#include "Kernel/Clock.h"
#include "TableService/TableTypes.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace anvil {

/// Limits for combining row changes into transactions.
struct GroupCommitOptions {
  /// How long a change waits for others to share its transaction.
  Duration Window_ = std::chrono::milliseconds(3);
  /// Maximum number of changes in one transaction.
  std::size_t BatchRows_ = 100;
  /// Maximum bytes of values in one transaction; a larger change is sent
  /// alone.
  std::size_t BatchBytes_ = 1024 * 1024;
  /// Maximum number of unfinished changes; more are rejected.
  std::size_t MaxQueuedChanges_ = 10000;
  /// How often a change is sent when the result stays ambiguous.
  int AmbiguousAttempts_ = 3;
  /// Transactions that may be sent in a burst before the minimum interval
  /// applies.
  int BurstBatches_ = 8;
};

/// Writes one row if it has the given version, or removes it when there is no
/// value. No two changes have equal values, so a value identifies its change.
struct RowChange {
  std::string Key_;
  std::uint64_t CheckVersion_ = 0;
  std::optional<std::string> Value_;
};

/// The result of a change.
struct ChangeResult {
  std::uint64_t Id_ = 0;
  CommitResult Result_ = CommitResult::Unavailable;
  /// The version written; committed changes only.
  std::uint64_t Version_ = 0;
  /// The row as found in the table; conflicts only.
  TableRow CurrentRow_;
};

/// Combines independent row changes into few transactions (group commit). A
/// change whose version check fails doesn't fail the others of its transaction.
/// After a lost reply the changes are sent again: a row that already holds the
/// change's value was written by the first attempt.
class GroupCommitter {
public:
  /// A transaction to send.
  struct Batch {
    std::uint64_t Id_ = 0;
    TableTransaction Transaction_;
  };

  explicit GroupCommitter(GroupCommitOptions Options) : Options_(Options) {}

  /// Sets the minimum average interval between transactions.
  void setMinBatchInterval(Duration Interval) { MinBatchInterval_ = Interval; }

  /// Queues a change and returns its id; nothing when the queue is full.
  std::optional<std::uint64_t> add(RowChange Change, TimePoint Now);

  /// The next transaction, if one is due.
  std::optional<Batch> takeBatch(TimePoint Now);

  /// When the next transaction is due; nothing when no change is ready to be
  /// sent.
  std::optional<TimePoint> nextDue() const;

  /// Applies the outcome of a transaction and returns the results of the
  /// changes that completed. The others are queued again.
  std::vector<ChangeResult> completeBatch(std::uint64_t BatchId,
                                          const CommitOutcome &Outcome,
                                          TimePoint Now);

  /// The number of changes queued or in flight.
  std::size_t size() const;

private:
  struct PendingChange {
    std::uint64_t Id_ = 0;
    RowChange Change_;
    TimePoint DueAt_{};
    int AmbiguousAttempts_ = 0;
  };

  void resolveConflict(PendingChange &Change, const CommitOutcome &Outcome,
                       TimePoint Now, std::vector<ChangeResult> &Results,
                       std::deque<PendingChange> &Requeued);

  GroupCommitOptions Options_;
  Duration MinBatchInterval_{0};
  /// When the next transaction would be sent at the minimum interval.
  TimePoint NextPacedSend_{};
  std::deque<PendingChange> Queue_;
  std::map<std::uint64_t, std::vector<PendingChange>> InFlight_;
  std::set<std::string> KeysInFlight_;
  std::uint64_t NextId_ = 1;
};

} // namespace anvil

#endif // ANVIL_LEDGER_GROUPCOMMITTER_H
