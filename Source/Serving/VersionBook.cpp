#include "Serving/VersionBook.h"

namespace anvil {

const std::vector<VersionBook::Named> *
VersionBook::find(const std::string &Model, const std::string &Adapter) const {
  auto Held = Named_.find(Model);
  if (Held == Named_.end())
    return nullptr;
  auto Found = Held->second.find(Adapter);
  return Found == Held->second.end() ? nullptr : &Found->second;
}

bool VersionBook::note(const std::string &Model, const std::string &Adapter,
                       std::uint64_t Version,
                       std::optional<TimePoint> NotBefore) {
  if (Version <= newest(Model, Adapter))
    return false;
  TimePoint RequiredFrom = NotBefore ? *NotBefore + Grace_ : TimePoint{};
  Named_[Model][Adapter].push_back({Version, RequiredFrom});
  return true;
}

std::uint64_t VersionBook::newest(const std::string &Model,
                                  const std::string &Adapter) const {
  const std::vector<Named> *Versions = find(Model, Adapter);
  return Versions ? Versions->back().Version_ : 0;
}

std::uint64_t VersionBook::required(const std::string &Model,
                                    const std::string &Adapter,
                                    TimePoint Now) const {
  std::uint64_t Least = 0;
  if (const std::vector<Named> *Versions = find(Model, Adapter))
    for (const Named &Known : *Versions)
      if (Known.RequiredFrom_ <= Now)
        Least = Known.Version_;
  return Least;
}

TimePoint VersionBook::requiredFrom(const std::string &Model,
                                    const std::string &Adapter) const {
  const std::vector<Named> *Versions = find(Model, Adapter);
  return Versions ? Versions->back().RequiredFrom_ : TimePoint{};
}

} // namespace anvil
