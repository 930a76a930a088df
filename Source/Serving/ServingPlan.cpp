#include "Serving/ServingPlan.h"

#include "Kernel/EnumNames.h"

#include <algorithm>

namespace anvil {

std::string_view requestKindName(RequestKind Kind) {
  return enumName(Kind, RequestKindNames);
}

std::size_t EnginePlan::warmAdapters() const {
  constexpr std::size_t WarmAdaptersPerSlot = 6;
  return WarmAdaptersPerSlot *
         static_cast<std::size_t>(std::max(1, MaxAdapters_));
}

const ModelPlan *EnginePlan::findModel(std::string_view Name) const {
  auto Found = std::ranges::find(Models_, Name, &ModelPlan::Name_);
  return Found == Models_.end() ? nullptr : &*Found;
}

/// Hosts are compared without regard to case and port.
static std::string hostKey(std::string_view Host) {
  std::string Key(Host.substr(0, Host.find(':')));
  std::ranges::transform(Key, Key.begin(), [](unsigned char Letter) {
    return static_cast<char>(std::tolower(Letter));
  });
  return Key;
}

ServingPlan::ServingPlan(std::uint64_t Revision, std::vector<RoutePlan> Routes,
                         std::vector<ServicePlan> Services,
                         std::vector<CustomerPlan> Customers,
                         CallerLimits Limits)
    : Revision_(Revision), Routes_(std::move(Routes)),
      Customers_(std::move(Customers)), Limits_(Limits) {
  for (ServicePlan &Service : Services) {
    std::string Name = Service.Name_;
    Services_.insert_or_assign(std::move(Name), std::move(Service));
  }
  for (std::size_t Index = 0; Index < Routes_.size(); ++Index)
    ByHost_[hostKey(Routes_[Index].Host_)].push_back(Index);
  // Longest prefix first; equally long ones in the order of the plan.
  auto Earlier = [&](std::size_t Left, std::size_t Right) {
    std::size_t LeftSize = Routes_[Left].PathPrefix_.size();
    std::size_t RightSize = Routes_[Right].PathPrefix_.size();
    return LeftSize != RightSize ? LeftSize > RightSize : Left < Right;
  };
  for (auto &[Host, Indexes] : ByHost_)
    std::ranges::sort(Indexes, Earlier);
  for (std::size_t Index = 0; Index < Customers_.size(); ++Index)
    for (const std::string &Key : Customers_[Index].Keys_)
      ByKey_.emplace(Key, Index);
}

const RoutePlan *ServingPlan::findRoute(std::string_view Host,
                                        std::string_view Path) const {
  auto Found = ByHost_.find(hostKey(Host));
  if (Found == ByHost_.end())
    return nullptr;
  for (std::size_t Index : Found->second)
    if (Path.starts_with(Routes_[Index].PathPrefix_))
      return &Routes_[Index];
  return nullptr;
}

const CustomerPlan *
ServingPlan::findCustomerOfKey(const std::string &Key) const {
  auto Found = ByKey_.find(Key);
  return Found == ByKey_.end() ? nullptr : &Customers_[Found->second];
}

const ServicePlan *ServingPlan::findService(const std::string &Name) const {
  auto Found = Services_.find(Name);
  return Found == Services_.end() ? nullptr : &Found->second;
}

const std::string &chooseService(const RoutePlan &Route, double Point) {
  static const std::string None;
  double Total = 0;
  for (const RouteSplit &Split : Route.Splits_)
    Total += Split.Weight_;
  double Left = Point * Total;
  for (const RouteSplit &Split : Route.Splits_) {
    Left -= Split.Weight_;
    if (Left < 0)
      return Split.Service_;
  }
  return Route.Splits_.empty() ? None : Route.Splits_.back().Service_;
}

} // namespace anvil
