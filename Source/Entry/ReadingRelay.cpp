#include "Entry/ReadingRelay.h"

#include <algorithm>

namespace anvil {

/// Up to so many VMs form one group whatever their data centres.
static constexpr std::size_t SmallFleet = 16;

/// So many changed entries still go into one datagram; after more, the others
/// read the list themselves.
static constexpr std::size_t MostChanges = 24;

ReadingRelay::ReadingRelay(const EntrySettings &Settings,
                           std::string Incarnation,
                           const ServiceRegistry &Services)
    : Settings_(Settings), Self_(Settings.holderName()),
      Incarnation_(std::move(Incarnation)),
      Link_(Services.require<FleetLink>(FleetLink::Name)),
      Fleet_(Services.require<FleetState>(FleetState::Name)),
      Plans_(Services.require<PlanService>(PlanService::Name)),
      Targets_(Services.require<TargetListService>(TargetListService::Name)),
      Owners_(Services.require<OwnerService>(OwnerService::Name)),
      Exchange_(Services.require<PlanExchange>(PlanExchange::Name)) {}

Status ReadingRelay::start() {
  Owners_->Read_.attach([this] { updateGroup(); });
  Link_->Received_.attach(
      [this](const FleetMessage &Message) { receive(Message); });
  Plans_->onPlaceInLine([this] { return placeInLine("plan"); });
  Plans_->Read_.attach([this](TimePoint At, std::uint64_t NewestRow) {
    Link_->sendToGroup(Group_, PlanReading{ownClock(), At.time_since_epoch(),
                                           NewestRow, Exchange_->port()});
  });
  Targets_->onPlaceInLine([this] { return placeInLine("targets"); });
  Targets_->Read_.attach([this](TimePoint At) {
    ListingNews News = Targets_->news(BootClock::now());
    if (News.Changes_.size() > MostChanges)
      News.Changes_ = {};
    Link_->sendToGroup(Group_, TargetsReading{ownClock(), At.time_since_epoch(),
                                              std::move(News.Changes_),
                                              News.Digest_, News.LapseLeft_});
  });
  return std::monostate{};
}

VmClock ReadingRelay::ownClock() const { return {Self_, Incarnation_}; }

void ReadingRelay::updateGroup() {
  const TargetOwnership &Ownership = Owners_->ownership();
  bool IsSmall = Ownership.knownVms() <= SmallFleet;
  Group_.clear();
  for (const VmRow &Row : Ownership.liveVms(BootClock::now()))
    if (Row.Vm_ != Self_ &&
        (IsSmall || Row.DataCentre_ == Settings_.DataCentre_))
      Group_.push_back(Row.Vm_);
  // Clocks of VMs and incarnations that have gone.
  std::erase_if(Clocks_, [&](const auto &Entry) {
    return std::ranges::find(Group_, Entry.first.Vm_) == Group_.end();
  });
}

std::size_t ReadingRelay::placeInLine(std::string_view Topic) const {
  TimePoint Now = BootClock::now();
  std::vector<std::string> Heard;
  for (const std::string &Vm : Group_)
    if (Fleet_->book().isServing(Vm, Now))
      Heard.push_back(Vm);
  return ReadingTurn::placeInLine(Topic, Self_, Heard);
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
