#include "Routing/PromptPartGuard.h"

#include "Kernel/EraseLowest.h"

#include <algorithm>
#include <iterator>
#include <optional>

namespace anvil {

PromptPartGuard::PromptPartGuard(PromptPartOptions Options)
    : Options_(Options), Sound_(Options.MaxSoundParts_),
      Suspects_(Options.Suspects_), Quarantine_(Options.Quarantine_) {}

void PromptPartGuard::fire(PartId Part, PartEvent Event, std::size_t Crashes,
                           Duration Evidence) {
  if (OnEvent_)
    OnEvent_(Part, Event, Crashes, Evidence);
}

void PromptPartGuard::recordCrash(const TargetInstance &Crashed,
                                  const std::vector<PartId> &Parts,
                                  TimePoint Now) {
  addOwnCrash(Crashed, Parts, Now, Now);
  withdrawSuccesses(Crashed, Now, Now);
}

void PromptPartGuard::addOwnCrash(const TargetInstance &Crashed,
                                  const std::vector<PartId> &Parts,
                                  TimePoint NoticedAt, TimePoint Now) {
  OwnCrash &Own =
      OwnCrashes_.try_emplace(Crashed, OwnCrash{NoticedAt, {}}).first->second;
  for (PartId Part : Parts)
    if (Own.Parts_.size() < Options_.MaxReportedParts_)
      Own.Parts_.emplace(Part, Sound_.lastSent(Part).has_value());
  addCrash(Crashed, Own.Parts_, Own.NoticedAt_, Now);
  if (OwnCrashes_.size() > Options_.MaxReportedCrashes_)
    eraseLowest(OwnCrashes_, &OwnCrash::NoticedAt_);
}

void PromptPartGuard::withdrawSuccesses(const TargetInstance &Crashed,
                                        TimePoint NoticedAt, TimePoint Now) {
  std::vector<PartId> InDoubt;
  std::erase_if(Unconfirmed_, [&](const Success &Recent) {
    if (Recent.Target_ != Crashed)
      return false;
    if (Recent.Proof_ != SuccessProof::LongRun)
      InDoubt.insert(InDoubt.end(), Recent.Parts_.begin(), Recent.Parts_.end());
    return true;
  });
  if (!InDoubt.empty())
    addOwnCrash(Crashed, InDoubt, NoticedAt, Now);
}

void PromptPartGuard::addCrash(const TargetInstance &Crashed,
                               std::map<PartId, bool> Parts,
                               TimePoint NoticedAt, TimePoint Now) {
  std::optional<PartId> ExplainedBy;
  for (auto &[Part, WasSound] : Parts) {
    if (Quarantine_.isOnProbation(Part, Now)) {
      Quarantine_.add(Part, NoticedAt, false, Now);
      fire(Part, PartEvent::Relapsed, 1, Now - NoticedAt);
    }
    if (Quarantine_.isCertain(Part, Now))
      ExplainedBy = Part;
    Quarantine_.recordCrash(Part, NoticedAt);
    WasSound |= Sound_.lastSent(Part).has_value();
  }
  if (ExplainedBy)
    Suspects_.addExplained(Crashed, *ExplainedBy, NoticedAt);
  std::erase_if(Parts, [&](const auto &Entry) {
    return Quarantine_.contains(Entry.first, Now);
  });
  Suspects_.addCrash(Crashed, Parts, NoticedAt, Now);
}

void PromptPartGuard::recordSuccess(const TargetInstance &Target,
                                    const std::vector<PartId> &Parts,
                                    TimePoint SentAt, SuccessProof Proof,
                                    TimePoint Now) {
  if (Parts.empty() || Unconfirmed_.size() >= Options_.MaxUnconfirmed_)
    return;
  Unconfirmed_.push_back(
      {Target, Parts, SentAt, Proof, Now + Options_.ConfirmationTime_});
}

void PromptPartGuard::confirmSuccesses(TimePoint Now) {
  while (!Unconfirmed_.empty() && Unconfirmed_.front().ConfirmedAt_ <= Now) {
    Success Confirmed = std::move(Unconfirmed_.front());
    Unconfirmed_.pop_front();
    if (Confirmed.Proof_ == SuccessProof::EndOfConnection)
      continue;
    for (PartId Part : Confirmed.Parts_)
      recordSound(Part, Confirmed.SentAt_, Now);
  }
}

void PromptPartGuard::recordSound(PartId Part, TimePoint SentAt,
                                  TimePoint Now) {
  Sound_.record(Part, SentAt);
  // A request that was sent before a part's first crash proves nothing: the
  // part may have begun to crash targets since.
  auto FirstCrash = Suspects_.firstCrashAt(Part);
  bool IsCleared = FirstCrash && SentAt > *FirstCrash && Suspects_.clear(Part);
  if (Quarantine_.liftIfSound(Part, SentAt)) {
    IsCleared = true;
    lift(Part, Now);
  }
  if (IsCleared)
    announceSound(Part, Now);
}

void PromptPartGuard::lift(PartId Part, TimePoint Now) {
  fire(Part, PartEvent::Lifted, 0, Duration::zero());
  Suspects_.withdrawExplanations(
      Part,
      [this](PartId Other, TimePoint Since) {
        auto Sound = Sound_.lastSent(Other);
        return Sound && *Sound > Since;
      },
      Now);
}

void PromptPartGuard::announceSound(PartId Part, TimePoint Now) {
  makeRoomFor(Part, Announced_, Options_.MaxReportedParts_);
  Announced_[Part] = Now;
}

std::vector<PartId>
PromptPartGuard::quarantinedOf(const std::vector<PartId> &Parts,
                               TimePoint Now) const {
  std::vector<PartId> Found;
  std::ranges::copy_if(Parts, std::back_inserter(Found), [&](PartId Part) {
    return Quarantine_.contains(Part, Now);
  });
  return Found;
}

bool PromptPartGuard::isQuarantined(const std::vector<PartId> &Parts,
                                    TimePoint Now) const {
  return !quarantinedOf(Parts, Now).empty();
}

PartDecision PromptPartGuard::decide(const std::vector<PartId> &Parts,
                                     TimePoint Now) const {
  std::vector<PartId> Found = quarantinedOf(Parts, Now);
  if (Found.empty())
    return PartDecision::Serve;
  // With two of them, the trial would not show which one crashes targets.
  bool MayTry = Found.size() == 1 && Quarantine_.mayTry(Found.front(), Now);
  return MayTry ? PartDecision::Try : PartDecision::Refuse;
}

bool PromptPartGuard::beginSend(const std::vector<PartId> &Parts,
                                TimePoint Now) {
  PartDecision Decision = decide(Parts, Now);
  if (Decision != PartDecision::Try)
    return Decision == PartDecision::Serve;
  PartId Tried = quarantinedOf(Parts, Now).front();
  Quarantine_.recordTrial(Tried, Now);
  fire(Tried, PartEvent::Tried, 0, Duration::zero());
  return true;
}

PartReport PromptPartGuard::report(TimePoint Now) {
  std::erase_if(OwnCrashes_, [&](const auto &Entry) {
    return Entry.second.NoticedAt_ + Options_.RepeatTime_ < Now;
  });
  std::erase_if(Announced_, [&](const auto &Entry) {
    return Entry.second + Options_.RepeatTime_ < Now;
  });
  PartReport Report;
  for (const auto &[Crashed, Own] : OwnCrashes_)
    Report.Crashes_.push_back({Crashed, Now - Own.NoticedAt_, Own.Parts_});
  for (const auto &[Part, At] : Announced_)
    Report.Sound_.push_back(Part);
  Report.Quarantined_ = Quarantine_.report(Now);
  return Report;
}

void PromptPartGuard::apply(const PartReport &Report, TimePoint Now) {
  for (const PartCrash &Crash : Report.Crashes_) {
    addCrash(Crash.Crashed_, Crash.Parts_, Now - Crash.Age_, Now);
    withdrawSuccesses(Crash.Crashed_, Now - Crash.Age_, Now);
  }
  for (PartId Part : Report.Sound_) {
    Sound_.record(Part, Now);
    Suspects_.clear(Part);
    if (Quarantine_.lift(Part))
      lift(Part, Now);
  }
  for (const auto &[Part, Known] : Report.Quarantined_) {
    auto Sound = Sound_.lastSent(Part);
    if (Sound && *Sound > Now - Known.EvidenceAge_) {
      // The other VM could not know that the part works.
      announceSound(Part, Now);
      continue;
    }
    if (!Quarantine_.adopt(Part, Known, Now))
      continue;
    Suspects_.removeQuarantined(Part, Known.IsInDoubt_);
    fire(Part, PartEvent::Adopted, 0, Known.EvidenceAge_);
  }
}

void PromptPartGuard::update(TimePoint Now) {
  confirmSuccesses(Now);
  Suspects_.expire(Now);
  Quarantine_.expire(Now);
  for (const PartSuspects::Conviction &Found : Suspects_.convict(Now)) {
    Quarantine_.add(Found.Part_, Found.FirstCrashAt_, Found.IsInDoubt_, Now);
    fire(Found.Part_, PartEvent::Convicted, Found.Crashes_,
         Now - Found.FirstCrashAt_);
  }
}

} // namespace anvil
