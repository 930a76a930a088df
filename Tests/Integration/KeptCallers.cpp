#include "Integration/KeptCallers.h"

#include <algorithm>
#include <thread>

namespace anvil {

/// How long answers may take; only what hangs meets it.
static constexpr Millis AnswerBound{20000};

/// For how long before and after a moment requests are sent around it.
static constexpr Millis Before{30};
static constexpr Millis After{10};

KeptCallers::KeptCallers(std::uint16_t Port, std::string Name,
                         std::size_t Count, MakeCall Make)
    : Name_(std::move(Name)), Make_(std::move(Make)) {
  for (std::size_t Caller = 0; Caller < Count; ++Caller)
    Connections_.push_back(std::make_unique<CallerConnection>(Port));
}

bool KeptCallers::settle() {
  send();
  finish();
  return answered() == Connections_.size();
}

void KeptCallers::sendAround(Moment Middle) {
  send(Middle - Before, Middle + After);
}

void KeptCallers::send(Moment From, Moment To) {
  ++Requests_;
  Ids_.clear();
  std::vector<Call> Calls;
  for (std::size_t Caller = 0; Caller < Connections_.size(); ++Caller) {
    Ids_.push_back(Name_ + "-" + std::to_string(Requests_) + "-" +
                   std::to_string(Caller));
    Calls.push_back(Make_(Caller, Ids_.back()));
  }
  auto Step = (To - From) / std::ssize(Connections_);
  for (std::size_t Caller = 0; Caller < Connections_.size(); ++Caller) {
    std::this_thread::sleep_until(From + Step * Caller);
    Connections_[Caller]->send(Calls[Caller]);
  }
}

const std::vector<Answer> &KeptCallers::finish() {
  Answers_.clear();
  for (const auto &Connection : Connections_)
    Answers_.push_back(Connection->finish(AnswerBound));
  return Answers_;
}

std::vector<std::string>
KeptCallers::lost(const std::set<std::string> &Ran) const {
  std::vector<std::string> Found;
  for (std::size_t Caller = 0; Caller < Answers_.size(); ++Caller)
    if (!Answers_[Caller].Whole_ && Ran.contains(Ids_[Caller]))
      Found.push_back(Ids_[Caller]);
  return Found;
}

std::vector<std::string> KeptCallers::cut() const {
  std::vector<std::string> Found;
  for (std::size_t Caller = 0; Caller < Answers_.size(); ++Caller)
    if (!Answers_[Caller].Whole_ && Answers_[Caller].Status_ != 0)
      Found.push_back(Ids_[Caller]);
  return Found;
}

std::size_t KeptCallers::answered() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Answers_, &Answer::Whole_));
}

} // namespace anvil
