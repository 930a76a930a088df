#include "Routing/TargetIndex.h"

namespace anvil {

static std::string engineGroup(const std::string &Pool,
                               const std::string &BaseModel) {
  return "engine/" + Pool + "/" + BaseModel;
}

static std::string serviceGroup(const std::string &Service) {
  return "service/" + Service;
}

TargetIndex::TargetIndex(const ConfigSnapshot &Snapshot)
    : Revision_(Snapshot.Revision_) {
  for (const auto &[Name, Configured] : Snapshot.Objects_.all<Target>()) {
    if (Configured.Leaving_)
      continue;
    std::string GroupName =
        Configured.TargetKind_ == TargetKind::Service
            ? serviceGroup(Configured.Service_)
            : engineGroup(Configured.Pool_, Configured.BaseModel_);
    TargetGroup &Group = Groups_[GroupName];
    Group.Name_ = GroupName;
    Group.Members_[Configured.DataCentre_].push_back(
        {Name, Configured.DataCentre_, Configured.Slots_,
         Configured.AdapterSlots_});
    ++Group.Size_;
    GroupNames_.emplace(Name, std::move(GroupName));
  }
}

const TargetGroup *TargetIndex::find(const RequestContext &Request) const {
  auto Found = Groups_.find(Request.Service_.empty()
                                ? engineGroup(Request.Pool_, Request.BaseModel_)
                                : serviceGroup(Request.Service_));
  return Found == Groups_.end() ? nullptr : &Found->second;
}

const TargetGroup *TargetIndex::groupOf(const std::string &Target) const {
  auto Found = GroupNames_.find(Target);
  return Found == GroupNames_.end() ? nullptr : &Groups_.at(Found->second);
}

} // namespace anvil
