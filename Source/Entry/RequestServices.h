#ifndef ANVIL_ENTRY_REQUESTSERVICES_H
#define ANVIL_ENTRY_REQUESTSERVICES_H

#include "Entry/ColdTargets.h"
#include "Entry/FleetState.h"
#include "Entry/LivenessChecks.h"
#include "Entry/ReachService.h"
#include "Entry/StreamVersionService.h"
#include "Entry/TargetPermits.h"
#include "Entry/TargetPicker.h"
#include "Http/ConnectionPool.h"
#include "Routing/RetryBudget.h"
#include "Telemetry/Metrics.h"
#include "platform/EngineControl.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/intrusive/list.hpp>

#include <map>
#include <memory>
#include <string>

namespace anvil {

/// Links a run into the list of active runs and unlinks it when it is
/// destroyed. Runs that a stopped event loop leaves behind may outlive the
/// list.
using RunHook = boost::intrusive::list_base_hook<
    boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

class RequestRun;

/// State and services that all requests of this VM share.
struct RequestServices {
  boost::asio::any_io_executor Executor_;
  std::shared_ptr<TargetPicker> Picker_;
  std::shared_ptr<TargetPermits> Permits_;
  std::shared_ptr<FleetState> Fleet_;
  std::shared_ptr<ColdTargets> ColdTargets_;
  std::shared_ptr<StreamVersionService> Streams_;
  std::shared_ptr<ReachService> Reach_;
  std::shared_ptr<Metrics> Metrics_;
  /// Retry budgets, by service.
  std::map<std::string, RetryBudget> RetryBudgets_;
  RetryBudgetOptions RetryOptions_;
  /// The number of VMs that share the extra retries.
  double Vms_ = 1;
  ConnectionPool Pool_;
  /// For asking engines which of their incarnations runs.
  std::shared_ptr<platform::EngineControl> Engines_;
  boost::intrusive::list<RequestRun, boost::intrusive::base_hook<RunHook>,
                         boost::intrusive::constant_time_size<false>>
      Running_;
  /// Whether this VM has stopped serving requests.
  bool ServingEnded_ = false;
  /// Whether targets outlive the ends of their connections.
  LivenessChecks Liveness_{
      [this](EndedConnection Ended) { return askTarget(std::move(Ended)); }};

  RetryBudget &retryBudgetOf(const std::string &Service);
  void setVms(double Count);

  /// Checks whether the requests that were sent have been received.
  void checkDeliveries(TimePoint Now);

  /// Ends all requests, also later ones, with a final reply: nothing is sent
  /// to a target any more, and streams that have begun are cut.
  void endRequests();

private:
  /// Asks a target whether it lives, or another VM that reaches it if this one
  /// doesn't.
  boost::asio::awaitable<TargetLife> askTarget(EndedConnection Ended);
  boost::asio::awaitable<TargetLife> askOtherVm(EndedConnection Ended);
};

} // namespace anvil

#endif // ANVIL_ENTRY_REQUESTSERVICES_H
