#include "Ledger/GroupCommitter.h"

#include "Kernel/Invariant.h"

#include <algorithm>

namespace anvil {

std::optional<std::uint64_t> GroupCommitter::add(RowChange Change,
                                                 TimePoint Now) {
  if (size() >= Options_.WaitingRows_)
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
  std::vector<Waiting> Taken;
  std::deque<Waiting> Left;
  std::size_t Bytes = 0;
  for (Waiting &Change : Queue_) {
    std::size_t Size = Change.Change_.Value_.value_or("").size();
    bool Fits = Taken.size() < Options_.BatchRows_ &&
                (Taken.empty() || Bytes + Size <= Options_.BatchBytes_);
    // Changes of one row go one after the other.
    if (!Fits || !KeysInFlight_.insert(Change.Change_.Key_).second) {
      Left.push_back(std::move(Change));
      continue;
    }
    Bytes += Size;
    const RowChange &Row = Change.Change_;
    Next.Transaction_.Checks_.push_back({Row.Key_, Row.CheckVersion_});
    Next.Transaction_.Writes_.push_back({Row.Key_, Row.Value_});
    Taken.push_back(std::move(Change));
  }
  Queue_ = std::move(Left);
  checkInvariant(!Taken.empty(), "a due batch of claims is empty");
  InFlight_.emplace(Next.Id_, std::move(Taken));
  Pace_ = std::max(Pace_, Now) + Gap_;
  return Next;
}

std::optional<TimePoint> GroupCommitter::nextDue() const {
  std::optional<TimePoint> Due;
  std::size_t Ready = 0;
  for (const Waiting &Change : Queue_) {
    if (KeysInFlight_.count(Change.Change_.Key_))
      continue;
    ++Ready;
    Due = Due ? std::min(*Due, Change.Due_) : Change.Due_;
    // A full batch has nothing to wait for.
    if (Ready >= Options_.BatchRows_)
      Due = TimePoint{};
  }
  if (!Due)
    return std::nullopt;
  return std::max(*Due, Pace_ - Gap_ * Options_.BurstBatches_);
}

void GroupCommitter::endConflict(Waiting &Change, const CommitOutcome &Outcome,
                                 TimePoint Now, std::vector<ChangeEnd> &Ended,
                                 std::deque<Waiting> &Again) {
  const RowChange &Row = Change.Change_;
  auto Found = std::ranges::find(Outcome.Conflicts_, Row.Key_, &TableRow::Key_);
  if (Found == Outcome.Conflicts_.end()) {
    Change.Due_ = Now;
    Again.push_back(std::move(Change));
    return;
  }
  bool IsOwn = Row.Value_ ? Found->Version_ != 0 && Found->Value_ == *Row.Value_
                          : Found->Version_ == 0;
  if (IsOwn)
    Ended.push_back({Change.Id_, CommitResult::Committed, Found->Version_, {}});
  else
    Ended.push_back({Change.Id_, CommitResult::Conflict, 0, *Found});
}

std::vector<ChangeEnd> GroupCommitter::batchEnded(std::uint64_t BatchId,
                                                  const CommitOutcome &Outcome,
                                                  TimePoint Now) {
  auto Found = InFlight_.find(BatchId);
  checkInvariant(Found != InFlight_.end(), "a batch of claims ended twice");
  std::vector<Waiting> Changes = std::move(Found->second);
  InFlight_.erase(Found);
  std::vector<ChangeEnd> Ended;
  std::deque<Waiting> Again;
  bool NamesRows = !Outcome.Conflicts_.empty();
  for (Waiting &Change : Changes) {
    KeysInFlight_.erase(Change.Change_.Key_);
    CommitResult Result = Outcome.Result_;
    if (Result == CommitResult::Conflict && NamesRows) {
      endConflict(Change, Outcome, Now, Ended, Again);
      continue;
    }
    if (Result == CommitResult::Committed) {
      Ended.push_back({Change.Id_, Result, Outcome.Version_, {}});
      continue;
    }
    // A conflict that names no row tells as little as no answer.
    bool IsLost = Result != CommitResult::Unavailable;
    Change.AmbiguousTries_ += IsLost;
    if (IsLost && Change.AmbiguousTries_ < Options_.AmbiguousTries_) {
      Change.Due_ = Now;
      Again.push_back(std::move(Change));
      continue;
    }
    bool MayHold = Change.AmbiguousTries_ > 0;
    Result = MayHold ? CommitResult::Ambiguous : CommitResult::Unavailable;
    Ended.push_back({Change.Id_, Result, 0, {}});
  }
  Queue_.insert(Queue_.begin(), std::make_move_iterator(Again.begin()),
                std::make_move_iterator(Again.end()));
  return Ended;
}

std::size_t GroupCommitter::size() const {
  std::size_t Count = Queue_.size();
  for (const auto &[Id, Changes] : InFlight_)
    Count += Changes.size();
  return Count;
}

} // namespace anvil
