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

/// How row changes are put together to transactions.
struct GroupCommitOptions {
  /// How long a change waits for others to join it.
  Duration Window_ = std::chrono::milliseconds(3);
  /// The most changes of one transaction.
  std::size_t BatchRows_ = 100;
  /// The most bytes of values of one transaction; a larger change goes alone.
  std::size_t BatchBytes_ = 1024 * 1024;
  /// Changes that may wait; more are turned away.
  std::size_t WaitingRows_ = 10000;
  /// Times that a transaction is sent when its answers are lost.
  int AmbiguousTries_ = 3;
  /// Transactions that may go out ahead of the even pace.
  int BurstBatches_ = 8;
};

/// One row that must have a version and is then written, or removed when there
/// is no value. Values of two changes differ, so a change knows its own.
struct RowChange {
  std::string Key_;
  std::uint64_t CheckVersion_ = 0;
  std::optional<std::string> Value_;
};

/// How a change ended.
struct ChangeEnd {
  std::uint64_t Id_ = 0;
  CommitResult Result_ = CommitResult::Unavailable;
  /// The version written; committed changes only.
  std::uint64_t Version_ = 0;
  /// The row as it stands; conflicts only.
  TableRow Found_;
};

/// Puts independent row changes together to few transactions. A change whose
/// check fails doesn't fail the others of its transaction. A lost answer is
/// resolved by sending the same transaction again: rows that already hold this
/// change's value took effect the first time.
class GroupCommitter {
public:
  /// A transaction to send.
  struct Batch {
    std::uint64_t Id_ = 0;
    TableTransaction Transaction_;
  };

  explicit GroupCommitter(GroupCommitOptions Options) : Options_(Options) {}

  /// Sets the least time between two transactions over a longer span.
  void setPace(Duration Gap) { Gap_ = Gap; }

  /// Takes a change in and gives its id; nothing when too many wait.
  std::optional<std::uint64_t> add(RowChange Change, TimePoint Now);

  /// The next transaction that is due.
  std::optional<Batch> takeBatch(TimePoint Now);

  /// When `takeBatch` can next give something; nothing when nothing waits that
  /// could go.
  std::optional<TimePoint> nextDue() const;

  /// Takes the end of a transaction and gives the changes that ended by it.
  /// The others wait again.
  std::vector<ChangeEnd> batchEnded(std::uint64_t BatchId,
                                    const CommitOutcome &Outcome,
                                    TimePoint Now);

  /// The changes that wait or are under way.
  std::size_t size() const;

private:
  struct Waiting {
    std::uint64_t Id_ = 0;
    RowChange Change_;
    TimePoint Due_{};
    int AmbiguousTries_ = 0;
  };

  void endConflict(Waiting &Change, const CommitOutcome &Outcome, TimePoint Now,
                   std::vector<ChangeEnd> &Ended, std::deque<Waiting> &Again);

  GroupCommitOptions Options_;
  Duration Gap_{0};
  /// When the next transaction would go out at the even pace.
  TimePoint Pace_{};
  std::deque<Waiting> Queue_;
  std::map<std::uint64_t, std::vector<Waiting>> InFlight_;
  std::set<std::string> KeysInFlight_;
  std::uint64_t NextId_ = 1;
};

} // namespace anvil

#endif // ANVIL_LEDGER_GROUPCOMMITTER_H
