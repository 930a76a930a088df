#ifndef ANVIL_REVIEW_COMMON_LLMENGINE_H
#define ANVIL_REVIEW_COMMON_LLMENGINE_H

#include "Platform.h"

#include <algorithm>
#include <set>

namespace review {

/// The size of a stand-in model engine.
struct LlmEngineOptions {
  std::string Id_ = {};
  std::string Service_ = {};
  std::string Zone_ = {};
  std::string Model_ = {};
  std::size_t Slots_ = 32;
  /// How many more requests wait for a slot.
  std::size_t Queue_ = 96;
  std::size_t MaxAdapters_ = 21;
  /// The adapters that it holds at its start.
  std::set<std::string> Held_ = {};
};

/// The weight store that the engines share: a load takes its time while no more
/// than `AtOnce_` adapters are on their way, and longer in proportion beyond.
struct WeightStore {
  double LoadSeconds_ = 0.25;
  double AtOnce_ = 16;
  std::atomic<int> InTransit_ = 0;
};

/// A model engine as the platform's pages describe it: orders with the expected
/// count, adapters in transit, slots with a queue, and event streams.
class LlmEngine {
public:
  LlmEngine(LlmEngineOptions Options, WeightStore &Weights, Store &Platform,
            Record &Log)
      : Options_(std::move(Options)), Weights_(Weights), Platform_(Platform),
        Log_(Log) {
    for (const std::string &Adapter : Options_.Held_)
      Adapters_[Adapter] = {};
    Server_.listen(ownAddress(1), [this](Channel &Caller) { serve(Caller); });
    publish();
    std::thread([this] {
      while (true) {
        sleepFor(1.2);
        publish();
      }
    }).detach();
  }

  const std::string &id() const { return Options_.Id_; }

  /// Called with each request that begins to run.
  std::function<void(const Request &)> OnRun_;

  /// Called with each request that begins on an adapter, and its version.
  std::function<void(const Request &, int Version)> OnBegin_;

  /// Makes a version of an adapter the newest.
  void setNewest(const std::string &Name, int Version) {
    std::lock_guard Lock(Mutex_);
    Newest_[Name] = Version;
  }

  /// Whether a second copy of this answer follows late on its channel.
  std::function<bool(const Request &, int Status)> IsCopied_;

  /// Called when a late copy is sent: whose answer it repeats, and the request
  /// that has just arrived on the channel.
  std::function<void(const std::string &Id, const Request &)> OnCopy_;

  /// The events of a run and the pause between them, in seconds.
  std::function<std::pair<int, double>(const Request &)> Length_;

private:
  struct Adapter {
    int Version_ = 1;
    double ReadyAt_ = 0;
    /// The requests that run on it or wait for a slot.
    int Uses_ = 0;
    int Running_ = 0;
    bool IsLeaving_ = false;
    /// The version that replaces it once its runs have ended, or 0.
    int Replacement_ = 0;
  };

  bool isReady(const Adapter &Item) const { return Item.ReadyAt_ <= now(); }

  json modelJson(bool IsReport, json &Pending) {
    json Names = json::array();
    for (const auto &[Name, Item] : Adapters_) {
      if (isReady(Item))
        Names.push_back(Name + "@" + std::to_string(Item.Version_));
      else if (IsReport)
        Pending.push_back(Options_.Model_ + "/" + Name + "@" +
                          std::to_string(Item.Version_));
    }
    return json::array(
        {{{"Name", Options_.Model_}, {"Version", 1}, {"Adapters", Names}}});
  }

  void publish() {
    json Entry;
    {
      std::lock_guard Lock(Mutex_);
      json Ignored = json::array();
      Entry = {{"Service", Options_.Service_},
               {"Address", Server_.endpoint()},
               {"Zone", Options_.Zone_},
               {"Version", "v1"},
               {"Slots", Options_.Slots_},
               {"State", "ready"},
               {"ColdRemainingMs", 0},
               {"Stage", "both"},
               {"Models", modelJson(false, Ignored)},
               {"Seq", Orders_},
               {"born", 1700000000000}};
    }
    Platform_.put("servers", Options_.Id_, Entry);
  }

  std::string report() {
    std::lock_guard Lock(Mutex_);
    json Pending = json::array();
    json Models = modelJson(true, Pending);
    json Body = {{"Stage", "both"}, {"Models", Models},   {"Busy", false},
                 {"Seq", Orders_},  {"Queued", Waiting_}, {"Active", Running_},
                 {"KvUsed", 0},     {"KvTotal", 117260},  {"Pending", Pending},
                 {"Handles", 0}};
    return answer(200, {{"Content-Type", "application/json"}}, Body.dump());
  }

