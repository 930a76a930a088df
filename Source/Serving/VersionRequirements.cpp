#include "Serving/VersionRequirements.h"

#include <algorithm>

namespace anvil {

const std::vector<VersionRequirements::PublishedVersion> *
VersionRequirements::find(const std::string &Model,
                          const std::string &Adapter) const {
  auto Held = Published_.find(Model);
  if (Held == Published_.end())
    return nullptr;
  auto Found = Held->second.find(Adapter);
  return Found == Held->second.end() ? nullptr : &Found->second;
}

bool VersionRequirements::recordVersion(const std::string &Model,
                                        const std::string &Adapter,
                                        std::uint64_t Version,
                                        std::optional<TimePoint> NotBefore) {
  if (Version <= newest(Model, Adapter))
    return false;
  TimePoint RequiredFrom = NotBefore ? *NotBefore + Grace_ : TimePoint{};
  Published_[Model][Adapter].push_back({Version, RequiredFrom});
  return true;
}

std::uint64_t VersionRequirements::newest(const std::string &Model,
                                          const std::string &Adapter) const {
  const std::vector<PublishedVersion> *Versions = find(Model, Adapter);
  return Versions ? Versions->back().Version_ : 0;
}

std::uint64_t VersionRequirements::required(const std::string &Model,
                                            const std::string &Adapter,
                                            TimePoint Now) const {
  std::uint64_t Required = 0;
  if (const std::vector<PublishedVersion> *Versions = find(Model, Adapter))
    for (const PublishedVersion &Published : *Versions)
      if (Published.RequiredFrom_ - DrainTime_ <= Now)
        Required = Published.Version_;
  return Required;
}

std::optional<TimePoint>
VersionRequirements::outdatedFrom(const std::string &Model,
                                  const std::string &Adapter,
                                  std::uint64_t Version) const {
  std::optional<TimePoint> From;
  if (const std::vector<PublishedVersion> *Versions = find(Model, Adapter))
    for (const PublishedVersion &Published : *Versions)
      if (Published.Version_ > Version)
        From = std::min(From.value_or(Published.RequiredFrom_),
                        Published.RequiredFrom_);
  return From;
}

std::optional<TimePoint>
VersionRequirements::waitLimit(const std::string &Model,
                               const std::string &Adapter,
                               std::uint64_t Version) const {
  auto From = outdatedFrom(Model, Adapter, Version);
  // A version that was found after a start may have been published long ago.
  if (!From || *From == TimePoint{})
    return From;
  return *From + (MaxStart_ - Grace_);
}

} // namespace anvil
