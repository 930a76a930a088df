#include "Routing/PromptPartLoad.h"

#include <algorithm>

namespace anvil {

using namespace std::chrono_literals;

static constexpr PartId Deadly = 1000000;

/// The number of parts that sound prompts have after their first.
static constexpr PartId Subjects = 100;

/// The bound on what may reach targets after the fifth crash.
static constexpr Duration ContactTime = 3s;

static constexpr Duration DownTime = 3s;
static constexpr Duration RunTime = 2s;
static constexpr Duration FirstPart = 80ms;
static constexpr Duration LongRun = 600ms;

PromptPartLoad::PromptPartLoad(PromptPartPlan Plan)
    : Plan_(Plan), Random_(Plan.Seed_), Now_(1000s),
      DeadlyFrom_(Now_ + (Plan.IsColdStart_ ? 0s : 5s)),
      End_(DeadlyFrom_ + 20s), Targets_(Plan.Targets_), Vms_(Plan.Vms_) {}

Duration PromptPartLoad::nextArrival(double PerSecond) {
  double Seconds = std::exponential_distribution<double>(PerSecond)(Random_);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

bool PromptPartLoad::isCut(std::size_t Index) const {
  return Index < Plan_.CutVms_ && Now_ > DeadlyFrom_ + 2s &&
         Now_ < DeadlyFrom_ + 8s;
}

bool PromptPartLoad::isUp(const Request &Of) const {
  return Targets_[Of.Target_].Life_ == Of.Life_;
}

TargetInstance PromptPartLoad::instanceOf(const Request &Of) const {
  return {"e" + std::to_string(Of.Target_), std::to_string(Of.Life_)};
}

/// Chooses any target that is up. False if the request is refused or there is
/// none.
bool PromptPartLoad::place(Request &Sent) {
  Sent.Vm_ = Random_() % Vms_.size();
  Sent.SentAt_ = Now_;
  Vm &Entry = Vms_[Sent.Vm_];
  std::vector<std::size_t> Up;
  for (std::size_t Index = 0; Index < Plan_.Targets_; ++Index)
    if (Targets_[Index].UpFrom_ <= Now_)
      Up.push_back(Index);
  if (Up.empty() || !Entry.Guard_.beginSend(Sent.Parts_, Now_))
    return false;
  Sent.Target_ = Up[Random_() % Up.size()];
  Sent.Life_ = Targets_[Sent.Target_].Life_;
  Running_[Sent.Target_].push_back(Sent);
  return true;
}

void PromptPartLoad::sendSound() {
  if (Now_ < End_)
    at(Now_ + nextArrival(Plan_.SoundPerSecond_), [this] { sendSound(); });
  Request Sent;
  Sent.Parts_ = {Random_() % 5, 100 + Random_() % Subjects};
  bool IsLast = Now_ > End_ - 5s;
  ++Result_.Sound_;
  Result_.LastSound_ += IsLast ? 1 : 0;
  if (!place(Sent)) {
    bool IsRefused = Vms_[Sent.Vm_].Guard_.isQuarantined(Sent.Parts_, Now_);
    Result_.SoundRefused_ += IsRefused ? 1 : 0;
    Result_.LastSoundRefused_ += IsLast && IsRefused ? 1 : 0;
    return;
  }
  at(Now_ + FirstPart + LongRun, [this, Sent] {
    if (isUp(Sent))
      Vms_[Sent.Vm_].Guard_.recordSuccess(instanceOf(Sent), Sent.Parts_,
                                          Sent.SentAt_, SuccessProof::LongRun,
                                          Now_);
  });
  at(Now_ + FirstPart + RunTime, [this, Sent] {
    std::erase_if(Running_[Sent.Target_], [&](const Request &Other) {
      return Other.SentAt_ == Sent.SentAt_ && Other.Parts_ == Sent.Parts_;
    });
  });
}

void PromptPartLoad::sendDeadly() {
  if (Now_ < End_)
    at(Now_ + nextArrival(Plan_.DeadlyPerSecond_), [this] { sendDeadly(); });
  Request Sent;
  // The others are in sound prompts too, the second of them in few.
  Sent.Parts_ = {0, 100, Deadly};
  if (Plan_.IsDeadlyFirst_)
    Sent.Parts_ = {Deadly, 100};
  if (!place(Sent))
    return;
  const Vm &Entry = Vms_[Sent.Vm_];
  bool IsLate = CrashTimes_.size() >= 5 &&
                Now_ > CrashTimes_[4] + ContactTime &&
                Now_ >= Entry.InTouchSince_ + ContactTime;
  Result_.LateDeadly_ += IsLate ? 1 : 0;
  at(Now_ + FirstPart + 100ms, [this, Sent] {
    if (isUp(Sent))
      crash(Sent.Target_);
  });
}

void PromptPartLoad::crash(std::size_t Index) {
  ++Result_.Crashes_;
  CrashTimes_.push_back(Now_);
  Target &Crashed = Targets_[Index];
  for (const Request &Sent : std::exchange(Running_[Index], {})) {
    bool IsLong = Now_ >= Sent.SentAt_ + FirstPart + LongRun;
    at(Now_ + 35ms + std::chrono::milliseconds(Random_() % 20), [this, Sent,
                                                                 IsLong] {
      std::vector<PartId> Parts = IsLong ? std::vector<PartId>{} : Sent.Parts_;
      Vms_[Sent.Vm_].Guard_.recordCrash(instanceOf(Sent), Parts, Now_);
    });
  }
  ++Crashed.Life_;
  Crashed.UpFrom_ = Now_ + DownTime;
}

void PromptPartLoad::report(std::size_t Index) {
  at(Now_ + Plan_.ReportPeriod_, [this, Index] { report(Index); });
  Vm &From = Vms_[Index];
  From.Guard_.update(Now_);
  PartReport Report = From.Guard_.report(Now_);
  if (isCut(Index)) {
    From.InTouchSince_ = Now_;
    return;
  }
  for (std::size_t Other = 0; Other < Plan_.Vms_; ++Other)
    if (Other != Index && !isCut(Other) &&
        std::uniform_real_distribution<double>()(Random_) >= Plan_.LostReports_)
      Vms_[Other].Guard_.apply(Report, Now_);
}

PromptPartResult PromptPartLoad::run() {
  for (std::size_t Index = 0; Index < Plan_.Vms_; ++Index)
    Vms_[Index].Guard_.setRank(Index, Vms_.size());
  for (std::size_t Index = 0; Index < Plan_.Vms_; ++Index)
    at(Now_ + std::chrono::milliseconds(Random_() % 200),
       [this, Index] { report(Index); });
  at(Now_, [this] { sendSound(); });
  at(DeadlyFrom_, [this] {
    if (Plan_.WorkedBefore_)
      for (Vm &Entry : Vms_)
        Entry.Guard_.recordSuccess({"old", "1"}, {Deadly}, Now_ - 1s,
                                   SuccessProof::Complete, Now_ - 1s);
    sendDeadly();
  });
  at(DeadlyFrom_ + 6s, [this] {
    for (std::size_t Index = Plan_.Vms_ - Plan_.RestartedVms_;
         Index < Plan_.Vms_; ++Index)
      Vms_[Index] = {PromptPartGuard{PromptPartOptions{}}, Now_};
  });
  while (!Steps_.empty() && Steps_.begin()->first < End_) {
    auto Next = Steps_.extract(Steps_.begin());
    Now_ = Next.key();
    Next.mapped()();
  }
  return Result_;
}

} // namespace anvil