  int order(const Request &Asked) {
    json Body = json::parse(Asked.Body_, nullptr, false);
    if (!Body.is_object() || !Body.contains("Holder") ||
        !Body.contains("Fence"))
      return 400;
    std::lock_guard Lock(Mutex_);
    std::string Name = Body.value("Adapter", "");
    if (Body.value("Precondition", Orders_) != Orders_)
      return 409;
    auto Found = Adapters_.find(Name);
    if (Body["Operation"] == "unload") {
      if (Found == Adapters_.end())
        return 200;
      ++Orders_;
      if (Found->second.Uses_ == 0) {
        Adapters_.erase(Found);
        return 200;
      }
      Found->second.IsLeaving_ = true;
      return 202;
    }
    int Version = Body.value("Version", newest(Name));
    bool IsReplacement =
        Found != Adapters_.end() && Found->second.Version_ < Version;
    if (Name.empty() || (Found != Adapters_.end() && !IsReplacement))
      return 200;
    auto Pending = std::ranges::count_if(
        Adapters_, [&](const auto &Item) { return !isReady(Item.second); });
    if (Pending >= 4)
      return 409;
    if (IsReplacement) {
      ++Orders_;
      Log_.line(id() + " is ordered to replace " + Name);
      Found->second.Replacement_ = Version;
      Freed_.notify_all();
      replaceIfIdle(Name);
      return 202;
    }
    if (Adapters_.size() >= Options_.MaxAdapters_)
      Log_.line(id() + " is ordered to hold more adapters than it can");
    ++Orders_;
    beginLoad(Name, Version);
    return 202;
  }

  int newest(const std::string &Name) const {
    auto Found = Newest_.find(Name);
    return Found == Newest_.end() ? 1 : Found->second;
  }

  void beginLoad(const std::string &Name, int Version) {
    double InTransit = ++Weights_.InTransit_;
    double Load =
        Weights_.LoadSeconds_ * std::max(1.0, InTransit / Weights_.AtOnce_);
    Adapters_[Name].Version_ = Version;
    Adapters_[Name].ReadyAt_ = now() + Load;
    std::thread([this, Load] {
      sleepFor(Load);
      --Weights_.InTransit_;
    }).detach();
  }

  void replaceIfIdle(const std::string &Name) {
    Adapter &Item = Adapters_[Name];
    if (Item.Replacement_ == 0 || Item.Running_ > 0)
      return;
    beginLoad(Name, std::exchange(Item.Replacement_, 0));
  }

  /// Takes the adapter and waits for a slot. The status with which the request
  /// is turned away, or 0.
  int begin(const Request &Asked, const std::string &Name, double Until) {
    std::unique_lock Lock(Mutex_);
    if (Asked.header("X-Expect-Instance") != id())
      return 421;
    if (!Name.empty()) {
      auto Found = Adapters_.find(Name);
      std::string Version = Asked.header("X-Expect-Version");
      if (Found == Adapters_.end() || !isReady(Found->second) ||
          Found->second.IsLeaving_ ||
          (!Version.empty() &&
           Version != std::to_string(Found->second.Version_)))
        return 421;
      if (Found->second.Replacement_ > 0)
        return 503;
    }
    if (Running_ >= Options_.Slots_ && Waiting_ >= Options_.Queue_)
      return 503;
    if (!Name.empty())
      ++Adapters_[Name].Uses_;
    ++Waiting_;
    auto Deadline = startTime() + std::chrono::duration_cast<Clock::duration>(
                                      std::chrono::duration<double>(Until));
    auto IsReplaced = [&] {
      return !Name.empty() &&
             (Adapters_[Name].Replacement_ > 0 || !isReady(Adapters_[Name]));
    };
    // The earliest of the waiting requests comes first.
    std::uint64_t Ticket = ++LastTicket_;
    Tickets_.insert(Ticket);
    bool HasSlot = Freed_.wait_until(Lock, Deadline, [&] {
      return IsReplaced() ||
             (Running_ < Options_.Slots_ && *Tickets_.begin() == Ticket);
    });
    Tickets_.erase(Ticket);
    Freed_.notify_all();
    --Waiting_;
    if (!HasSlot || IsReplaced()) {
      release(Name);
      return 503;
    }
    ++Running_;
    if (!Name.empty()) {
      ++Adapters_[Name].Running_;
      if (OnBegin_)
        OnBegin_(Asked, Adapters_[Name].Version_);
    }
    return 0;
  }

  void release(const std::string &Name) {
    auto Found = Adapters_.find(Name);
    if (Found == Adapters_.end())
      return;
    if (--Found->second.Uses_ == 0 && Found->second.IsLeaving_)
      Adapters_.erase(Found);
  }

  void end(const std::string &Name) {
    std::lock_guard Lock(Mutex_);
    --Running_;
    if (!Name.empty()) {
      --Adapters_[Name].Running_;
      replaceIfIdle(Name);
    }
    release(Name);
    Freed_.notify_all();
  }

  /// Sends the events until the caller leaves. False if it has left.
  bool stream(Channel &Caller, const Request &Asked, double Until) {
    auto [Events, Pause] = Length_ ? Length_(Asked) : std::pair(5, 0.04);
    std::string Head =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\nX-Weight-Versions: 1\r\n"
        "X-Server-Seal: seal." +
        id() + "\r\nX-Request-Id: " + Asked.header("X-Request-Id") + "\r\n\r\n";
    for (int Event = 1; Event <= Events && now() < Until; ++Event) {
      sleepFor(Pause);
      std::string Text = "id: " + std::to_string(Event) + "\ndata: word of " +
                         Asked.header("X-Request-Id") + "\n\n";
      char Size[16];
      std::snprintf(Size, sizeof(Size), "%zx\r\n", Text.size());
      if (Caller.peerClosed() ||
          !Caller.send(std::exchange(Head, {}) + Size + Text + "\r\n"))
        return false;
    }
    return Caller.send("0\r\n\r\n");
  }

