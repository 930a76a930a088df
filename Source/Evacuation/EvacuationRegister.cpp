#include "Evacuation/EvacuationRegister.h"

#include <algorithm>

namespace anvil {

bool EvacuationRegister::set(const std::string &DataCentre, bool IsRequested,
                             TimePoint Now) {
  auto Found = Evacuated_.find(DataCentre);
  if (IsRequested) {
    if (Found != Evacuated_.end()) {
      Found->second.IsKept_ = false;
      return false;
    }
    Evacuated_[DataCentre] = {Now, false};
    return true;
  }
  if (Found == Evacuated_.end())
    return false;
  if (Now < KeepUntil_) {
    Found->second.IsKept_ = true;
    return false;
  }
  Evacuated_.erase(Found);
  return true;
}

std::optional<TimePoint>
EvacuationRegister::evacuatedSince(const std::string &DataCentre) const {
  auto Found = Evacuated_.find(DataCentre);
  if (Found == Evacuated_.end())
    return std::nullopt;
  return Found->second.Since_;
}

std::vector<std::string> EvacuationRegister::evacuated() const {
  std::vector<std::string> Names;
  for (const auto &[DataCentre, Current] : Evacuated_)
    Names.push_back(DataCentre);
  return Names;
}

void EvacuationRegister::keepMissingUntil(TimePoint Until) {
  KeepUntil_ = std::max(KeepUntil_, Until);
}

std::vector<std::string> EvacuationRegister::endKept(TimePoint Now) {
  std::vector<std::string> Ended;
  if (Now < KeepUntil_)
    return Ended;
  for (const auto &[DataCentre, Current] : Evacuated_)
    if (Current.IsKept_)
      Ended.push_back(DataCentre);
  for (const std::string &DataCentre : Ended)
    Evacuated_.erase(DataCentre);
  return Ended;
}

} // namespace anvil
