#include "StreamFleet.h"

namespace anvil {

/// How often a VM reads the baselines, and how long a write may go unanswered.
static constexpr Duration PollPeriod = std::chrono::seconds(10);
static constexpr Duration AnswerTimeout = std::chrono::milliseconds(400);

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
    for (Vm &At : Vms_) {
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

void StreamFleet::pollBaseline(Vm &At) {
  At.NextPoll_ = Now_ + (At.Baselines_.confirmedAt() ? PollPeriod : 100 * Step);
  if (!isReachable(At))
    return;
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
  ++Writes_;
  std::string Row = encodeStreamRecords(Records);
  RecordBytes_ += Row.size();
  Records_.emplace(Now_, std::move(Row));
}

void StreamFleet::forward(Vm &At, const Stream &Began, TimePoint Since) {
  At.Own_.add({Began.Key_, {"s", Began.Version_}, TakeUpTime}, Now_);
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
