#ifndef ANVIL_LEDGER_TABLELEDGER_H
#define ANVIL_LEDGER_TABLELEDGER_H

#include "Kernel/TimerService.h"
#include "Ledger/ClaimBook.h"
#include "Ledger/ClaimSession.h"
#include "Ledger/ClaimSweeper.h"
#include "Ledger/LedgerWriter.h"
#include "Membership/MembershipService.h"
#include "Peer/PeerNetwork.h"
#include "Requests/HandOver.h"
#include "Requests/RequestLedger.h"
#include "Settings/DaemonSettings.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace anvil {

/// Keeps claims and outcomes as rows of the platform's table, many changes to a
/// transaction. Ends that can't be recorded stay in memory and are recorded
/// later; old rows are removed by one VM at a time.
class TableLedger : public RequestLedger, public HandOver {
public:
  /// Whether a process of that VM is known to live; asked when the VM itself
  /// gives no answer. Without a hook membership says it.
  using AliveHook = std::function<bool(const std::string &Vm,
                                       const std::string &Incarnation)>;

  /// Gives the seconds of the Unix clock, by which rows expire.
  using UnixClockHook = std::function<std::int64_t()>;

  TableLedger(boost::asio::any_io_executor Executor,
              const DaemonSettings &Settings, TimerService &Timers,
              const ServiceRegistry &Services, std::string Incarnation);

  std::vector<std::string> dependencies() const override;
  Status start() override;
  void stop() override;

  /// Sets who says whether the process that made a claim lives.
  void onAliveCheck(AliveHook Hook) { IsClaimantAlive_ = std::move(Hook); }

  void onUnixClock(UnixClockHook Hook) { UnixSeconds_ = std::move(Hook); }

  boost::asio::awaitable<Outcome<ClaimDecision>>
  claim(const RequestContext &Request) override;
  boost::asio::awaitable<void> record(ClaimToken Claim, ClaimEnd End) override;

  /// Waits a little for the ends that are not recorded yet.
  boost::asio::awaitable<void> handOver() override;

private:
  /// A refused claim whose write may still arrive.
  struct Trace {
    std::string Row_;
    std::string Text_;
    TimePoint Due_{};
    Duration Wait_{0};
  };

  boost::asio::awaitable<ClaimantState> ask(std::string Row, AskClaimant Whom);
  boost::asio::awaitable<bool> tryToSettle(std::string Row);
  boost::asio::awaitable<void> settleLater(std::string Row);
  boost::asio::awaitable<void> removeTraces();
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
  AliveHook IsClaimantAlive_;
  UnixClockHook UnixSeconds_;
  std::shared_ptr<LedgerWriter> Writer_;
  ClaimBook Book_;
  ClaimSweeper Sweeper_;
  std::vector<Trace> Traces_;
  bool Sweeping_ = false;
  bool RemovingTraces_ = false;
  TimePoint NextSweep_{};
  TimerService::Subscription Tick_;
};

} // namespace anvil

#endif // ANVIL_LEDGER_TABLELEDGER_H
