#include "Entry/StreamCopyExchange.h"

#include "Http/Pause.h"
#include "Http/Spawn.h"
#include "Streams/CopyHolders.h"
#include "Streams/StreamRows.h"

#include <algorithm>
#include <utility>

namespace anvil {

namespace asio = boost::asio;

/// How often copies are sent, how many in a datagram, and how many of other VMs
/// are kept.
static constexpr Duration CopyPeriod = std::chrono::milliseconds(250);
static constexpr std::size_t MaxCopiesSent = 100;
static constexpr std::size_t MaxCopiesKept = 100'000;

StreamCopyExchange::StreamCopyExchange(asio::any_io_executor Executor,
                                       std::string Self,
                                       std::shared_ptr<FleetLink> Link,
                                       std::shared_ptr<FleetState> Fleet)
    : Executor_(std::move(Executor)), Self_(std::move(Self)),
      Link_(std::move(Link)), Fleet_(std::move(Fleet)) {}

void StreamCopyExchange::start() {
  Link_->Received_.attach([this](const FleetMessage &Message) {
    if (const auto *Copies = std::get_if<StreamCopies>(&Message))
      keep(*Copies);
  });
}

void StreamCopyExchange::send(const StreamRecord &Record) {
  Due_.push_back(Record);
  if (Due_.size() == 1)
    spawn(Executor_, sendDue());
}

asio::awaitable<void> StreamCopyExchange::sendDue() {
  co_await pauseFor(CopyPeriod);
  std::vector<StreamRecord> Due = std::exchange(Due_, {});
  TimePoint Now = BootClock::now();
  auto Holders = copyHolders(
      Self_, Link_->topology().directPeers(),
      [&](const std::string &Vm) { return Fleet_->view().isServing(Vm, Now); });
  for (std::size_t Sent = 0; Sent < Due.size(); Sent += MaxCopiesSent) {
    auto First = Due.begin() + static_cast<std::ptrdiff_t>(Sent);
    auto Last = Due.begin() + static_cast<std::ptrdiff_t>(
                                  std::min(Sent + MaxCopiesSent, Due.size()));
    StreamCopies Copies{encodeStreamRecords({First, Last})};
    Link_->sendToGroup(Holders, Copies);
  }
}

void StreamCopyExchange::keep(const StreamCopies &Copies) {
  TimePoint Now = BootClock::now();
  if (Kept_.size() >= MaxCopiesKept)
    Kept_.removeExpired(Now);
  for (const StreamRecord &Record : decodeStreamRecords(Copies.Records_))
    if (Kept_.size() < MaxCopiesKept)
      Kept_.add(Record, Now);
}

} // namespace anvil
