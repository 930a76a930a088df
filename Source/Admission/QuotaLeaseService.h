#ifndef ANVIL_ADMISSION_QUOTALEASESERVICE_H
#define ANVIL_ADMISSION_QUOTALEASESERVICE_H

#include "Admission/QuotaLeaseWatch.h"
#include "Admission/QuotaMessages.h"
#include "Membership/MembershipService.h"
#include "Settings/DaemonSettings.h"
#include "TableService/PlatformService.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace anvil {

/// The key of the row with a data centre's leases.
std::string quotaLeaseRow(const std::string &DataCentre);

/// Writes lease requests of this VM and of others into their data centre's row.
/// Requests that arrive within a short time share one write. Some VMs also
/// watch rows and end leases that are not renewed.
class QuotaLeaseService : public Service {
public:
  static constexpr std::string_view Name = "quota_keeper";

  QuotaLeaseService(boost::asio::any_io_executor Executor,
                    const DaemonSettings &Settings, TimerService &Timers,
                    std::shared_ptr<PlatformService> Platform,
                    std::shared_ptr<PeerNetwork> Network,
                    std::shared_ptr<MembershipService> Members);

  std::string_view serviceName() const override { return Name; }
  std::vector<std::string> dependencies() const override;
  Status start() override;
  void stop() override;

  /// Delivers a lease request to its row: through VMs of the data centre that
  /// write the row, directly from this VM, or through a VM of another data
  /// centre.
  boost::asio::awaitable<QuotaShareRenewalReply>
  send(QuotaShareRenewal Renewal);

  /// Requests from every VM in `Peers` the promise not to end this VM's lease
  /// for a term. Returns true if all have promised.
  boost::asio::awaitable<bool> requestPromises(std::vector<std::string> Peers);

  /// Sets the function that returns this VM's own lease.
  void setOwnLeaseSource(std::function<std::string()> Source) {
    OwnLease_ = std::move(Source);
  }

  /// Reads the ids of the leases of those data centres that have not ended.
  boost::asio::awaitable<Result<std::set<std::string>>>
  readLiveLeases(std::set<std::string> DataCentres);

private:
  /// A lease request that waits to be written.
  struct PendingRequest {
    PendingRequest(boost::asio::any_io_executor Executor,
                   QuotaShareRenewal Request)
        : Request_(std::move(Request)), Done_(Executor) {}
    QuotaShareRenewal Request_;
    QuotaShareRenewalReply Reply_;
    bool IsDone_ = false;
    boost::asio::steady_timer Done_;
  };
  using PendingRequestPtr = std::shared_ptr<PendingRequest>;

  /// The lease requests for one data centre's row.
  struct Batch {
    std::vector<PendingRequestPtr> Pending_;
    bool IsWriting_ = false;
    TimePoint WrittenAt_{};
  };

  boost::asio::awaitable<QuotaShareRenewalReply>
  write(QuotaShareRenewal Renewal);
  boost::asio::awaitable<void> flush(std::string DataCentre);
  boost::asio::awaitable<void>
  writeBatch(std::string DataCentre, std::vector<PendingRequestPtr> Requests);
  boost::asio::awaitable<void> checkLeases(std::string DataCentre);
  void checkAllLeases();
  std::vector<std::string> writeRoute(const std::string &DataCentre) const;

  boost::asio::any_io_executor Executor_;
  const DaemonSettings &Settings_;
  TimerService &Timers_;
  std::shared_ptr<PlatformService> Platform_;
  std::shared_ptr<PeerNetwork> Network_;
  std::shared_ptr<MembershipService> Members_;
  std::map<std::string, Batch> Batches_;
  std::map<std::string, QuotaLeaseWatch> Watches_;
  std::set<std::string> Checking_;
  std::function<std::string()> OwnLease_ = [] { return std::string(); };
  TimerService::Subscription WatchTimer_;
};

} // namespace anvil

#endif // ANVIL_ADMISSION_QUOTALEASESERVICE_H
