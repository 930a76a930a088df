#include "Integration/RequestLoad.h"

#include <algorithm>

namespace anvil {

using nlohmann::json;

/// The pause between two requests of one caller.
static constexpr Millis RequestPause{20};

RequestLoad::RequestLoad(
    EntryFleet &System, std::string Path,
    std::vector<std::pair<std::string, std::string>> Headers,
    std::size_t Callers)
    : Replies_(Callers) {
  for (std::size_t Caller = 0; Caller < Callers; ++Caller)
    Callers_.emplace_back([this, &System, Path, Headers, Caller] {
      for (int Round = 0; !Stopping_; ++Round) {
        std::string Id =
            Path + std::to_string(Caller) + "-" + std::to_string(Round);
        auto Sent = Headers;
        Sent.emplace_back("X-Request-Id", Id);
        std::string Vm = (Caller + Round) % 2 ? "vm-1" : "vm-2";
        Replies_[Caller][Id] = System.call(Vm, Path, std::move(Sent));
        std::this_thread::sleep_for(RequestPause);
      }
    });
}

RequestLoad::~RequestLoad() { finish(); }

std::map<std::string, CallerReply> RequestLoad::finish() {
  Stopping_ = true;
  for (std::thread &Caller : Callers_)
    Caller.join();
  Callers_.clear();
  std::map<std::string, CallerReply> All;
  for (const auto &OfCaller : Replies_)
    All.insert(OfCaller.begin(), OfCaller.end());
  return All;
}

std::vector<std::int64_t> arrivalTimes(EntryFleet &System,
                                       const std::string &Target) {
  json Records =
      sendJson(System.at(Target).port(), "GET", "/records", json::object())
          .json();
  std::vector<std::int64_t> Times;
  for (const json &Item : Records)
    if (Item["event"] == "run" || Item["event"] == "refusal")
      Times.push_back(Item["at_us"].get<std::int64_t>());
  std::ranges::sort(Times);
  return Times;
}

std::size_t maxArrivalsWithin(const std::vector<std::int64_t> &Arrivals,
                              Millis Span, std::int64_t From) {
  std::size_t MaxArrivals = 0;
  for (auto First = std::ranges::lower_bound(Arrivals, From);
       First != Arrivals.end(); ++First) {
    std::int64_t End = *First + Span.count() * 1000;
    auto Last = std::lower_bound(First, Arrivals.end(), End);
    MaxArrivals = std::max(MaxArrivals, static_cast<std::size_t>(Last - First));
  }
  return MaxArrivals;
}

} // namespace anvil
