#include "Entry/ReadingRelay.h"

#include <algorithm>

namespace anvil {

/// Changed rows of so many bytes go with the notice; the others read larger
/// ones themselves.
static constexpr std::size_t MostRowBytes = 24 * 1024;

/// The rows, if they are small enough for a datagram.
static std::vector<TableRow> smallRows(const std::vector<TableRow> &Rows) {
  std::size_t Bytes = 0;
  for (const TableRow &Row : Rows)
    Bytes += Row.Key_.size() + Row.Value_.size();
  return Bytes <= MostRowBytes ? Rows : std::vector<TableRow>();
}

ReadingRelay::ReadingRelay(const EntrySettings &Settings,
                           std::string Incarnation,
                           const ServiceRegistry &Services)
    : Self_(Settings.holderName()), Incarnation_(std::move(Incarnation)),
      Link_(Services.require<FleetLink>(FleetLink::Name)),
      Fleet_(Services.require<FleetState>(FleetState::Name)),
      Plans_(Services.require<PlanService>(PlanService::Name)),
      Targets_(Services.require<TargetListService>(TargetListService::Name)),
      Owners_(Services.require<OwnerService>(OwnerService::Name)),
      Exchange_(Services.require<PlanExchange>(PlanExchange::Name)) {}

Status ReadingRelay::start() {
  Owners_->Read_.attach([this] { forgetClocks(); });
  Link_->Received_.attach(
      [this](const FleetMessage &Message) { receive(Message); });
  Plans_->onPlaceInLine([this] { return placeInLine("plan"); });
  Plans_->Read_.attach([this](const PlanRead &Read) {
    Link_->sendNear(PlanReading{ownClock(), Read.At_.time_since_epoch(),
                                Read.NewestRow_, Exchange_->port(),
                                Read.NewestBefore_, smallRows(Read.Rows_)});
  });
  Targets_->onPlaceInLine([this] { return placeInLine("targets"); });
  Targets_->Read_.attach([this](TimePoint At) {
    ListingNews News = Targets_->news(BootClock::now());
    // After more, the others read the list themselves.
    if (!News.Changes_.fitsNotice())
      News.Changes_ = {};
    Link_->sendNear(TargetsReading{ownClock(), At.time_since_epoch(),
                                   std::move(News.Changes_), News.Digest_,
                                   News.LapseLeft_});
  });
  return std::monostate{};
}

VmClock ReadingRelay::ownClock() const { return {Self_, Incarnation_}; }

void ReadingRelay::forgetClocks() {
  const auto &Neighbours = Link_->layout().neighbours();
  std::erase_if(Clocks_, [&](const auto &Entry) {
    return !std::ranges::binary_search(Neighbours, Entry.first.Vm_);
  });
}

std::size_t ReadingRelay::placeInLine(std::string_view Topic) const {
  return ReadingTurn::placeInLine(Topic, Self_,
                                  Fleet_->servingNeighbours(BootClock::now()));
}

std::optional<TimePoint> ReadingRelay::dateOf(const VmClock &Clock, Duration At,
                                              TimePoint Now) {
  const RemoteClock &Known = Clocks_[Clock];
  if (Known.needsCall(Now))
    Link_->send(Clock.Vm_, ClockQuestion{Self_, Now.time_since_epoch()});
  return Known.dateOf(At, Now);
}

void ReadingRelay::receive(const FleetMessage &Message) {
  TimePoint Now = BootClock::now();
  if (const auto *Plan = std::get_if<PlanReading>(&Message)) {
    if (!Plan->Rows_.empty() && Plans_->newestRow() >= Plan->NewestBefore_)
      Plans_->takeRows(Plan->Rows_);
    Plans_->noteReadElsewhere(dateOf(Plan->Clock_, Plan->At_, Now),
                              Plan->NewestRow_);
    Exchange_->noteReading(*Plan);
  } else if (const auto *Targets = std::get_if<TargetsReading>(&Message)) {
    if (auto At = dateOf(Targets->Clock_, Targets->At_, Now))
      Targets_->noteReadElsewhere(
          *At, {Targets->Changes_, Targets->Digest_, Targets->LapseLeft_});
  } else if (const auto *Question = std::get_if<ClockQuestion>(&Message)) {
    Link_->send(Question->Vm_, ClockAnswer{ownClock(), Question->AskedAt_,
                                           Now.time_since_epoch()});
  } else if (const auto *Answer = std::get_if<ClockAnswer>(&Message)) {
    Clocks_[Answer->Clock_].note(TimePoint(Answer->AskedAt_), Answer->Shown_,
                                 Now);
  }
}

} // namespace anvil
