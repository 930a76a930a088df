#include "Routing/CrashTracker.h"

#include "Kernel/EraseLowest.h"
#include "Kernel/Invariant.h"

#include <algorithm>
#include <functional>

namespace anvil {

/// Crashes of different target incarnations that quarantine a request.
static constexpr std::size_t QuarantineCrashes = 2;

const CrashTracker::Suspect *CrashTracker::find(const std::string &Digest,
                                                TimePoint Now) const {
  auto Found = Suspects_.find(Digest);
  bool IsKnown = Found != Suspects_.end() && Found->second.ExpiresAt_ > Now;
  return IsKnown ? &Found->second : nullptr;
}

bool CrashTracker::addCrash(const std::string &Digest,
                            const TargetInstance &Crashed, TimePoint Now) {
  makeRoomFor(Digest, Suspects_, Options_.MaxDigests_, &Suspect::ExpiresAt_);
  Suspect &Known = Suspects_[Digest];
  if (Known.ExpiresAt_ <= Now)
    Known = Suspect();
  if (Known.Quarantined_)
    return false;
  std::erase_if(Known.Crashes_, [&](const auto &Entry) {
    return Entry.second + Options_.SuspectTime_ <= Now;
  });
  bool IsNewCrash = Known.Crashes_.emplace(Crashed, Now).second;
  if (IsNewCrash)
    Known.ExpiresAt_ = Now + Options_.SuspectTime_;
  if (Known.Crashes_.size() < QuarantineCrashes)
    return false;
  Known.Quarantined_ = true;
  Known.ExpiresAt_ = Now + Options_.QuarantineTime_;
  return true;
}

bool CrashTracker::isSuspect(const std::string &Digest, TimePoint Now) const {
  return find(Digest, Now) != nullptr;
}

bool CrashTracker::isQuarantined(const std::string &Digest,
                                 TimePoint Now) const {
  const Suspect *Known = find(Digest, Now);
  checkInvariant(!Known || !Known->Quarantined_ ||
                     Known->Crashes_.size() >= QuarantineCrashes,
                 "a request is quarantined with fewer than two crashes");
  return Known && Known->Quarantined_;
}

Duration CrashTracker::timeLeft(const std::string &Digest,
                                TimePoint Now) const {
  const Suspect *Known = find(Digest, Now);
  return Known ? Known->ExpiresAt_ - Now : Duration(0);
}

bool CrashTracker::clear(const std::string &Digest) {
  return Suspects_.erase(Digest) > 0;
}

std::vector<std::string> CrashTracker::quarantined(TimePoint Now) const {
  std::vector<std::string> Digests;
  for (const auto &[Digest, Known] : Suspects_)
    if (isQuarantined(Digest, Now))
      Digests.push_back(Digest);
  return Digests;
}

std::vector<std::pair<std::string, TargetInstance>>
CrashTracker::evidence(std::size_t MaxDigests, TimePoint Now) const {
  std::vector<std::string> Digests = quarantined(Now);
  std::ranges::sort(Digests, std::greater<>(), [&](const std::string &Digest) {
    return timeLeft(Digest, Now);
  });
  Digests.resize(std::min(Digests.size(), MaxDigests));
  std::vector<std::pair<std::string, TargetInstance>> Crashes;
  for (const std::string &Digest : Digests)
    for (const auto &[Crashed, At] : find(Digest, Now)->Crashes_)
      Crashes.emplace_back(Digest, Crashed);
  return Crashes;
}

void CrashTracker::expire(TimePoint Now) {
  std::erase_if(Suspects_, [Now](const auto &Entry) {
    return Entry.second.ExpiresAt_ <= Now;
  });
}

} // namespace anvil
