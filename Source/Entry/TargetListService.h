#ifndef ANVIL_ENTRY_TARGETLISTSERVICE_H
#define ANVIL_ENTRY_TARGETLISTSERVICE_H

#include "Kernel/Hook.h"
#include "Kernel/ServiceRegistry.h"
#include "Serving/TargetRoster.h"
#include "Settings/EntrySettings.h"
#include "platform/StoreClient.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>

namespace anvil {

/// Follows the platform's list of targets.
class TargetListService : public Service {
public:
  static constexpr std::string_view Name = "target_list";

  TargetListService(boost::asio::any_io_executor Executor,
                    const EntrySettings &Settings,
                    std::shared_ptr<platform::StoreClient> Store);

  std::string_view serviceName() const override { return Name; }
  Status start() override;

  TargetRoster &roster() { return Roster_; }

  /// Sets how many VMs read the list and hear each other of leavers. Many read
  /// it less often each.
  void setReaders(std::size_t Count) { Readers_ = Count; }

  /// Fired after each reading of the list.
  Hook<> Read_;

  /// Fired when what is believed of a target changes.
  Hook<const RosterChange &> Changed_;

private:
  boost::asio::awaitable<void> follow();
  void apply(const std::vector<TableRow> &Rows);

  boost::asio::any_io_executor Executor_;
  const EntrySettings &Settings_;
  std::shared_ptr<platform::StoreClient> Store_;
  TargetRoster Roster_;
  std::size_t Readers_ = 1;
};

} // namespace anvil

#endif // ANVIL_ENTRY_TARGETLISTSERVICE_H
