#include "Routing/TargetDirectory.h"

namespace anvil {

void TargetDirectory::update(TargetReport Report) {
  std::string Target = Report.Target_;
  Reports_.insert_or_assign(std::move(Target), std::move(Report));
}

const TargetReport *TargetDirectory::find(const std::string &Target) const {
  auto Found = Reports_.find(Target);
  return Found == Reports_.end() ? nullptr : &Found->second;
}

} // namespace anvil
