#include "Entry/RequestServices.h"

#include "Entry/RequestRun.h"

namespace anvil {

RetryBudget &RequestServices::retriesOf(const std::string &Service) {
  auto [Place, IsNew] = Retries_.try_emplace(Service, RetryOptions_);
  if (IsNew) {
    Place->second.setVms(Vms_);
    Place->second.begin(BootClock::now());
  }
  return Place->second;
}

void RequestServices::setVms(double Count) {
  Vms_ = Count;
  for (auto &[Service, Budget] : Retries_)
    Budget.setVms(Count);
}

void RequestServices::endRequests() {
  TimeIsUp_ = true;
  for (RequestRun &Run : Running_)
    Run.interrupt();
}

} // namespace anvil
