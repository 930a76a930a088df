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

/// A component of the daemon with a name, dependencies, a start and a stop.
class Service {
public:
  virtual ~Service() = default;

  /// The name under which other services look this one up.
  virtual std::string_view serviceName() const = 0;

  /// The names of the services that must have started before this one.
  virtual std::vector<std::string> dependencies() const { return {}; }

  /// Takes what only one process can hold, such as an address. Error:
  /// conflict if another process holds it; the call may then be repeated.
  virtual Status claimResources() { return std::monostate{}; }

  /// Starts the service. An error aborts the start of the whole daemon.
  virtual Status start() { return std::monostate{}; }

  /// Stops the service. The services that it depends on are still running.
  virtual void stop() {}
};

/// Owns the services of a process. Services look each other up by name; they
/// are started in dependency order and stopped in the reverse order.
class ServiceRegistry {
public:
  /// Registers a service. Registering a name twice is an invariant violation.
  void add(std::shared_ptr<Service> Registered);

  /// Returns the service of that name as `Interface`, or null if there is none
  /// or it does not implement `Interface`.
  template <class Interface>
  std::shared_ptr<Interface> find(std::string_view Name) const {
    auto Found = Services_.find(std::string(Name));
    if (Found == Services_.end())
      return nullptr;
    return std::dynamic_pointer_cast<Interface>(Found->second);
  }

  /// Like `find`, but a missing service is an invariant violation.
  template <class Interface>
  std::shared_ptr<Interface> require(std::string_view Name) const {
    auto Found = find<Interface>(Name);
    checkInvariant(Found != nullptr, "a required service is not registered");
    return Found;
  }

  /// Returns all services that implement `Interface`, sorted by name.
  template <class Interface>
  std::vector<std::shared_ptr<Interface>> all() const {
    std::vector<std::shared_ptr<Interface>> Found;
    for (const auto &[Name, Registered] : Services_)
      if (auto Cast = std::dynamic_pointer_cast<Interface>(Registered))
        Found.push_back(std::move(Cast));
    return Found;
  }

  /// Calls `claim` of all services up to the first error.
  Status claimAll();

  /// Starts all services. If one fails, the services already started are
  /// stopped. The error names an unknown dependency, a dependency cycle or the
  /// service that failed.
  Status startAll();

  /// Stops the running services in reverse order of their start.
  void stopAll();

private:
  Result<std::vector<std::string>> startOrder() const;

  std::map<std::string, std::shared_ptr<Service>> Services_;
  std::vector<std::string> Started_;
};

} // namespace anvil

#endif // ANVIL_KERNEL_SERVICEREGISTRY_H
