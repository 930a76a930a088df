#include "Ledger/GroupCommitter.h"

#include "Kernel/Invariant.h"

#include <algorithm>

namespace anvil {

std::optional<std::uint64_t> GroupCommitter::add(RowChange Change,
                                                 TimePoint Now) {
  if (size() >= Options_.MaxQueuedChanges_)
    return std::nullopt;
  std::uint64_t Id = NextId_++;
  Queue_.push_back({Id, std::move(Change), Now + Options_.Window_, 0});
  return Id;
}

std::optional<GroupCommitter::Batch> GroupCommitter::takeBatch(TimePoint Now) {
  auto Due = nextDue();
  if (!Due || *Due > Now)
    return std::nullopt;
  Batch Next{NextId_++, {}};
  std::vector<PendingChange> Selected;
  std::deque<PendingChange> Remaining;
  std::size_t Bytes = 0;
  for (PendingChange &Change : Queue_) {
    std::size_t Size = Change.Change_.Value_.value_or("").size();
    bool Fits = Selected.size() < Options_.BatchRows_ &&
                (Selected.empty() || Bytes + Size <= Options_.BatchBytes_);
    // Changes to the same row are sent one at a time.
    if (!Fits || !KeysInFlight_.insert(Change.Change_.Key_).second) {
      Remaining.push_back(std::move(Change));
      continue;
    }
    Bytes += Size;
    const RowChange &Row = Change.Change_;
    Next.Transaction_.Checks_.push_back({Row.Key_, Row.CheckVersion_});
    Next.Transaction_.Writes_.push_back({Row.Key_, Row.Value_});
    Selected.push_back(std::move(Change));
  }
  Queue_ = std::move(Remaining);
  checkInvariant(!Selected.empty(), "a batch of changes that is due is empty");
  InFlight_.emplace(Next.Id_, std::move(Selected));
  NextPacedSend_ = std::max(NextPacedSend_, Now) + MinBatchInterval_;
  return Next;
}

std::optional<TimePoint> GroupCommitter::nextDue() const {
  std::optional<TimePoint> Due;
  std::size_t Ready = 0;
  for (const PendingChange &Change : Queue_) {
    if (KeysInFlight_.count(Change.Change_.Key_))
      continue;
    ++Ready;
    Due = Due ? std::min(*Due, Change.DueAt_) : Change.DueAt_;
    // A full batch is due at once.
    if (Ready >= Options_.BatchRows_)
      Due = TimePoint{};
  }
  if (!Due)
    return std::nullopt;
  return std::max(*Due,
                  NextPacedSend_ - MinBatchInterval_ * Options_.BurstBatches_);
}

void GroupCommitter::resolveConflict(PendingChange &Change,
                                     const CommitOutcome &Outcome,
                                     TimePoint Now,
                                     std::vector<ChangeResult> &Results,
                                     std::deque<PendingChange> &Requeued) {
  const RowChange &Row = Change.Change_;
  auto Found = std::ranges::find(Outcome.Conflicts_, Row.Key_, &TableRow::Key_);
  if (Found == Outcome.Conflicts_.end()) {
    Change.DueAt_ = Now;
    Requeued.push_back(std::move(Change));
    return;
  }
  bool IsWritten = Row.Value_
                       ? Found->Version_ != 0 && Found->Value_ == *Row.Value_
                       : Found->Version_ == 0;
  if (IsWritten)
    Results.push_back(
        {Change.Id_, CommitResult::Committed, Found->Version_, {}});
  else
    Results.push_back({Change.Id_, CommitResult::Conflict, 0, *Found});
}

std::vector<ChangeResult>
GroupCommitter::completeBatch(std::uint64_t BatchId,
                              const CommitOutcome &Outcome, TimePoint Now) {
  auto Found = InFlight_.find(BatchId);
  checkInvariant(Found != InFlight_.end(),
                 "a batch of changes completed twice");
  std::vector<PendingChange> Changes = std::move(Found->second);
  InFlight_.erase(Found);
  std::vector<ChangeResult> Results;
  std::deque<PendingChange> Requeued;
  bool HasConflictRows = !Outcome.Conflicts_.empty();
  for (PendingChange &Change : Changes) {
    KeysInFlight_.erase(Change.Change_.Key_);
    CommitResult Result = Outcome.Result_;
    if (Result == CommitResult::Conflict && HasConflictRows) {
      resolveConflict(Change, Outcome, Now, Results, Requeued);
      continue;
    }
    if (Result == CommitResult::Committed) {
      Results.push_back({Change.Id_, Result, Outcome.Version_, {}});
      continue;
    }
    // A conflict without rows is as ambiguous as a lost reply.
    bool IsAmbiguous = Result != CommitResult::Unavailable;
    Change.AmbiguousAttempts_ += IsAmbiguous;
    if (IsAmbiguous &&
        Change.AmbiguousAttempts_ < Options_.AmbiguousAttempts_) {
      Change.DueAt_ = Now;
      Requeued.push_back(std::move(Change));
      continue;
    }
    bool MayBeCommitted = Change.AmbiguousAttempts_ > 0;
    Result =
        MayBeCommitted ? CommitResult::Ambiguous : CommitResult::Unavailable;
    Results.push_back({Change.Id_, Result, 0, {}});
  }
  Queue_.insert(Queue_.begin(), std::make_move_iterator(Requeued.begin()),
                std::make_move_iterator(Requeued.end()));
  return Results;
}

std::size_t GroupCommitter::size() const {
  std::size_t Count = Queue_.size();
  for (const auto &[Id, Changes] : InFlight_)
    Count += Changes.size();
  return Count;
}

} // namespace anvil
