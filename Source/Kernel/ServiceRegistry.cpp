#include "Kernel/ServiceRegistry.h"

#include <functional>
#include <set>

namespace anvil {

void ServiceRegistry::add(std::shared_ptr<Service> Registered) {
  std::string Name(Registered->serviceName());
  bool IsNew = Services_.emplace(Name, std::move(Registered)).second;
  checkInvariant(IsNew, "two services are registered under the same name");
}

Result<std::vector<std::string>> ServiceRegistry::startOrder() const {
  std::vector<std::string> Order;
  std::set<std::string> Visited;
  std::set<std::string> Visiting;
  Error Problem;
  std::function<bool(const std::string &)> Visit =
      [&](const std::string &Name) -> bool {
    if (Visited.count(Name))
      return true;
    auto Found = Services_.find(Name);
    if (Found == Services_.end()) {
      Problem = {ErrorCode::NotFound, "service registry",
                 "there is no service named " + Name,
                 "register it before the start"};
      return false;
    }
    if (!Visiting.insert(Name).second) {
      Problem = {ErrorCode::Conflict, "service registry",
                 "the dependencies of " + Name + " form a cycle",
                 "break the cycle"};
      return false;
    }
    for (const std::string &Dependency : Found->second->dependencies())
      if (!Visit(Dependency))
        return false;
    Visiting.erase(Name);
    Visited.insert(Name);
    Order.push_back(Name);
    return true;
  };
  for (const auto &[Name, Unused] : Services_)
    if (!Visit(Name))
      return Problem;
  return Order;
}

Status ServiceRegistry::claimAll() {
  for (const auto &[Name, Registered] : Services_) {
    Status Outcome = Registered->claimResources();
    if (!isOk(Outcome))
      return Outcome;
  }
  return std::monostate{};
}

Status ServiceRegistry::startAll() {
  auto Order = startOrder();
  if (!isOk(Order))
    return errorOf(Order);
  for (const std::string &Name : valueOf(Order)) {
    Status Outcome = Services_.at(Name)->start();
    if (!isOk(Outcome)) {
      stopAll();
      return Outcome;
    }
    Started_.push_back(Name);
  }
  return std::monostate{};
}

void ServiceRegistry::stopAll() {
  while (!Started_.empty()) {
    Services_.at(Started_.back())->stop();
    Started_.pop_back();
  }
}

} // namespace anvil
