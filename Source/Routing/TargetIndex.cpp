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
  for (const auto &[Name, Known] : Snapshot.Objects_.all<Target>()) {
    if (Known.Leaving_)
      continue;
    std::string GroupName = Known.TargetKind_ == TargetKind::Service
                                ? serviceGroup(Known.Service_)
                                : engineGroup(Known.Pool_, Known.BaseModel_);
    TargetGroup &Group = Groups_[GroupName];
    Group.Name_ = GroupName;
    Group.Members_[Known.DataCentre_].push_back(
        {Name, Known.DataCentre_, Known.Slots_, Known.AdapterSlots_});
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
