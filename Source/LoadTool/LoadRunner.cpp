#include "LoadTool/LoadRunner.h"

#include "Http/Spawn.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <cmath>

namespace anvil {

namespace asio = boost::asio;
using nlohmann::json;

/// Token cost of a prompt beyond its bytes; the same bound as the gateway's.
static constexpr double PromptOverheadTokens = 16;

/// Timeout of requests to stand-ins, for records and for control.
static constexpr Duration StandinTimeout = std::chrono::seconds(20);

static Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

LoadRunner::LoadRunner(Scenario Run)
    : Run_(std::move(Run)),
      Popularity_(static_cast<std::size_t>(Run_.AdapterCount_),
                  Run_.ZipfExponent_),
      Reference_(Run_.Entitlements_) {}

Duration LoadRunner::elapsed() const { return BootClock::now() - Started_; }

void LoadRunner::run() {
  Started_ = BootClock::now();
  std::uint64_t Seed = static_cast<std::uint64_t>(Run_.Seed_);
  for (const TrafficSource &Source : Run_.Sources_)
    spawn(Loop_.get_executor(), generate(Source, Seed++));
  for (const ScheduledFault &Fault : Run_.Faults_)
    spawn(Loop_.get_executor(), inject(Fault));
  Loop_.run();
  Loop_.restart();
  spawn(Loop_.get_executor(), readEngineRecords());
  Loop_.run();
}

std::string LoadRunner::drawModel(std::mt19937_64 &Random,
                                  Duration Elapsed) const {
  std::uniform_real_distribution<double> Uniform(0, 1);
  std::size_t Rank = Popularity_.rankOf(Uniform(Random));
  auto Count = static_cast<std::size_t>(Run_.AdapterCount_);
  bool Shifted =
      Run_.ShiftAtSeconds_ > 0 && toSeconds(Elapsed) >= Run_.ShiftAtSeconds_;
  // After the shift the popular adapters are in the other half of the list.
  if (Shifted)
    Rank = (Rank + Count / 2) % Count;
  return Run_.AdapterPrefix_ + std::to_string(Rank);
}

asio::awaitable<void> LoadRunner::generate(const TrafficSource &Source,
                                           std::uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  asio::steady_timer Timer(Loop_);
  const auto &Names = Source.Servers_.empty() ? Run_.Vms_ : Source.Servers_;
  std::vector<Endpoint> Servers;
  // The scenario was validated, so every address parses.
  for (const std::string &Name : Names)
    Servers.push_back(std::get<Endpoint>(parseEndpoint(Name)));
  double At = 0;
  while (true) {
    bool IsSurge =
        At >= Source.SurgeFromSeconds_ && At < Source.SurgeToSeconds_;
    double Rate =
        Source.RequestsPerSecond_ * (IsSurge ? Source.SurgeFactor_ : 1);
    if (Rate <= 0)
      co_return;
    At += std::exponential_distribution<double>(Rate)(Random);
    if (At >= Run_.DurationSeconds_)
      co_return;
    std::string Model = Source.Model_;
    if (Model.empty())
      Model = drawModel(Random, fromSeconds(At));
    std::uniform_int_distribution<std::size_t> AnyServer(0, Servers.size() - 1);
    Endpoint Server = Servers[AnyServer(Random)];
    Timer.expires_after(
        std::max(fromSeconds(At) - elapsed(), Duration::zero()));
    co_await Timer.async_wait(asio::use_awaitable);
    if (Open_ >= Run_.MaxOpen_) {
      ++Log_.NotSent_;
      continue;
    }
    ++Open_;
    spawn(Loop_.get_executor(),
          send(Source, std::move(Model), std::move(Server), elapsed()));
  }
}

/// The event that ends a complete stream.
static constexpr std::string_view LastEvent = "data: [DONE]\n\n";

static HttpRequest makeRequest(const TrafficSource &Source,
                               const std::string &Model) {
  json Body{{"model", Model},
            {"prompt",
             std::string(static_cast<std::size_t>(Source.PromptBytes_), 'p')},
            {"max_tokens", Source.MaxTokens_},
            {"stream", Source.Stream_}};
  return {"POST",
          Source.Path_,
          {{"Authorization", "Bearer " + Source.Secret_},
           {"Content-Type", "application/json"},
           {"Connection", "close"}},
          Body.dump()};
}

asio::awaitable<void> LoadRunner::send(const TrafficSource &Source,
                                       std::string Model, Endpoint Vm,
                                       Duration Arrived) {
  RequestRecord Record;
  Record.Customer_ = Source.Customer_;
  Record.Arrived_ = Arrived;
  double Bound = static_cast<double>(Source.PromptBytes_ + Source.MaxTokens_) +
                 PromptOverheadTokens;
  Record.WithinRate_ = Reference_.admit(Source.Customer_, Bound, Arrived);
  HttpConnection Connection;
  Status Opened = co_await Connection.open(Vm, std::chrono::seconds(2));
  if (isOk(Opened)) {
    HttpRequest Request = makeRequest(Source, Model);
    co_await receive(Connection, std::move(Request), Source.Stream_, Record);
  } else {
    Record.Cause_ = "no_connection";
  }
  Record.Taken_ = elapsed() - Arrived;
  // The reference bucket ignores this system's refusals: each request that it
  // admits is charged the typical use of a completed one.
  double &Typical = TypicalUse_[Source.Customer_];
  if (Record.UsedTokens_ > 0)
    Typical = Record.UsedTokens_;
  if (Record.WithinRate_)
    Reference_.refund(Source.Customer_, Bound - Typical, elapsed());
  Log_.Records_.push_back(std::move(Record));
  --Open_;
}

/// Extracts the refusal code from a body or from the last event of a stream.
static std::string refusalCode(const std::string &Body) {
  auto Position = Body.rfind("{\"error\"");
  if (Position == std::string::npos)
    return "broken_answer";
  auto End = Body.find('\n', Position);
  json Refusal =
      json::parse(Body.substr(Position, End - Position), nullptr, false);
  return Refusal.is_object() ? Refusal["error"].value("code", "unreadable")
                             : "unreadable";
}

/// Extracts the last `total_tokens` of a response; 0 if there is none.
static double usedTokens(const std::string &Body) {
  constexpr std::string_view Field = "\"total_tokens\":";
  auto Position = Body.rfind(Field);
  if (Position == std::string::npos)
    return 0;
  return std::strtod(Body.c_str() + Position + Field.size(), nullptr);
}

asio::awaitable<void> LoadRunner::receive(HttpConnection &Connection,
                                          HttpRequest Request, bool IsStream,
                                          RequestRecord &Record) {
  Duration Timeout = fromSeconds(Run_.TimeoutSeconds_);
  auto Head = co_await Connection.exchange(Request, Timeout);
  if (!isOk(Head)) {
    Record.Cause_ = std::string(errorCodeName(errorOf(Head).Code_));
    co_return;
  }
  Record.Status_ = valueOf(Head).Status_;
  std::string Body;
  while (true) {
    auto Part = co_await Connection.readPart(Timeout);
    if (!isOk(Part)) {
      Record.Cause_ = refusalCode(Body);
      co_return;
    }
    if (valueOf(Part).empty())
      break;
    if (Body.empty())
      Record.FirstToken_ = elapsed() - Record.Arrived_;
    Body += valueOf(Part);
  }
  // A VM states the end of every other reply.
  bool IsCut = IsStream ? !Body.ends_with(LastEvent)
                        : Connection.framing() == BodyFraming::UntilClose;
  if (Record.Status_ != 200 || IsCut)
    Record.Cause_ = refusalCode(Body);
  else
    Record.UsedTokens_ = usedTokens(Body);
}

asio::awaitable<void> LoadRunner::inject(ScheduledFault Fault) {
  asio::steady_timer Timer(Loop_);
  Timer.expires_after(fromSeconds(Fault.AtSeconds_));
  co_await Timer.async_wait(asio::use_awaitable);
  Endpoint Server = std::get<Endpoint>(parseEndpoint(Fault.Server_));
  HttpRequest Request{"POST", Fault.Path_, {}, Fault.Body_};
  co_await fetch(std::move(Server), std::move(Request), StandinTimeout);
}

asio::awaitable<void> LoadRunner::readEngineRecords() {
  TimePoint CountedFrom = Started_ + fromSeconds(Run_.WarmupSeconds_);
  for (const std::string &Engine : Run_.Engines_) {
    Endpoint Server = std::get<Endpoint>(parseEndpoint(Engine));
    HttpRequest Request{"GET", "/records", {}, {}};
    auto Reply =
        co_await fetch(std::move(Server), std::move(Request), StandinTimeout);
    if (!isOk(Reply))
      continue;
    auto Usage = readEngineUsage(valueOf(Reply).Body_,
                                 CountedFrom.time_since_epoch().count());
    if (isOk(Usage))
      Engines_.push_back(valueOf(Usage));
  }
}

} // namespace anvil
