#include "StreamFleet.h"

namespace anvil {

/// How often a VM reads the baselines, and how long a write may go unanswered.
static constexpr Duration PollPeriod = std::chrono::seconds(10);
static constexpr Duration AnswerTimeout = std::chrono::milliseconds(400);

/// How often a VM reads the list of targets.
static constexpr Duration ListPeriod = std::chrono::milliseconds(500);

/// How often a VM sends copies of what it remembers to the next two.
static constexpr Duration CopyPeriod = std::chrono::milliseconds(250);

/// How long after a restore a VM writes all records, as `anvild` does.
static constexpr Duration RepeatTime = std::chrono::seconds(30);

/// For how long rows of records are kept.
static constexpr Duration KeepTime =
    StreamFleet::TakeUpTime + std::chrono::seconds(5);

/// The fraction of the store's writes that records may use.
static constexpr double WriteFraction = 0.25;

StreamFleet::StreamFleet(StreamFleetPlan Plan)
    : Plan_(Plan), Random_(Plan.Seed_), Vms_(Plan.Vms_) {
  advance(Step);
  advance(Step);
  IsFirstStart_ = false;
}

void StreamFleet::advance(Duration Time) {
  for (TimePoint End = Now_ + Time; Now_ < End; Now_ += Step) {
    while (!Records_.empty() && Records_.begin()->first + KeepTime < Now_)
      Records_.erase(Records_.begin());
    for (std::size_t Index = 0; Index < Vms_.size(); ++Index) {
      Vm &At = Vms_[Index];
      sendCopies(Index);
      if (Now_ >= At.NextList_)
        readList(At);
      if (Now_ >= At.NextPoll_)
        pollBaseline(At);
      write(At);
    }
  }
}

void StreamFleet::restart(std::size_t Vm) {
  bool IsCut = Vms_[Vm].IsCut_;
  Vms_[Vm] = StreamFleet::Vm();
  Vms_[Vm].IsCut_ = IsCut;
}

void StreamFleet::restore() {
  Records_ = CopiedRecords_;
  Baseline_.reset();
  ++Era_;
}

void StreamFleet::reach(Vm &At) {
  if (At.Era_ == Era_)
    return;
  At.Baselines_.beginEra(Now_);
  if (At.Era_ != 0) {
    At.RestoreSeenAt_ = Now_;
    At.Batcher_.dropUnawaited();
    for (const StreamRecords *Known : {&At.Own_, &At.Copies_})
      for (StreamRecord &Record : Known->known(Now_))
        At.Batcher_.addUnawaited(std::move(Record));
    // An answer of an earlier era counts as one that was lost.
    At.IsAnswerLost_ = true;
  }
  At.Era_ = Era_;
  At.NextPoll_ = Now_;
}

void StreamFleet::readList(Vm &At) {
  At.NextList_ = Now_ + ListPeriod;
  if (!isReachable(At))
    return;
  reach(At);
  At.Baselines_.listed().recordRead(Now_, IsFirstStart_);
  for (const auto &[Version, Count] : Usable_)
    At.Baselines_.listed().record("s", Version, Now_);
}

void StreamFleet::sendCopies(std::size_t Vm) {
  StreamFleet::Vm &From = Vms_[Vm];
  if (Now_ < From.NextCopy_)
    return;
  From.NextCopy_ = Now_ + CopyPeriod;
  for (std::size_t Next : {Vm + 1, Vm + 2})
    for (const StreamRecord &Record : From.CopiesDue_)
      Vms_[Next % Vms_.size()].Copies_.add(Record, Now_);
  From.CopiesDue_.clear();
}

void StreamFleet::pollBaseline(Vm &At) {
  At.NextPoll_ = Now_ + (Baseline_ ? PollPeriod : 100 * Step);
  if (!isReachable(At))
    return;
  reach(At);
  auto Show = [&] {
    std::vector<StreamBaseline> Rows;
    if (Baseline_)
      Rows.push_back(*Baseline_);
    At.Baselines_.applyRows(Rows, Now_, Now_);
  };
  Show();
  auto Change = At.Baselines_.dueChange("s", Usable_, IsFirstStart_, Now_);
  bool IsUnchanged =
      Change && Change->RowVersion_ == (Baseline_ ? Baseline_->RowVersion_ : 0);
  if (!IsUnchanged)
    return;
  Baseline_ = Change;
  Baseline_->RowVersion_ = NextRow_++;
  Show();
}

void StreamFleet::write(Vm &At) {
  if (At.AnswerAt_ && Now_ >= *At.AnswerAt_) {
    At.AnswerAt_.reset();
    if (At.IsAnswerLost_) {
      At.Batcher_.retry();
    } else {
      At.Batcher_.confirm();
      while (!At.Waiting_.empty() &&
             At.Batcher_.isWritten(At.Waiting_.front().Ticket_)) {
        forward(At, At.Waiting_.front().Stream_, At.Waiting_.front().Since_);
        At.Waiting_.pop_front();
      }
    }
  }
  At.Batcher_.setInterval(std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(static_cast<double>(Vms_.size()) /
                                    (WriteFraction * Plan_.WritesPerSecond_))));
  auto DueAt = At.Batcher_.dueAt();
  if (!DueAt || *DueAt > Now_)
    return;
  auto Records = At.Batcher_.begin(Now_);
  bool IsLost = std::bernoulli_distribution(LostAnswers_)(Random_);
  At.IsAnswerLost_ = IsLost || !isReachable(At);
  At.AnswerAt_ = Now_ + (At.IsAnswerLost_ ? AnswerTimeout : Plan_.AnswerTime_);
  if (!isReachable(At))
    return;
  reach(At);
  At.IsAnswerLost_ = IsLost;
  ++Writes_;
  std::string Row = encodeStreamRecords(Records);
  RecordBytes_ += Row.size();
  Records_.emplace(Now_, std::move(Row));
}

