#include "Entry/FleetState.h"

#include "Serving/ReadRotation.h"
#include "Serving/UpdateSchedule.h"
#include "Telemetry/Log.h"

#include <algorithm>

namespace anvil {

/// For how long a crash, a draining target or a rate limit is repeated in
/// state updates, in case datagrams are lost.
static constexpr Duration UpdateRepeatTime = std::chrono::seconds(2);

/// For how long a digest stays suspect, and for how long it is refused.
/// Both are much shorter than the time between deployments, since a new
/// release may handle the request.
static constexpr Duration SuspectTime = std::chrono::seconds(60);
static constexpr Duration QuarantineTime = std::chrono::minutes(5);
static constexpr std::size_t MaxDigests = 2000;

/// The fraction of the burst that a customer starts with at a newly started
/// VM; other VMs may have spent the rest.
static constexpr double InitialShare = 0.05;

/// For how long balances are sent after the last state update of a newly
/// started VM; includes part of the delay until that VM receives them.
static constexpr Duration NewVmWindow = std::chrono::milliseconds(1500);

/// The number of quarantined requests that a newly started VM is told of, which
/// fit into one datagram beside the rest of a state update.
static constexpr std::size_t MaxRepeatedDigests = 32;

/// Prompts of at least this many tokens are reported at once; shorter ones are
/// sent with the next state update. The threshold is higher in a large fleet,
/// where each VM would receive too many notices otherwise.
static constexpr std::int64_t LongPromptTokens = 600;
static constexpr std::int64_t LongPromptTokensLarge = 1200;

/// How often unchanged inventories are sent, and how often to other data
/// centres of a large fleet.
static constexpr Duration InventoryPeriod = std::chrono::milliseconds(450);
static constexpr Duration RemoteInventoryPeriod =
    std::chrono::milliseconds(1500);

/// The number of VMs that send the summary of their data centre to the others.
/// If one becomes unresponsive, the VM of the next rank replaces it.
static constexpr std::size_t SummarySenders = 2;

/// The number of adapters that an engine loads fast because it had them
/// recently.
static std::size_t warmAdaptersOf(const ServingPlan &Plan) {
  std::size_t Most = 1;
  for (const auto &[Name, Service] : Plan.services())
    if (Service.Engine_)
      Most = std::max(Most, Service.Engine_->warmAdapters());
  return Most;
}

FleetState::FleetState(const EntrySettings &Settings, std::string Self,
                       std::string Incarnation, const ServiceRegistry &Services)
    : Settings_(Settings), Self_(std::move(Self)),
      Incarnation_(std::move(Incarnation)),
      Link_(Services.require<FleetLink>(FleetLink::Name)),
      Plans_(Services.require<PlanService>(PlanService::Name)),
      Targets_(Services.require<TargetListService>(TargetListService::Name)),
      Metrics_(Services.require<Metrics>(Metrics::Name)),
      BudgetBootstrap_(std::chrono::seconds(Settings.Bounds_.QuotaWindowS_)),
      Crashes_({SuspectTime, QuarantineTime, MaxDigests}),
      PromptParts_(Metrics_), Loads_(View_, Metrics_),
      Prefill_(Settings.PrefillTokensPerMs_), Speeds_(Targets_, Metrics_) {
  Loads_.learning().setFixedLimit(static_cast<double>(Settings.TransitLimit_));
}

Status FleetState::start() {
  Link_->onComposeUpdate(
      [this](Duration Period) { return composeUpdate(Period); });
  Link_->onComposeSummary(
      [this](Duration Period) { return composeSummary(Period); });
  Link_->Received_.attach(
      [this](const FleetMessage &Message) { receive(Message); });
  Plans_->Changed_.attach([this](const ServingPlan &Plan) {
    Budget_.setPlan(Plan, InitialShare, BootClock::now());
    View_.setWarmAdapters(warmAdaptersOf(Plan));
  });
  Targets_->Changed_.attach([this](const RosterChange &Change) {
    const ListedTarget *Listed = Targets_->roster().find(Change.Id_);
    // A target whose entry is missing may only be cut off from the store. Other
    // VMs read that from the list themselves, and read it when it is back.
    if (Change.Usability_ == TargetUsability::Draining && Listed)
      RecentlyDraining_[Change.Id_] = {BootClock::now(),
                                       Listed->Entry_.Incarnation_};
  });
  Targets_->Updated_.attach([this](const std::vector<RegisteredTarget> &Fresh) {
    applyEntries(Fresh);
  });
  Link_->UpdateDue_.attach([this](Duration) {
    PromptParts_.update(Link_->topology(), BootClock::now());
  });
  return std::monostate{};
}

void FleetState::applyEntries(const std::vector<RegisteredTarget> &Fresh) {
  ServingPlanPtr Plan = Plans_->current();
  if (!Plan)
    return;
  TimePoint Now = BootClock::now();
  for (const RegisteredTarget &Entry : Fresh) {
    const ListedTarget *Listed = Targets_->roster().find(Entry.Id_);
    const ServicePlan *Service = Plan->findService(Entry.Service_);
    bool IsEngine =
        Service && Service->Engine_ && !Service->Engine_->Models_.empty();
    // An entry from before the engine's restart says nothing about its current
    // state.
    if (IsEngine && Listed && Listed->Entry_.Incarnation_ == Entry.Incarnation_)
      View_.applyRegistryEntry(Entry, Service->Engine_->Models_.front().Name_,
                               Now);
  }
}

void FleetState::recordStart(const std::string &Target,
                             const std::string &Adapter, std::int64_t Tokens,
                             std::int64_t PromptTokens) {
  TimePoint Now = BootClock::now();
  Prefill_.recordPrompt(Target, static_cast<double>(PromptTokens), Now,
                        Speeds_.factorOf(Target, Now));
  bool IsLong =
      PromptTokens >=
      (Link_->topology().isSplit() ? LongPromptTokensLarge : LongPromptTokens);
  if (IsLong)
    Link_->sendToAll(PromptNotice{Target, PromptTokens});
  else if (PromptTokens > 0)
    NewPrompts_[Target] += PromptTokens;
  RunningShare &Share = Running_[Target];
  ++Share.Requests_;
  Share.Tokens_ += Tokens;
  if (Adapter.empty())
    return;
  ++Share.Adapters_[Adapter];
  ++OwnUses_[Adapter];
}

void FleetState::recordEnd(const std::string &Target,
                           const std::string &Adapter, std::int64_t Tokens) {
  auto Found = Running_.find(Target);
  if (Found == Running_.end())
    return;
  RunningShare &Share = Found->second;
  --Share.Requests_;
  Share.Tokens_ -= Tokens;
  if (!Adapter.empty() && --Share.Adapters_[Adapter] <= 0)
    Share.Adapters_.erase(Adapter);
  if (!Adapter.empty() && --OwnUses_[Adapter] <= 0)
    OwnUses_.erase(Adapter);
  if (Share.Requests_ <= 0)
    Running_.erase(Found);
}

const RunningShare &FleetState::ownShareOn(const std::string &Target) const {
  static const RunningShare Nothing;
  auto Found = Running_.find(Target);
  return Found == Running_.end() ? Nothing : Found->second;
}

int FleetState::requestsUsing(const std::string &Adapter) const {
  auto Found = OwnUses_.find(Adapter);
  int Own = Found == OwnUses_.end() ? 0 : Found->second;
  return Own + View_.peerRequestsWith(Adapter);
}

void FleetState::recordCrash(const std::string &Digest,
                             const std::vector<PartId> &Parts,
                             const std::string &Target,
                             std::int64_t Incarnation, TimePoint Now) {
  promptParts().recordCrash({Target, std::to_string(Incarnation)}, Parts, Now);
  VmStateUpdate::Crash Observed{Digest, Target, Incarnation};
  RecentCrashes_.emplace_back(Now, Observed);
  applyCrash(Observed, Now);
}

void FleetState::applyCrash(const VmStateUpdate::Crash &Observed,
                            TimePoint Now) {
  TargetInstance CrashedTarget{Observed.Target_,
                               std::to_string(Observed.Incarnation_)};
  if (Crashes_.addCrash(Observed.Digest_, CrashedTarget, Now))
    logEvent(LogLevel::Warning, "request_quarantined",
             {{"digest", Observed.Digest_}, {"target", Observed.Target_}});
  TargetCrashed_.fire(Observed.Target_, Observed.Incarnation_);
}

static void logDraining(const std::string &Target, std::string_view Source) {
  logEvent(LogLevel::Info, "target_standing",
           {{"target", Target},
            {"standing", targetUsabilityName(TargetUsability::Draining)},
            {"told_by", Source}});
}

void FleetState::recordDraining(const std::string &Target,
                                std::int64_t Incarnation, TimePoint Now) {
  if (!Targets_->roster().recordLeaving(Target, Incarnation))
    return;
  RecentlyDraining_[Target] = {Now, Incarnation};
  logDraining(Target, "answer");
}

void FleetState::setVms(std::size_t Count, TimePoint Now) {
  KnownVms_ = Count;
  updateReachableShare(Now);
}

bool FleetState::isSplit() const { return Link_->topology().isSplit(); }

void FleetState::updateReachableShare(TimePoint Now) {
  std::size_t Vms = std::max<std::size_t>(1, KnownVms_);
  std::size_t Reachable = std::min(Vms, View_.reachableVms(Now) + 1);
  Budget_.setReachableShare(
      static_cast<double>(Reachable) / static_cast<double>(Vms), Now);
  // In a small fleet updates are so frequent that no pace is needed.
  Budget_.setReachableVms(isSplit() ? Reachable : 1);
  if (!Plans_->current() || !BudgetBootstrap_.canGrant(KnownVms_))
    return;
  const PlatformBoundSettings &Bounds = Settings_.Bounds_;
  Budget_.grantInitialBalances({std::chrono::seconds(Bounds.QuotaWindowS_),
                                Bounds.QuotaOverage_, Bounds.QuotaSlack_},
                               Now);
  BudgetBootstrap_.endStartPhase(false);
  logEvent(LogLevel::Info, "budgets_started",
           {{"from", "grant"}, {"vms", KnownVms_}});
}

void FleetState::applyPeerBudget(const std::string &Vm, Duration BudgetAge,
                                 const TokenBalances &Balances, TimePoint Now) {
  if (BudgetBootstrap_.isNewlyStarted(BudgetAge))
    NewVmSeenAt_ = Now;
  bool MayAdopt = !BudgetBootstrap_.isOver() && !Balances.empty() &&
                  !BudgetBootstrap_.isNewlyStarted(BudgetAge) &&
                  Plans_->current();
  if (!MayAdopt)
    return;
  Budget_.adoptBalances(Balances, Now);
  BudgetBootstrap_.endStartPhase(true);
  logEvent(LogLevel::Info, "budgets_started",
           {{"from", Vm}, {"seen_ms", toMillis(BudgetAge)}});
}

std::vector<VmStateUpdate::Crash> FleetState::recentCrashes(TimePoint Now) {
  std::erase_if(RecentCrashes_, [&](const auto &Entry) {
    return Entry.first + UpdateRepeatTime < Now;
  });
  std::vector<VmStateUpdate::Crash> Recent;
  for (const auto &[At, Observed] : RecentCrashes_)
    Recent.push_back(Observed);
  // A VM that has just started missed the reports of earlier crashes.
  if (NewVmSeenAt_ + NewVmWindow > Now)
    for (const auto &[Digest, Crashed] :
         Crashes_.evidence(MaxRepeatedDigests, Now))
      Recent.push_back(
          {Digest, Crashed.Target_, std::stoll(Crashed.Incarnation_)});
  return Recent;
}

std::map<std::string, std::int64_t>
FleetState::recentlyDraining(TimePoint Now) {
  std::erase_if(RecentlyDraining_, [&](const auto &Entry) {
    return Entry.second.first + UpdateRepeatTime < Now;
  });
  std::map<std::string, std::int64_t> Recent;
  for (const auto &[Target, Observed] : RecentlyDraining_)
    Recent[Target] = Observed.second;
  return Recent;
}

TokenBalances FleetState::balancesForNewVms(TimePoint Now) {
  if (NewVmSeenAt_ + NewVmWindow <= Now)
    return {};
  return Budget_.balances(Now);
}

std::vector<std::string> FleetState::servingPeers(TimePoint Now) const {
  std::vector<std::string> Serving;
  for (const std::string &Vm : Link_->topology().directPeers())
    if (View_.isServing(Vm, Now))
      Serving.push_back(Vm);
  return Serving;
}

double FleetState::reachableShare(TimePoint Now) const {
  return reachableShareOf(KnownVms_, Now);
}

double FleetState::reachablePeerShare(TimePoint Now) const {
  return KnownVms_ == 0 ? 0
                        : reachableShareOf(
                              Link_->topology().directPeers().size() + 1, Now);
}

double FleetState::reachableShareOf(std::size_t Vms, TimePoint Now) const {
  if (Vms == 0)
    return 0;
  std::size_t Reachable = std::min(Vms, View_.reachableLocalVms(Now) + 1);
  return static_cast<double>(Reachable) / static_cast<double>(Vms);
}

Duration FleetState::peerUpdatePeriod() const {
  return updatePeriod(Link_->topology().directPeers().size());
}

Duration FleetState::inventoryPeriod() const {
  // Both are sent with the state updates, whose period is shorter.
  return Link_->topology().isSplit() ? RemoteInventoryPeriod + InventoryPeriod
                                     : InventoryPeriod;
}

void FleetState::addInventories(VmStateUpdate &Update, TimePoint Now) {
  if (!CollectInventories_ || InventorySentAt_ + InventoryPeriod > Now)
    return;
  Update.Inventories_ = CollectInventories_();
  InventorySentAt_ = Now;
  if (RemoteInventorySentAt_ + RemoteInventoryPeriod > Now)
    return;
  for (const auto &[Engine, Held] : Update.Inventories_)
    Link_->sendToRemote(InventoryNotice{Engine, Held});
  RemoteInventorySentAt_ = Now;
}

VmStateUpdate FleetState::composeUpdate(Duration Period) {
  TimePoint Now = BootClock::now();
  View_.expire(Now);
  Limits_.prune(Now);
  Loads_.learning().setEngines(View_.engineCount());
  updateReachableShare(Now);
  VmStateUpdate Update;
  Update.Vm_ = Self_;
  Update.Incarnation_ = Incarnation_;
  Update.Sequence_ = ++Sequence_;
  Update.DataCentre_ = Settings_.DataCentre_;
  Update.PeerAddress_ =
      Endpoint{Settings_.Listen_.Address_, Link_->port()}.text();
  Update.Period_ = Period;
  Update.Revision_ = Plans_->current() ? Plans_->current()->revision() : 0;
  Update.ShuttingDown_ = Stopping_;
  Update.Spent_ = Budget_.spent();
  Update.BudgetCoverage_ = BudgetBootstrap_.coveredTime(Now - StartedAt_);
  Update.Balances_ = balancesForNewVms(Now);
  Update.Running_ = Running_;
  Update.PromptTokens_ = std::exchange(NewPrompts_, {});
  Update.Crashes_ = recentCrashes(Now);
  Update.LeavingTargets_ = recentlyDraining(Now);
  Update.Limits_ = Limits_.limitReports(UpdateRepeatTime, Now);
  Update.Loads_ = Loads_.learning().report();
  Update.Speeds_ = Speeds_.composeReports(Now);
  Update.StoreEra_ = StoreEra_;
  Update.Parts_ = promptParts().report(Now);
  Update.Brittle_ = Limits_.brittleReports(UpdateRepeatTime, Now);
  addInventories(Update, Now);
  Loads_.report(Now);
  return Update;
}

std::optional<DataCentreSummary> FleetState::composeSummary(Duration Period) {
  TimePoint Now = BootClock::now();
  if (Stopping_ || ReadRotation::rankFor("data_centre_news", Self_,
                                         servingPeers(Now)) >= SummarySenders)
    return std::nullopt;
  View_.expire(Now);
  DataCentreSummary Summary;
  Summary.DataCentre_ = Settings_.DataCentre_;
  Summary.Sender_ = Self_;
  Summary.Incarnation_ = Incarnation_;
  Summary.Sequence_ = ++SummarySequence_;
  Summary.Period_ = Period;
  Summary.Vms_ = 1;
  Summary.BudgetCoverage_ = BudgetBootstrap_.coveredTime(Now - StartedAt_);
  Summary.Balances_ = balancesForNewVms(Now);
  Summary.Spent_ = Budget_.spentWithPeers();
  Summary.Running_ = Running_;
  Summary.Crashes_ = recentCrashes(Now);
  Summary.LeavingTargets_ = recentlyDraining(Now);
  Summary.Limits_ = Limits_.limitReports(UpdateRepeatTime, Now);
  Summary.Brittle_ = Limits_.brittleReports(UpdateRepeatTime, Now);
  Summary.Speeds_ = Speeds_.speeds().takeEstimates(Now);
  if (PartReport Own = promptParts().report(Now); !Own.empty())
    Summary.Parts_.push_back(std::move(Own));
  View_.addLocalUpdates(Summary, Now);
  return Summary;
}

void FleetState::receive(const FleetMessage &Message) {
  TimePoint Now = BootClock::now();
  if (const auto *Notice = std::get_if<InventoryNotice>(&Message))
    View_.applyInventory(Notice->Engine_, Notice->Inventory_, Now);
  else if (const auto *Prompt = std::get_if<PromptNotice>(&Message))
    Prefill_.recordPrompt(Prompt->Engine_, static_cast<double>(Prompt->Tokens_),
                          Now, Speeds_.factorOf(Prompt->Engine_, Now));
  else if (const auto *Update = std::get_if<VmStateUpdate>(&Message))
    receiveUpdate(*Update, Now);
  else if (const auto *Summary = std::get_if<DataCentreSummary>(&Message))
    receiveSummary(*Summary, Now);
}

void FleetState::receiveUpdate(const VmStateUpdate &Update, TimePoint Now) {
  // A VM that knows few others yet sends its updates to all of them; VMs of
  // other data centres get its state in the summary of its data centre.
  bool IsRemote = Link_->topology().isSplit() &&
                  Update.DataCentre_ != Settings_.DataCentre_;
  if (IsRemote || Update.Vm_ == Self_ || !View_.apply(Update, Now))
    return;
  auto Known = Link_->addressOf(Update.Vm_);
  if (!Known || Known->text() != Update.PeerAddress_) {
    // The VM started, maybe again at another address, after the last read.
    auto Address = parseEndpoint(Update.PeerAddress_);
    if (isOk(Address))
      Link_->addPeer(Update.Vm_, {valueOf(Address), Update.DataCentre_});
  }
  Budget_.recordPeerSpending(Update.Vm_, Update.Incarnation_, Update.Spent_,
                             Now);
  // Update the share as soon as other VMs become unresponsive, not only with
  // this VM's own state update.
  updateReachableShare(Now);
  BudgetBootstrap_.recordUpdate(Update.Vm_, Update.BudgetCoverage_);
  applyPeerBudget(Update.Vm_, Update.BudgetCoverage_, Update.Balances_, Now);
  for (const auto &[Target, Tokens] : Update.PromptTokens_)
    Prefill_.recordPrompt(Target, static_cast<double>(Tokens), Now,
                          Speeds_.factorOf(Target, Now));
  for (const VmStateUpdate::Crash &Observed : Update.Crashes_)
    applyCrash(Observed, Now);
  applyDraining(Update.LeavingTargets_, Update.Vm_);
  Limits_.applyReports(Update.Limits_, Update.Brittle_, Update.Vm_, Now);
  Loads_.learning().recordPeer(Update.Vm_, Update.Incarnation_, Update.Loads_,
                               View_.inTransit(Now), Now);
  Speeds_.applyReports(Update.Speeds_, Now);
  promptParts().apply(Update.Parts_, Now);
}

void FleetState::receiveSummary(const DataCentreSummary &Summary,
                                TimePoint Now) {
  bool IsForThisVm = Link_->topology().isSplit() &&
                     Summary.DataCentre_ != Settings_.DataCentre_;
  if (!IsForThisVm || !View_.apply(Summary, Now))
    return;
  Budget_.recordRemoteSpending(Summary.DataCentre_, Summary.Sender_,
                               Summary.Incarnation_, Summary.Spent_,
                               updateValidity(Summary.Period_), Now);
  BudgetBootstrap_.recordUpdate(Summary.DataCentre_, Summary.BudgetCoverage_,
                                Summary.Vms_);
  applyPeerBudget(Summary.Sender_, Summary.BudgetCoverage_, Summary.Balances_,
                  Now);
  for (const VmStateUpdate::Crash &Observed : Summary.Crashes_)
    applyCrash(Observed, Now);
  applyDraining(Summary.LeavingTargets_, Summary.Sender_);
  Limits_.applyReports(Summary.Limits_, Summary.Brittle_, Summary.Sender_, Now);
  Speeds_.applyEstimates(Summary.Speeds_, Now);
  for (const PartReport &Report : Summary.Parts_)
    promptParts().apply(Report, Now);
}

void FleetState::applyDraining(
    const std::map<std::string, std::int64_t> &DrainingTargets,
    const std::string &Source) {
  for (const auto &[Target, Incarnation] : DrainingTargets)
    if (Targets_->roster().recordLeaving(Target, Incarnation))
      logDraining(Target, Source);
}

} // namespace anvil
