#ifndef ANVIL_ENTRY_STREAMCOPYEXCHANGE_H
#define ANVIL_ENTRY_STREAMCOPYEXCHANGE_H

#include "Entry/FleetLink.h"
#include "Entry/FleetState.h"
#include "Streams/StreamRecords.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>
#include <vector>

namespace anvil {

/// Sends other VMs copies of what this one remembers of its streams, and keeps
/// theirs, so that they can be written again if the store has lost them and
/// their VM is gone.
class StreamCopyExchange {
public:
  StreamCopyExchange(boost::asio::any_io_executor Executor, std::string Self,
                     std::shared_ptr<FleetLink> Link,
                     std::shared_ptr<FleetState> Fleet);

  /// Begins to keep the copies of other VMs.
  void start();

  /// Sends a copy of a record soon.
  void send(const StreamRecord &Record);

  /// The copies that other VMs sent, as `StreamRecords::known`.
  std::vector<StreamRecord> known(TimePoint Now) const {
    return Kept_.known(Now);
  }

private:
  boost::asio::awaitable<void> sendDue();
  void keep(const StreamCopies &Copies);

  boost::asio::any_io_executor Executor_;
  std::string Self_;
  std::shared_ptr<FleetLink> Link_;
  std::shared_ptr<FleetState> Fleet_;
  std::vector<StreamRecord> Due_;
  StreamRecords Kept_;
};

} // namespace anvil

#endif // ANVIL_ENTRY_STREAMCOPYEXCHANGE_H
