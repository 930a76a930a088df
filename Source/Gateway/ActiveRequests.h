#ifndef ANVIL_GATEWAY_ACTIVEREQUESTS_H
#define ANVIL_GATEWAY_ACTIVEREQUESTS_H

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace anvil {

/// The requests that are being served, so that they can be ended from outside.
class ActiveRequests {
public:
  /// Takes a request out when it is destroyed.
  class Entry {
  public:
    Entry(ActiveRequests &Owner, std::uint64_t Id) : Owner_(Owner), Id_(Id) {}
    Entry(const Entry &) = delete;
    Entry &operator=(const Entry &) = delete;
    ~Entry() { Owner_.Requests_.erase(Id_); }

  private:
    ActiveRequests &Owner_;
    std::uint64_t Id_;
  };

  /// Notes a request that `Cancel` can end.
  Entry add(std::string KeyName, std::function<void()> Cancel);

  /// Ends the requests whose key `IsValid` denies. How many there were.
  std::size_t
  cancelInvalid(const std::function<bool(const std::string &)> &IsValid);

  std::size_t size() const { return Requests_.size(); }

private:
  struct Request {
    std::string KeyName_;
    std::function<void()> Cancel_;
  };

  std::map<std::uint64_t, Request> Requests_;
  std::uint64_t NextId_ = 1;
};

} // namespace anvil

#endif // ANVIL_GATEWAY_ACTIVEREQUESTS_H