  void serve(Channel &Caller) {
    std::string LateCopy;
    std::string CopiedId;
    while (auto Asked = Caller.readRequest(now() + 60)) {
      if (Asked->path() == "/api/report") {
        if (!Caller.send(report()))
          return;
        continue;
      }
      if (Asked->path() == "/api/order") {
        if (!Caller.send(answer(order(*Asked), {}, "{}")))
          return;
        continue;
      }
      std::string RequestId = Asked->header("X-Request-Id");
      if (!LateCopy.empty()) {
        OnCopy_(CopiedId, *Asked);
        if (!Caller.send(std::exchange(LateCopy, {})))
          return;
      }
      std::string Model = Asked->header("X-Model");
      auto Slash = Model.find('/');
      std::string Name =
          Slash == std::string::npos ? "" : Model.substr(Slash + 1);
      std::string Limit = Asked->header("X-Request-Deadline");
      double Until = now() + (Limit.empty() ? 30 : std::stod(Limit) / 1000);
      int Status = begin(*Asked, Name, Until);
      if (Status != 0) {
        Log_.line(id() + " turns " + RequestId + " away with " +
                  std::to_string(Status) + " and doesn't run it");
        std::string Reply = answer(
            Status, {{"X-Request-Id", RequestId}, {"X-Not-Executed", "1"}}, "");
        if (IsCopied_ && IsCopied_(*Asked, Status)) {
          LateCopy = Reply;
          CopiedId = RequestId;
        }
        if (!Caller.send(Reply))
          return;
        continue;
      }
      Log_.line(id() + " runs " + RequestId);
      if (OnRun_)
        OnRun_(*Asked);
      bool IsSent = stream(Caller, *Asked, Until);
      end(Name);
      if (IsCopied_)
        IsCopied_(*Asked, 200);
      if (!IsSent)
        return;
    }
  }

  LlmEngineOptions Options_;
  WeightStore &Weights_;
  Store &Platform_;
  Record &Log_;
  Server Server_;
  std::mutex Mutex_;
  std::condition_variable Freed_;
  std::map<std::string, Adapter> Adapters_;
  std::map<std::string, int> Newest_;
  std::set<std::uint64_t> Tickets_;
  std::uint64_t LastTicket_ = 0;
  std::uint64_t Orders_ = 0;
  std::size_t Running_ = 0;
  std::size_t Waiting_ = 0;
};

/// The service of model engines in the config, as the small sites have it.
inline json llmService(const std::string &Name, const LlmEngineOptions &Size) {
  json Model = {{"Name", Size.Model_}, {"WeightsMb", 65100.0},
                {"LoadTimeS", 2.5},    {"Adapters", 3000},
                {"AdapterMb", 12.0},   {"WarmS", 0.38},
                {"DiskLoadS", 1.0}};
  json Engine = {{"Slots", Size.Slots_},
                 {"KvTokens", 117260},
                 {"Models", json::array({Model})},
                 {"WeightsMb", 66700.0},
                 {"MaxAdapters", Size.MaxAdapters_},
                 {"LoadsPerS", 5.5}};
  return {{"Name", Name},          {"HealthPath", "/health"},
          {"MaxConnections", 240}, {"Protocol", "h1"},
          {"Tls", false},          {"Engine", Engine}};
}

inline json streamRoute(const std::string &Name, const std::string &Host,
                        const std::string &Service, int TimeoutMs,
                        int TargetLatencyMs) {
  return {{"Name", Name},
          {"Host", Host},
          {"PathPrefix", "/" + Name + "/"},
          {"RouteType", "streaming"},
          {"TimeoutMs", TimeoutMs},
          {"TargetLatencyMs", TargetLatencyMs},
          {"Priority", 1},
          {"Service", Service},
          {"MaxAttempts", 1},
          {"Public", false},
          {"Sticky", true},
          {"Resumable", false},
          {"TargetGapMs", 300}};
}

inline json tenant(const std::string &Name, const std::string &Key,
                   double RatePerS, double Burst) {
  return {{"Name", Name},       {"ApiKeys", json::array({Key})},
          {"Priority", 1},      {"Unit", "tokens"},
          {"PlainTokens", 200}, {"RatePerS", RatePerS},
          {"Burst", Burst}};
}

inline json config(json Routes, json Services, json Tenants) {
  return {{"Version", 3},
          {"Routes", std::move(Routes)},
          {"Services", std::move(Services)},
          {"Limits",
           {{"MaxHeaderBytes", 16384},
            {"MaxBodyBytes", 4194304},
            {"HeaderTimeoutMs", 3000},
            {"IdleTimeoutMs", 15000}}},
          {"Tenants", std::move(Tenants)}};
}

} // namespace review

#endif // ANVIL_REVIEW_COMMON_LLMENGINE_H
