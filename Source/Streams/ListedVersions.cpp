#include "Streams/ListedVersions.h"

#include <algorithm>

namespace anvil {

/// The longest time between two reads in which no target is missed: one that
/// was listed and has left within it has served nobody for long.
static constexpr Duration MaxGap = std::chrono::seconds(10);

/// For how long a version that is no longer listed is remembered.
static constexpr Duration RetentionTime = std::chrono::minutes(10);

void ListedVersions::recordRead(TimePoint Now, bool IsFirstSystemStart) {
  if (!ReadAt_ && IsFirstSystemStart)
    FollowedSince_ = TimePoint::min();
  else if (!ReadAt_ || *ReadAt_ + MaxGap < Now)
    FollowedSince_ = Now;
  ReadAt_ = Now;
}

void ListedVersions::record(const std::string &Service,
                            const std::string &Version, TimePoint SeenAt) {
  auto &Versions = SeenAt_[Service];
  auto [Known, IsNew] = Versions.try_emplace(Version, SeenAt);
  Known->second = std::max(Known->second, SeenAt);
  if (IsNew)
    std::erase_if(Versions, [&](const auto &Item) {
      return Item.second + RetentionTime < SeenAt;
    });
}

ListedEvidence ListedVersions::evidenceSince(TimePoint Since,
                                             const std::string &Service,
                                             const std::string &Version) const {
  auto Found = SeenAt_.find(Service);
  bool HasOthers = Found != SeenAt_.end() &&
                   std::ranges::any_of(Found->second, [&](const auto &Item) {
                     return Item.first != Version && Item.second >= Since;
                   });
  if (HasOthers)
    return ListedEvidence::Others;
  return ReadAt_ && FollowedSince_ <= Since ? ListedEvidence::Only
                                            : ListedEvidence::Unknown;
}

} // namespace anvil
