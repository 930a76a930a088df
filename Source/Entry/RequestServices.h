#ifndef ANVIL_ENTRY_REQUESTSERVICES_H
#define ANVIL_ENTRY_REQUESTSERVICES_H

#include "Entry/FleetState.h"
#include "Entry/TargetPermits.h"
#include "Entry/TargetPicker.h"
#include "Http/ConnectionPool.h"
#include "Routing/RetryBudget.h"
#include "Telemetry/Metrics.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/intrusive/list.hpp>

#include <map>
#include <memory>
#include <string>

namespace anvil {

/// Keeps a run in the list of those under way until either of them is gone; the
/// runs that a stopped loop leaves behind outlive the list.
using RunHook = boost::intrusive::list_base_hook<
    boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

class RequestRun;

/// What all requests of this VM share.
struct RequestServices {
  boost::asio::any_io_executor Executor_;
  std::shared_ptr<TargetPicker> Picker_;
  std::shared_ptr<TargetPermits> Permits_;
  std::shared_ptr<FleetState> Fleet_;
  std::shared_ptr<Metrics> Metrics_;
  /// Second tries, by service.
  std::map<std::string, RetryBudget> RetryBudgets_;
  RetryBudgetOptions RetryOptions_;
  /// How many VMs share the extra second tries.
  double Vms_ = 1;
  ConnectionPool Pool_;
  boost::intrusive::list<RequestRun, boost::intrusive::base_hook<RunHook>,
                         boost::intrusive::constant_time_size<false>>
      Running_;
  /// Whether the time to serve requests has run out.
  bool ServingEnded_ = false;

  RetryBudget &retryBudgetOf(const std::string &Service);
  void setVms(double Count);

  /// Gives each request its final answer, those to come too: nothing is sent to
  /// a target any more. A stream that has begun is cut.
  void endRequests();
};

} // namespace anvil

#endif // ANVIL_ENTRY_REQUESTSERVICES_H
