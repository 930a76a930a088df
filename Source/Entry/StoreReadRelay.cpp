#include "Entry/StoreReadRelay.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace anvil {

/// Changed rows up to this total size are sent with the notice; the other VMs
/// read larger ones from the store.
static constexpr std::size_t MaxRowBytes = 24 * 1024;

/// The changes if they fit into a datagram and leave out no row of the read.
static std::vector<RowDelta> smallDeltas(const PlanReadResult &Read) {
  std::set<std::string_view> Keys;
  for (const TableRow &Row : Read.Rows_)
    Keys.insert(Row.Key_);
  std::size_t Bytes = 0;
  for (const RowDelta &Delta : Read.Deltas_)
    Bytes += encodedSize(Delta);
  bool IsWhole = Read.Deltas_.size() == Keys.size();
  return IsWhole && Bytes <= MaxRowBytes ? Read.Deltas_
                                         : std::vector<RowDelta>();
}

/// The rows if they fit into a datagram, otherwise none.
static std::vector<TableRow> smallRows(const std::vector<TableRow> &Rows) {
  std::size_t Bytes = 0;
  for (const TableRow &Row : Rows)
    Bytes += Row.Key_.size() + Row.Value_.size();
  return Bytes <= MaxRowBytes ? Rows : std::vector<TableRow>();
}

StoreReadRelay::StoreReadRelay(const EntrySettings &Settings,
                               std::string Incarnation,
                               const ServiceRegistry &Services)
    : Self_(Settings.holderName()), Incarnation_(std::move(Incarnation)),
      Link_(Services.require<FleetLink>(FleetLink::Name)),
      Fleet_(Services.require<FleetState>(FleetState::Name)),
      Plans_(Services.require<PlanService>(PlanService::Name)),
      Targets_(Services.require<TargetListService>(TargetListService::Name)),
      Owners_(Services.require<EngineOwnershipService>(
          EngineOwnershipService::Name)),
      Exchange_(Services.require<PlanExchange>(PlanExchange::Name)),
      Store_(Services.require<platform::StoreClient>(PlatformService::Name)) {}

Status StoreReadRelay::start() {
  Owners_->RowsRead_.attach([this] { dropClocks(); });
  Link_->Received_.attach(
      [this](const FleetMessage &Message) { receive(Message); });
  Plans_->onReadRank([this] { return readRank("plan"); });
  Plans_->TableRead_.attach([this](const PlanReadResult &Read) {
    PlanReadNotice Notice{ownClock(),
                          Read.At_.time_since_epoch(),
                          Read.NewestRow_,
                          Exchange_->port(),
                          Read.NewestBefore_,
                          smallRows(Read.Rows_),
                          {},
                          Store_->era().current()};
    if (Notice.Rows_.empty())
      Notice.Deltas_ = smallDeltas(Read);
    Link_->sendToPeers(Notice);
  });
  Targets_->onReadRank([this] { return readRank("targets"); });
  Targets_->ListRead_.attach([this](TimePoint At) {
    TargetListUpdate Update = Targets_->recentUpdate(BootClock::now());
    // Without the changes, the other VMs read the list themselves.
    if (!Update.Changes_.fitsDatagram())
      Update.Changes_ = {};
    Link_->sendToPeers(TargetsReadNotice{
        ownClock(), At.time_since_epoch(), std::move(Update.Changes_),
        Update.Digest_, Update.LapseRemaining_, Store_->era().current()});
  });
  return std::monostate{};
}

bool StoreReadRelay::adoptEra(std::uint64_t Era) {
  Store_->recordPeerEra(Era);
  return Era == Store_->era().current();
}

VmClock StoreReadRelay::ownClock() const { return {Self_, Incarnation_}; }

void StoreReadRelay::dropClocks() {
  const auto &Peers = Link_->topology().directPeers();
  std::erase_if(Clocks_, [&](const auto &Entry) {
    return !std::ranges::binary_search(Peers, Entry.first.Vm_);
  });
}

std::size_t StoreReadRelay::readRank(std::string_view Topic) const {
  return ReadRotation::rankFor(Topic, Self_,
                               Fleet_->servingPeers(BootClock::now()));
}

std::optional<TimePoint>
StoreReadRelay::localTimeOf(const VmClock &Clock, Duration At, TimePoint Now) {
  const RemoteClock &Known = Clocks_[Clock];
  if (Known.needsSync(Now))
    Link_->send(Clock.Vm_, ClockRequest{Self_, Now.time_since_epoch()});
  return Known.localTimeOf(At, Now);
}

void StoreReadRelay::receive(const FleetMessage &Message) {
  TimePoint Now = BootClock::now();
  if (const auto *Plan = std::get_if<PlanReadNotice>(&Message)) {
    if (!adoptEra(Plan->StoreEra_))
      return;
    auto ReadAt = localTimeOf(Plan->Clock_, Plan->At_, Now);
    if (Plans_->newestRow() >= Plan->NewestBefore_) {
      Plans_->applyPeerRows(Plan->Rows_, {RowSource::PeerNotice, ReadAt});
      Plans_->applyPeerDeltas(Plan->Deltas_, {RowSource::PeerNotice, ReadAt});
    }
    Plans_->applyPeerRead(ReadAt, Plan->NewestRow_);
    Exchange_->applyReadNotice(*Plan);
  } else if (const auto *Targets = std::get_if<TargetsReadNotice>(&Message)) {
    if (!adoptEra(Targets->StoreEra_))
      return;
    if (auto At = localTimeOf(Targets->Clock_, Targets->At_, Now))
      Targets_->applyPeerRead(
          *At, {Targets->Changes_, Targets->Digest_, Targets->LapseRemaining_});
  } else if (const auto *Request = std::get_if<ClockRequest>(&Message)) {
    Link_->send(Request->Vm_, ClockReply{ownClock(), Request->RequestedAt_,
                                         Now.time_since_epoch()});
  } else if (const auto *Reply = std::get_if<ClockReply>(&Message)) {
    Clocks_[Reply->Clock_].recordCall(TimePoint(Reply->RequestedAt_),
                                      Reply->ClockTime_, Now);
  }
}

} // namespace anvil
