#ifndef ANVIL_KERNEL_SERVICEREGISTRY_H
#define ANVIL_KERNEL_SERVICEREGISTRY_H

#include "Kernel/Error.h"
#include "Kernel/Invariant.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace anvil {

/// A part of the daemon with a name and a life of its own.
class Service {
public:
  virtual ~Service() = default;

  /// The name under which others find this service.
  virtual std::string_view serviceName() const = 0;

  /// The names of the services that must have started before this one.
  virtual std::vector<std::string> dependencies() const { return {}; }

  /// Begins the service's work. An error stops the start of the whole.
  virtual Status start() { return std::monostate{}; }

  /// Ends the service's work. Services it depends on are still running.
  virtual void stop() {}
};

/// Holds the services of a process. Services find each other here by name and
/// are started in order of dependence and stopped in the reverse order.
class ServiceRegistry {
public:
  /// Takes a service in. Two services of one name break an invariant.
  void add(std::shared_ptr<Service> Added);

  /// The service of that name seen as `Interface`, or null when there is none.
  template <class Interface>
  std::shared_ptr<Interface> find(std::string_view Name) const {
    auto Found = Services_.find(std::string(Name));
    if (Found == Services_.end())
      return nullptr;
    return std::dynamic_pointer_cast<Interface>(Found->second);
  }

  /// The service of that name; its absence breaks an invariant.
  template <class Interface>
  std::shared_ptr<Interface> require(std::string_view Name) const {
    auto Found = find<Interface>(Name);
    checkInvariant(Found != nullptr, "a required service is not registered");
    return Found;
  }

  /// Every service that is also an `Interface`, by name.
  template <class Interface>
  std::vector<std::shared_ptr<Interface>> all() const {
    std::vector<std::shared_ptr<Interface>> Found;
    for (const auto &[Name, Known] : Services_)
      if (auto Seen = std::dynamic_pointer_cast<Interface>(Known))
        Found.push_back(std::move(Seen));
    return Found;
  }

  /// Starts every service. On an error those already started are stopped.
  /// The error names an unknown dependency, a cycle or the failed service.
  Status startAll();

  /// Stops what runs, last started first.
  void stopAll();

private:
  Result<std::vector<std::string>> startOrder() const;

  std::map<std::string, std::shared_ptr<Service>> Services_;
  std::vector<std::string> Started_;
};

} // namespace anvil

#endif // ANVIL_KERNEL_SERVICEREGISTRY_H
