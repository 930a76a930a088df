#include "Placement/StoreBudgetService.h"

#include "Placement/PermitMessages.h"

#include <algorithm>
#include <set>

namespace anvil {

namespace asio = boost::asio;

/// How often the shares are updated from the VMs and the configuration.
static constexpr Duration ShareUpdatePeriod = std::chrono::seconds(1);

/// How long another VM may take to reply.
static constexpr Duration HolderReplyTimeout = std::chrono::milliseconds(500);

/// How long a VM waits before it uses a share that it did not have.
static constexpr Duration ShareActivationDelay = std::chrono::milliseconds(500);

StoreBudgetService::StoreBudgetService(
    const DaemonSettings &Settings, TimerService &Timers,
    std::shared_ptr<ConfigState> State,
    std::shared_ptr<MembershipService> Members,
    std::shared_ptr<PeerNetwork> Network)
    : Settings_(Settings), Timers_(Timers), State_(std::move(State)),
      Members_(std::move(Members)), Network_(std::move(Network)),
      // After its timeout an order may run on the engine for as long again.
      Budget_(2 * std::chrono::milliseconds(Settings.Targets_.LoadTimeoutMs_)) {
}

Status StoreBudgetService::start() {
  UpdateTimer_ = Timers_.every(ShareUpdatePeriod, BootClock::now(),
                               [this](TimePoint Now) { updateShare(Now); });
  State_->Changed_.attach(
      [this](const SnapshotPtr &) { updateShare(BootClock::now()); });
  auto HandleRequest =
      [this](std::string,
             StoreBudgetMessage Message) -> asio::awaitable<StoreBudgetReply> {
    StoreBudgetReply Reply;
    if (Message.Ended_)
      Budget_.end(Message.Load_);
    else
      Reply.Allowed_ = Budget_.start(Message.Load_, BootClock::now());
    co_return Reply;
  };
  handlePeerRequests<StoreBudgetMessage>(*Network_, HandleRequest);
  handlePeerNotices<StoreBudgetMessage>(
      *Network_,
      [this](const std::string &, const StoreBudgetMessage &Message) {
        if (Message.Ended_)
          Budget_.end(Message.Load_);
      });
  return std::monostate{};
}

std::vector<std::string> StoreBudgetService::vms() const {
  std::set<std::string> DataCentres{Settings_.DataCentre_};
  for (const auto &[VmName, Member] : Members_->members())
    DataCentres.insert(Member.DataCentre_);
  std::vector<std::string> Names;
  for (const std::string &DataCentre : DataCentres)
    for (std::string &VmName : Members_->liveVmsIn(DataCentre))
      Names.push_back(std::move(VmName));
  return Names;
}

StoreLimits StoreBudgetService::totalLimits() const {
  const auto &Stores = State_->current()->Objects_.all<WeightStore>();
  if (Stores.empty())
    return {};
  const WeightStore &Store = Stores.begin()->second;
  return {Store.LoadsPerSecond_,
          std::min(Store.ConcurrentLoads_, Store.InTransit_)};
}

void StoreBudgetService::updateShare(TimePoint Now) {
  Budget_.setShare(budgetShare(totalLimits(), vms(), Settings_.Vm_),
                   ShareActivationDelay, Now);
}

asio::awaitable<bool> StoreBudgetService::startLoad(std::string Load) {
  if (State_->current()->Objects_.all<WeightStore>().empty())
    co_return true;
  auto Holders = budgetHolders(totalLimits(), vms());
  // The own share comes first: it needs no message, and another holder may be
  // unreachable.
  std::partition(Holders.begin(), Holders.end(),
                 [this](const std::string &Vm) { return Vm == Settings_.Vm_; });
  for (const std::string &Holder : Holders) {
    bool Allowed = false;
    if (Holder == Settings_.Vm_) {
      Allowed = Budget_.start(Load, BootClock::now());
    } else {
      StoreBudgetMessage Request;
      Request.Load_ = Load;
      auto Reply = co_await callPeer<StoreBudgetReply>(
          *Network_, Holder, std::move(Request), HolderReplyTimeout);
      Allowed = isOk(Reply) && valueOf(Reply).Allowed_;
    }
    if (!Allowed)
      continue;
    LoadHolders_[Load] = Holder;
    co_return true;
  }
  co_return false;
}

void StoreBudgetService::endLoad(const std::string &Load) {
  auto Found = LoadHolders_.find(Load);
  if (Found == LoadHolders_.end())
    return;
  std::string Holder = std::move(Found->second);
  LoadHolders_.erase(Found);
  if (Holder == Settings_.Vm_)
    return Budget_.end(Load);
  StoreBudgetMessage Notice;
  Notice.Load_ = Load;
  Notice.Ended_ = true;
  notifyPeer(*Network_, Holder, Notice);
}

} // namespace anvil
