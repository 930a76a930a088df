#include "Gateway/ActiveRequests.h"

#include <vector>

namespace anvil {

ActiveRequests::Entry ActiveRequests::add(std::string KeyName,
                                          std::function<void()> Cancel) {
  std::uint64_t Id = NextId_++;
  Requests_->emplace(Id, Request{std::move(KeyName), std::move(Cancel)});
  return Entry(Requests_, Id);
}

std::size_t ActiveRequests::cancelInvalid(
    const std::function<bool(const std::string &)> &IsValid) {
  // A cancelled request may unregister itself, which would invalidate the
  // iterator; so it is cancelled after the loop.
  std::vector<std::function<void()>> Ended;
  for (const auto &[Id, Running] : *Requests_)
    if (!Running.KeyName_.empty() && !IsValid(Running.KeyName_))
      Ended.push_back(Running.Cancel_);
  for (const auto &Cancel : Ended)
    Cancel();
  return Ended.size();
}

} // namespace anvil
