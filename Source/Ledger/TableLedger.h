#ifndef ANVIL_LEDGER_TABLELEDGER_H
#define ANVIL_LEDGER_TABLELEDGER_H

#include "Kernel/TimerService.h"
#include "Ledger/ClaimRegistry.h"
#include "Ledger/ClaimSession.h"
#include "Ledger/ClaimSweeper.h"
#include "Ledger/LedgerWriter.h"
#include "Membership/MembershipService.h"
#include "Peer/PeerNetwork.h"
#include "Requests/HandoverParticipant.h"
#include "Requests/RequestLedger.h"
#include "Settings/DaemonSettings.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace anvil {

/// Stores claims and outcomes of requests that must not be repeated as rows of
/// the platform's table, many changes to a transaction. Outcomes that can't be
/// recorded stay in memory and are recorded later; expired rows are removed by
/// one VM at a time.
class TableLedger : public RequestLedger, public HandoverParticipant {
public:
  /// Whether the process `Incarnation` of that VM is alive; called when the VM
  /// itself doesn't reply. The default uses the membership.
  using AliveCheck = std::function<bool(const std::string &Vm,
                                        const std::string &Incarnation)>;

  /// Returns the seconds since the Unix epoch, by which rows expire.
  using UnixClock = std::function<std::int64_t()>;

  TableLedger(boost::asio::any_io_executor Executor,
              const DaemonSettings &Settings, TimerService &Timers,
              const ServiceRegistry &Services, std::string Incarnation);

  std::vector<std::string> dependencies() const override;
  Status start() override;
  void stop() override;

  /// Sets the check whether the process that made a claim is alive.
  void setAliveCheck(AliveCheck Hook) { IsClaimOwnerAlive_ = std::move(Hook); }

  void setUnixClock(UnixClock Hook) { UnixSeconds_ = std::move(Hook); }

  boost::asio::awaitable<Outcome<ClaimDecision>>
  claim(const RequestContext &Request) override;
  boost::asio::awaitable<void> record(ClaimToken Claim,
                                      ClaimOutcome Result) override;

  /// Waits up to 1.5 s for the outcomes that are not recorded yet.
  boost::asio::awaitable<void> handOver() override;

private:
  /// The write of a refused claim; it may still take effect.
  struct UnconfirmedWrite {
    std::string Row_;
    std::string RowValue_;
    TimePoint DueAt_{};
    Duration Delay_{0};
  };

  boost::asio::awaitable<ClaimOwnerState>
  queryClaimOwner(std::string Row, QueryClaimOwner Query);
  boost::asio::awaitable<bool> tryToRecord(std::string Row);
  boost::asio::awaitable<void> recordLater(std::string Row);
  boost::asio::awaitable<void> removeUnconfirmedWrites();
  boost::asio::awaitable<void> sweep();
  bool isSweeper() const;
  void tick(TimePoint Now);

  boost::asio::any_io_executor Executor_;
  const DaemonSettings &Settings_;
  TimerService &Timers_;
  std::shared_ptr<PlatformService> Platform_;
  std::shared_ptr<PeerNetwork> Network_;
  std::shared_ptr<MembershipService> Members_;
  std::shared_ptr<Metrics> Metrics_;
  std::string Incarnation_;
  AliveCheck IsClaimOwnerAlive_;
  UnixClock UnixSeconds_;
  std::shared_ptr<LedgerWriter> Writer_;
  ClaimRegistry Registry_;
  ClaimSweeper Sweeper_;
  std::vector<UnconfirmedWrite> UnconfirmedWrites_;
  bool Sweeping_ = false;
  bool RemovingWrites_ = false;
  TimePoint NextSweep_{};
  TimerService::Subscription TickTimer_;
};

} // namespace anvil

#endif // ANVIL_LEDGER_TABLELEDGER_H
