#ifndef ANVIL_PLACEMENT_LOCALPERMITBROKER_H
#define ANVIL_PLACEMENT_LOCALPERMITBROKER_H

#include "Requests/PermitBroker.h"
#include "Routing/TargetDirectory.h"
#include "Settings/DaemonSettings.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>

namespace anvil {

/// Grants permits without target owners: loads and evicts adapters by this VM's
/// own view, least recently used first. VMs don't know of each other's permits,
/// so an adapter that another VM uses may be evicted. It is the baseline that
/// target owners are compared with.
class LocalPermitBroker : public PermitBroker {
public:
  LocalPermitBroker(boost::asio::any_io_executor Executor,
                    const DaemonSettings &Settings,
                    std::shared_ptr<TargetDirectory> Directory);

  boost::asio::awaitable<Outcome<Permit>>
  acquire(const RequestContext &Request, std::string TargetName) override;
  void release(const Permit &Held, PermitOutcome End) override;

private:
  struct Use {
    std::int64_t Permits_ = 0;
    TimePoint LastUsed_{};
    bool Resident_ = false;
  };
  struct Load {
    explicit Load(const boost::asio::any_io_executor &Executor);
    boost::asio::steady_timer Done_;
    std::optional<Status> Result_;
  };
  struct Engine {
    std::string Incarnation_;
    std::map<AdapterRef, Use> Uses_;
    std::map<AdapterRef, std::shared_ptr<Load>> Loads_;
  };

  void syncWithReport(Engine &State, const std::string &TargetName);
  boost::asio::awaitable<Status> ensureResident(const Target &Destination,
                                                AdapterRef Adapter,
                                                std::string Weights);
  boost::asio::awaitable<void> makeRoom(const Target &Destination);

  boost::asio::any_io_executor Executor_;
  const DaemonSettings &Settings_;
  std::shared_ptr<TargetDirectory> Directory_;
  std::map<std::string, Engine> Engines_;
  std::uint64_t NextPermit_ = 1;
};

} // namespace anvil

#endif // ANVIL_PLACEMENT_LOCALPERMITBROKER_H
