#include "Integration/SoakCallers.h"

#include <algorithm>

namespace anvil {

/// Longer than any request may take, also at a VM that is frozen meanwhile.
static constexpr Millis ReplyTimeout{8000};

/// The events of a whole stream of the stand-ins.
static constexpr int StreamEvents = 20;

bool isStream(SoakKind Kind) {
  return Kind == SoakKind::Stream || Kind == SoakKind::AdapterStream ||
         Kind == SoakKind::ResumableStream;
}

static const char *pathOf(SoakKind Kind) {
  switch (Kind) {
  case SoakKind::Unsafe:
    return "/once/x";
  case SoakKind::Stream:
  case SoakKind::AdapterStream:
    return "/stream/x";
  case SoakKind::ResumableStream:
    return "/stream/resumable/x";
  case SoakKind::AddedRoute:
    return "/added/x";
  case SoakKind::Safe:
  case SoakKind::SpareKey:
    break;
  }
  return "/safe/x";
}

/// What is wrong with an answer, by what the stand-ins send.
static std::string faultOf(const SoakRequest &Sent, const CallerReply &Reply,
                           int FirstEvent) {
  if (Reply.Status_ == 0)
    return "";
  auto Id = Reply.Headers_.find("x-request-id");
  if (Id != Reply.Headers_.end() && Id->second != Sent.Id_)
    return "MIXED: the answer to " + Id->second;
  if (Reply.Status_ != 200)
    return "";
  if (!Reply.Headers_.contains("x-server-seal"))
    return "MIXED: a success without a seal";
  if (!isStream(Sent.Kind_)) {
    std::string Whole = "{\"by\":\"" + Sent.Target_ + "\"}";
    return Reply.Complete_ && Reply.Body_ != Whole
               ? "MIXED: the body is " + Reply.Body_.substr(0, 200)
               : "";
  }
  std::string Whole = standinEvents(FirstEvent, StreamEvents);
  if (Reply.Complete_ && Reply.Body_ != Whole)
    return "ORDER: a stream that looks complete holds " + Reply.Body_;
  if (!Whole.starts_with(Reply.Body_))
    return "ORDER: a stream holds " + Reply.Body_;
  return "";
}

SoakCallers::SoakCallers(EntryFleet &System, const SoakOptions &Options)
    : System_(System), Seed_(Options.Seed_) {
  for (const std::string &Vm : System.vms())
    Listeners_.push_back({Vm, System.callerAddress(Vm), System.callerPort(Vm)});
  std::size_t Count = Listeners_.size() * Options.CallersPerVm_;
  for (std::size_t Caller = 0; Caller < Count; ++Caller)
    Threads_.emplace_back([this, Caller] { run(Caller); });
}

void SoakCallers::stop() {
  Stopping_ = true;
  for (std::thread &Thread : Threads_)
    Thread.join();
  Threads_.clear();
}

void SoakCallers::run(std::size_t Number) {
  Caller Self{Number, std::mt19937_64(Seed_ * 1000 + Number), "", 0};
  while (!Stopping_) {
    useConnection(Self, Listeners_[Self.Random_() % Listeners_.size()]);
    std::this_thread::sleep_for(Millis(20));
  }
}

SoakRequest SoakCallers::send(CallerConnection &Connection, Caller &Self,
                              const Listener &At, CallerReply &Reply) {
  SoakRequest Item;
  bool IsTakenUp = !Self.BrokenId_.empty();
  Item.Kind_ = IsTakenUp ? SoakKind::ResumableStream
                         : static_cast<SoakKind>(Self.Random_() % 7);
  Item.Id_ = "s" + std::to_string(Seed_) + "-c" + std::to_string(Self.Number_) +
             "-" + std::to_string(++LastId_);
  Item.Vm_ = At.Vm_;
  Item.Path_ = pathOf(Item.Kind_);
  std::vector<std::pair<std::string, std::string>> Headers{
      {"X-Request-Id", Item.Id_}};
  if (isStream(Item.Kind_))
    Headers.emplace_back(
        "X-Model", Item.Kind_ == SoakKind::AdapterStream ? "base/a1" : "base");
  if (Item.Kind_ == SoakKind::SpareKey)
    Headers.emplace_back("Authorization", "Token spare-key");
  if (IsTakenUp) {
    Headers.emplace_back("Last-Event-Id", std::to_string(Self.LastEvent_));
    Headers.emplace_back("Resumes", Self.BrokenId_);
  }
  int FirstEvent = IsTakenUp ? Self.LastEvent_ + 1 : 1;
  CallerRequest Request = System_.request(Item.Path_, std::move(Headers));
  // Requests that are alike are quarantined together if they seem to crash
  // targets.
  Request.Body_ = IsTakenUp ? Self.BrokenId_ : Item.Id_;
  Self.BrokenId_.clear();
  Item.SentAt_ = BootClock::now();
  Connection.send(Request);
  Reply = Connection.finish(ReplyTimeout);
  Item.EndedAt_ = BootClock::now();
  Item.Status_ = Reply.Status_;
  Item.IsComplete_ = Reply.Complete_;
  Item.IsClosed_ = !Connection.isOpen();
  constexpr std::string_view SealStart = "seal-of-";
  std::string Seal = Reply.Headers_["x-server-seal"];
  if (Seal.starts_with(SealStart))
    Item.Target_ = Seal.substr(SealStart.size());
  // The stand-ins say what a whole answer is; other targets may send anything.
  if (Item.Target_.empty() ||
      std::ranges::find(EntryTargets, Item.Target_) != EntryTargets.end())
    Item.Fault_ = faultOf(Item, Reply, FirstEvent);
  auto Events = std::ranges::count(Reply.Body_, ':') / 2;
  if (Item.Kind_ == SoakKind::ResumableStream && !Reply.Complete_ &&
      Item.Fault_.empty() && Reply.Body_.ends_with("\n\n")) {
    Self.BrokenId_ = Item.Id_;
    Self.LastEvent_ = FirstEvent - 1 + static_cast<int>(Events);
  }
  return Item;
}

void SoakCallers::useConnection(Caller &Self, const Listener &At) {
  CallerConnection Connection(At.Port_, At.Address_);
  bool HonoursClose = Self.Random_() % 2 == 0;
  while (!Stopping_ && Connection.isOpen()) {
    CallerReply Reply;
    SoakRequest Item = send(Connection, Self, At, Reply);
    {
      std::lock_guard Lock(Mutex_);
      Requests_.push_back(std::move(Item));
    }
    if (!Reply.Complete_ ||
        (HonoursClose && Reply.Headers_["connection"] == "close"))
      return;
    std::this_thread::sleep_for(Millis(5 + Self.Random_() % 60));
  }
}

std::vector<SoakRequest> SoakCallers::requests() const {
  std::lock_guard Lock(Mutex_);
  return Requests_;
}

} // namespace anvil