void StreamFleet::forward(Vm &At, const Stream &Began, TimePoint Since) {
  StreamRecord Record{Began.Key_, {"s", Began.Version_}, TakeUpTime};
  At.Own_.add(Record, Now_);
  At.CopiesDue_.push_back(Record);
  if (At.RestoreSeenAt_ && Now_ < *At.RestoreSeenAt_ + RepeatTime)
    At.Batcher_.addUnawaited(Record);
  Begun_.push_back({Began.Key_, Began.Version_, Now_});
  if (Since != Now_)
    Waits_.push_back(Now_ - Since);
}

void StreamFleet::begin(std::size_t Vm, const std::string &Version) {
  StreamFleet::Vm &At = Vms_[Vm];
  StreamOrigin Origin{"s", Version};
  Stream New{streamKey(std::to_string(NextId_++)), Version, Now_};
  if (At.Baselines_.mayBeginUnrecorded(Origin, TakeUpTime, Now_)) {
    forward(At, New, Now_);
    return;
  }
  if (!isReachable(At)) {
    ++Refused_;
    return;
  }
  RecordTicket Ticket = At.Batcher_.add({New.Key_, Origin, TakeUpTime});
  At.Waiting_.push_back({New, Ticket, Now_});
}

std::optional<std::string> StreamFleet::lookUp(std::size_t Vm, StreamKey Key) {
  StreamFleet::Vm &At = Vms_[Vm];
  auto Own = At.Own_.find(Key, Now_);
  if (Own.Evidence_ == StreamEvidence::Known)
    return Own.Origin_.Version_;
  if (!isReachable(At))
    return std::nullopt;
  reach(At);
  StreamRecords Read;
  for (const auto &[WrittenAt, Row] : Records_)
    for (const StreamRecord &Record : decodeStreamRecords(Row))
      Read.add(Record, Now_);
  auto Found = Read.find(Key, Now_);
  if (Found.Evidence_ == StreamEvidence::Known)
    return Found.Origin_.Version_;
  if (Found.Evidence_ == StreamEvidence::Conflicting || !Baseline_)
    return std::nullopt;
  return Baseline_->Version_;
}

} // namespace anvil
