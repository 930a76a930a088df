#include "Entry/RequestServices.h"

#include "Entry/RequestRun.h"

namespace anvil {

RetryBudget &RequestServices::retryBudgetOf(const std::string &Service) {
  auto [Found, IsNew] = RetryBudgets_.try_emplace(Service, RetryOptions_);
  if (IsNew) {
    Found->second.setVmCount(Vms_);
    Found->second.begin(BootClock::now());
  }
  return Found->second;
}

void RequestServices::setVms(double Count) {
  Vms_ = Count;
  for (auto &[Service, Budget] : RetryBudgets_)
    Budget.setVmCount(Count);
}

void RequestServices::checkDeliveries(TimePoint Now) {
  for (RequestRun &Run : Running_)
    Run.checkDelivery(Now);
}

void RequestServices::endRequests() {
  ServingEnded_ = true;
  for (RequestRun &Run : Running_)
    Run.interrupt();
}

} // namespace anvil
