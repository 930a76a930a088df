#ifndef ANVIL_ADMISSION_QUOTASERVICE_H
#define ANVIL_ADMISSION_QUOTASERVICE_H

#include "Admission/QuotaBorrowRound.h"
#include "Admission/QuotaLeaseHolder.h"
#include "Admission/QuotaLeaseService.h"
#include "Config/ConfigState.h"
#include "Requests/HandoverParticipant.h"
#include "Requests/QuotaGate.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json_fwd.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace anvil {

/// Keeps customers within their rate and burst over all VMs by leased shares. A
/// request that finds too few tokens on this VM borrows them from other VMs
/// within a short time; the shares follow the demand more slowly.
class QuotaService : public QuotaGate, public HandoverParticipant {
public:
  QuotaService(boost::asio::any_io_executor Executor,
               const DaemonSettings &Settings, std::string Incarnation,
               TimerService &Timers, const ServiceRegistry &Services);

  std::vector<std::string> dependencies() const override;
  Status start() override;
  void stop() override;

  boost::asio::awaitable<Outcome<QuotaCharge>>
  charge(const RequestContext &Request) override;
  void settle(const QuotaCharge &Charge, double UsedTokens) override;

  /// Charges one load to the weight store's rate, which is shared by all VMs.
  /// The refusal contains the retry time.
  boost::asio::awaitable<Outcome<QuotaCharge>>
  chargeLoad(std::string StoreName);

  boost::asio::awaitable<void> handOver() override;

  /// The shares of this VM, for the status page.
  nlohmann::json status();

private:
  /// A rate and burst with its name, which is also the name of its row.
  struct Limits {
    std::string Name_;
    double Rate_ = 0;
    double Burst_ = 0;
  };

  /// The estimated tokens of another VM: the balance in its last reply, and its
  /// part of the rate since then.
  struct PeerAllocation {
    double Part_ = 0;
    double Remaining_ = 0;
    TimePoint UpdatedAt_{};
  };

  /// State of one customer beside its share.
  struct CustomerState {
    Limits Limits_;
    double Demand_ = 0;
    TimePoint DemandUpdatedAt_{};
    TimePoint RefreshedAt_{};
    bool RowRead_ = false;
    /// Whether a part of the burst has not been issued to any VM yet.
    bool HasUnissued_ = false;
    bool Refreshing_ = false;
    int ActiveBorrows_ = 0;
    /// No loans are requested before this time, because the other VMs had no
    /// tokens.
    TimePoint BackOffUntil_{};
    std::map<std::string, PeerAllocation> PeerAllocations_;
  };

  /// The loan requests for one waiting request, and the timer that wakes it.
  struct BorrowOperation {
    BorrowOperation(boost::asio::any_io_executor Executor,
                    QuotaBorrowRound Round)
        : Round_(std::move(Round)), Changed_(std::move(Executor)) {}
    QuotaBorrowRound Round_;
    boost::asio::steady_timer Changed_;
  };

  QuotaShare &shareOf(const Limits &Quota, TimePoint Now);
  CustomerState &track(const Limits &Quota, double Tokens, TimePoint Now);
  static double demandOf(const CustomerState &State, TimePoint Now);
  std::optional<Limits> limitsOf(const std::string &Name) const;
  Refusal refuse(const Limits &Quota, double Tokens, TimePoint Now);

  boost::asio::awaitable<Outcome<QuotaCharge>> acquireTokens(Limits Quota,
                                                             double Tokens);
  boost::asio::awaitable<bool> borrowFromPeers(Limits Quota, double Tokens);
  boost::asio::awaitable<void>
  borrowInRound(std::shared_ptr<BorrowOperation> Operation, Limits Quota,
                std::string Vm, double Needed, double Desired);
  boost::asio::awaitable<double> borrowFromPeer(Limits Quota, std::string Vm,
                                                double Needed, double Desired,
                                                Duration Timeout);
  boost::asio::awaitable<void> prefetch(Limits Quota);
  std::vector<std::string> lenders(const CustomerState &State,
                                   TimePoint Now) const;
  static double estimateBalance(const Limits &Quota, const PeerAllocation &Peer,
                                TimePoint Now);

  boost::asio::awaitable<void> awaitFirstRead(Limits Quota);
  boost::asio::awaitable<void> refresh(Limits Quota);
  boost::asio::awaitable<void> refreshRow(Limits Quota);
  void updatePeerAllocations(CustomerState &State, const QuotaAllocations &Row);
  boost::asio::awaitable<Result<std::set<std::string>>>
  liveLeasesFor(const QuotaAllocations &Row);
  boost::asio::awaitable<void> renew();
  boost::asio::awaitable<void> readFloors();
  boost::asio::awaitable<void> requestPromises();
  void registerHandlers();
  void tick(TimePoint Now);
  /// Acquires shares for customers that have not sent requests yet, so that
  /// they can be served if the platform becomes unavailable before they do.
  void trackIdleCustomers(TimePoint Now);
  void publishGauges(TimePoint Now);
  bool isInDataCentre(const std::string &Vm,
                      const std::string &DataCentre) const;

  boost::asio::any_io_executor Executor_;
  const DaemonSettings &Settings_;
  TimerService &Timers_;
  std::shared_ptr<ConfigState> State_;
  std::shared_ptr<PlatformService> Platform_;
  std::shared_ptr<PeerNetwork> Network_;
  std::shared_ptr<MembershipService> Members_;
  std::shared_ptr<QuotaLeaseService> LeaseService_;
  std::shared_ptr<Metrics> Metrics_;
  QuotaLeaseHolder Holder_;
  std::map<std::string, CustomerState> Customers_;
  std::set<std::string> LiveLeases_;
  TimePoint LiveLeasesReadAt_{};
  /// Cached leases are not used before this time.
  TimePoint RereadLeasesUntil_{};
  bool FloorsKnown_ = false;
  double Reserve_ = 0;
  bool Renewing_ = false;
  bool RequestingPromises_ = false;
  bool HandingOver_ = false;
  bool Stopped_ = false;
  TimePoint NextRenewal_{};
  TimePoint NextRefresh_{};
  TimePoint NextGauges_{};
  TimerService::Subscription Tick_;
};

} // namespace anvil

#endif // ANVIL_ADMISSION_QUOTASERVICE_H
