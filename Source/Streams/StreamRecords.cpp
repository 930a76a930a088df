#include "Streams/StreamRecords.h"

#include "Membership/Rendezvous.h"

#include <algorithm>

namespace anvil {

StreamKey streamKey(const std::string &RequestId) {
  return stableHash(RequestId);
}

std::uint32_t StreamRecords::indexOf(const StreamOrigin &Origin) {
  auto Found = std::ranges::find(Origins_, Origin);
  if (Found == Origins_.end())
    Found = Origins_.insert(Found, Origin);
  return static_cast<std::uint32_t>(Found - Origins_.begin());
}

void StreamRecords::add(const StreamRecord &Record, TimePoint Now) {
  if (Entries_.size() >= PruneSize_)
    removeExpired(Now);
  std::uint32_t Origin = indexOf(Record.Origin_);
  TimePoint Until = Now + Record.KeepFor_;
  auto [Found, IsNew] =
      Entries_.try_emplace(Record.Key_, Entry{Origin, false, Until});
  Entry &Known = Found->second;
  if (IsNew)
    return;
  if (Known.Until_ < Now)
    Known = {Origin, false, Until};
  Known.IsConflicting_ |= Known.Origin_ != Origin;
  Known.Until_ = std::max(Known.Until_, Until);
}

StreamRecords::Finding StreamRecords::find(StreamKey Key, TimePoint Now) const {
  auto Found = Entries_.find(Key);
  if (Found == Entries_.end() || Found->second.Until_ < Now)
    return {};
  if (Found->second.IsConflicting_)
    return {StreamEvidence::Conflicting, {}};
  return {StreamEvidence::Known, Origins_[Found->second.Origin_]};
}

std::vector<StreamRecord> StreamRecords::known(TimePoint Now) const {
  std::vector<StreamRecord> Found;
  for (const auto &[Key, Entry] : Entries_)
    if (!Entry.IsConflicting_ && Entry.Until_ >= Now)
      Found.push_back(
          {Key, Origins_[Entry.Origin_],
           std::chrono::duration_cast<Duration>(Entry.Until_ - Now)});
  return Found;
}

void StreamRecords::removeExpired(TimePoint Now) {
  std::erase_if(Entries_,
                [&](const auto &Item) { return Item.second.Until_ < Now; });
  constexpr std::size_t MinSize = 1024;
  PruneSize_ = std::max(MinSize, 2 * Entries_.size());
}

} // namespace anvil
