#include "Integration/KeepAliveCallers.h"

#include <algorithm>
#include <thread>

namespace anvil {

/// How long a reply may take; only a hanging request reaches this limit.
static constexpr Millis ReplyTimeout{20000};

/// `sendAround` sends from `LeadTime` before the given time until `TrailTime`
/// after it.
static constexpr Millis LeadTime{30};
static constexpr Millis TrailTime{10};

KeepAliveCallers::KeepAliveCallers(std::uint16_t Port, std::string Name,
                                   std::size_t Count, MakeCall Make)
    : Name_(std::move(Name)), Make_(std::move(Make)) {
  for (std::size_t Caller = 0; Caller < Count; ++Caller)
    Connections_.push_back(std::make_unique<CallerConnection>(Port));
}

bool KeepAliveCallers::primeConnections() {
  send();
  finish();
  return completeCount() == Connections_.size();
}

void KeepAliveCallers::sendAround(Moment Middle) {
  send(Middle - LeadTime, Middle + TrailTime);
}

void KeepAliveCallers::send(Moment From, Moment To) {
  ++Rounds_;
  Ids_.clear();
  std::vector<CallerRequest> Calls;
  for (std::size_t Caller = 0; Caller < Connections_.size(); ++Caller) {
    Ids_.push_back(Name_ + "-" + std::to_string(Rounds_) + "-" +
                   std::to_string(Caller));
    Calls.push_back(Make_(Caller, Ids_.back()));
  }
  auto Step = (To - From) / std::ssize(Connections_);
  for (std::size_t Caller = 0; Caller < Connections_.size(); ++Caller) {
    std::this_thread::sleep_until(From + Step * Caller);
    Connections_[Caller]->send(Calls[Caller]);
  }
}

const std::vector<CallerReply> &KeepAliveCallers::finish() {
  Replies_.clear();
  for (const auto &Connection : Connections_)
    Replies_.push_back(Connection->finish(ReplyTimeout));
  return Replies_;
}

std::vector<std::string> KeepAliveCallers::executedWithoutReply(
    const std::set<std::string> &Executed) const {
  std::vector<std::string> Found;
  for (std::size_t Caller = 0; Caller < Replies_.size(); ++Caller)
    if (!Replies_[Caller].Complete_ && Executed.contains(Ids_[Caller]))
      Found.push_back(Ids_[Caller]);
  return Found;
}

std::vector<std::string> KeepAliveCallers::truncatedReplies() const {
  std::vector<std::string> Found;
  for (std::size_t Caller = 0; Caller < Replies_.size(); ++Caller)
    if (!Replies_[Caller].Complete_ && Replies_[Caller].Status_ != 0)
      Found.push_back(Ids_[Caller]);
  return Found;
}

std::size_t KeepAliveCallers::completeCount() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Replies_, &CallerReply::Complete_));
}

} // namespace anvil
