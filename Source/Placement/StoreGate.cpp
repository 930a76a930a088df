#include "Placement/StoreGate.h"

#include "Placement/PermitMessages.h"

#include <algorithm>
#include <set>

namespace anvil {

namespace asio = boost::asio;

/// How often the split follows the VMs and the configuration.
static constexpr Duration ReshapePeriod = std::chrono::seconds(1);

/// How long another VM may take to answer.
static constexpr Duration AskTimeout = std::chrono::milliseconds(500);

/// What a VM waits before it uses a part that it did not have.
static constexpr Duration SettleTime = std::chrono::milliseconds(500);

StoreGate::StoreGate(const DaemonSettings &Settings, TimerService &Timers,
                     std::shared_ptr<ConfigState> State,
                     std::shared_ptr<MembershipService> Members,
                     std::shared_ptr<PeerNetwork> Network)
    : Settings_(Settings), Timers_(Timers), State_(std::move(State)),
      Members_(std::move(Members)), Network_(std::move(Network)),
      // An order that timed out may run as long again on the engine.
      Budget_(2 * std::chrono::milliseconds(Settings.Targets_.LoadTimeoutMs_)) {
}

Status StoreGate::start() {
  Period_ = Timers_.every(ReshapePeriod, BootClock::now(),
                          [this](TimePoint Now) { reshape(Now); });
  State_->Changed_.attach(
      [this](const SnapshotPtr &) { reshape(BootClock::now()); });
  auto Answer =
      [this](std::string,
             StoreBudgetMessage Given) -> asio::awaitable<StoreBudgetReply> {
    StoreBudgetReply Reply;
    if (Given.Ended_)
      Budget_.end(Given.Load_);
    else
      Reply.Allowed_ = Budget_.start(Given.Load_, BootClock::now());
    co_return Reply;
  };
  answerPeers<StoreBudgetMessage>(*Network_, Answer);
  listenToPeers<StoreBudgetMessage>(
      *Network_, [this](const std::string &, const StoreBudgetMessage &Given) {
        if (Given.Ended_)
          Budget_.end(Given.Load_);
      });
  return std::monostate{};
}

std::vector<std::string> StoreGate::vms() const {
  std::set<std::string> DataCentres{Settings_.DataCentre_};
  for (const auto &[VmName, Known] : Members_->members())
    DataCentres.insert(Known.DataCentre_);
  std::vector<std::string> Names;
  for (const std::string &DataCentre : DataCentres)
    for (std::string &VmName : Members_->liveIn(DataCentre))
      Names.push_back(std::move(VmName));
  return Names;
}

StoreLimits StoreGate::whole() const {
  const auto &Stores = State_->current()->Objects_.all<WeightStore>();
  if (Stores.empty())
    return {};
  const WeightStore &Store = Stores.begin()->second;
  return {Store.LoadsPerSecond_,
          std::min(Store.ConcurrentLoads_, Store.InTransit_)};
}

void StoreGate::reshape(TimePoint Now) {
  Budget_.reshape(storeShare(whole(), vms(), Settings_.Vm_), SettleTime, Now);
}

asio::awaitable<bool> StoreGate::startLoad(std::string Load) {
  if (State_->current()->Objects_.all<WeightStore>().empty())
    co_return true;
  auto Holders = storeHolders(whole(), vms());
  // One's own part needs no message, which might go to a VM that is cut off.
  std::partition(Holders.begin(), Holders.end(),
                 [this](const std::string &Vm) { return Vm == Settings_.Vm_; });
  for (const std::string &Holder : Holders) {
    bool Allowed = false;
    if (Holder == Settings_.Vm_) {
      Allowed = Budget_.start(Load, BootClock::now());
    } else {
      StoreBudgetMessage Ask;
      Ask.Load_ = Load;
      auto Reply = co_await callPeer<StoreBudgetReply>(
          *Network_, Holder, std::move(Ask), AskTimeout);
      Allowed = isOk(Reply) && valueOf(Reply).Allowed_;
    }
    if (!Allowed)
      continue;
    Lenders_[Load] = Holder;
    co_return true;
  }
  co_return false;
}

void StoreGate::endLoad(const std::string &Load) {
  auto Found = Lenders_.find(Load);
  if (Found == Lenders_.end())
    return;
  std::string Lender = std::move(Found->second);
  Lenders_.erase(Found);
  if (Lender == Settings_.Vm_)
    return Budget_.end(Load);
  StoreBudgetMessage Notice;
  Notice.Load_ = Load;
  Notice.Ended_ = true;
  notifyPeer(*Network_, Lender, Notice);
}

} // namespace anvil
