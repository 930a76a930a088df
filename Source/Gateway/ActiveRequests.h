#ifndef ANVIL_GATEWAY_ACTIVEREQUESTS_H
#define ANVIL_GATEWAY_ACTIVEREQUESTS_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace anvil {

/// Registry of the requests being served, through which they can be cancelled.
class ActiveRequests {
  struct Request {
    std::string KeyName_;
    std::function<void()> Cancel_;
  };
  using RequestMap = std::map<std::uint64_t, Request>;

public:
  /// Unregisters the request when destroyed. May outlive the registry, since a
  /// request interrupted by a shutdown is destroyed with the event loop.
  class Entry {
  public:
    Entry(std::weak_ptr<RequestMap> Requests, std::uint64_t Id)
        : Requests_(std::move(Requests)), Id_(Id) {}
    Entry(const Entry &) = delete;
    Entry &operator=(const Entry &) = delete;
    ~Entry() {
      if (auto Requests = Requests_.lock())
        Requests->erase(Id_);
    }

  private:
    std::weak_ptr<RequestMap> Requests_;
    std::uint64_t Id_;
  };

  /// Registers a request that `Cancel` ends.
  Entry add(std::string KeyName, std::function<void()> Cancel);

  /// Cancels the requests whose key `IsValid` rejects, and returns their
  /// number. Requests without a key name stay.
  std::size_t
  cancelInvalid(const std::function<bool(const std::string &)> &IsValid);

  std::size_t size() const { return Requests_->size(); }

private:
  std::shared_ptr<RequestMap> Requests_ = std::make_shared<RequestMap>();
  std::uint64_t NextId_ = 1;
};

} // namespace anvil

#endif // ANVIL_GATEWAY_ACTIVEREQUESTS_H
