#include "Standins/EngineStandin.h"

#include "Http/HttpConnection.h"
#include "Objects/Digest.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace anvil {

namespace asio = boost::asio;
using nlohmann::json;

/// How long a transfer from the weight store may take.
static constexpr Duration TransferTimeout = std::chrono::seconds(60);

/// The interval at which a waiting request checks for a free slot.
static constexpr Duration SlotCheckInterval = std::chrono::milliseconds(1);

/// Length of the prompt prefix that a cache event identifies, in bytes.
static constexpr std::size_t PrefixBytes = 256;

EngineStandin::EngineStandin(asio::any_io_executor Executor,
                             EngineBehaviour Behaviour)
    : Executor_(Executor), Behaviour_(Behaviour), Incarnation_(randomHex(8)),
      Server_(std::move(Executor), HttpServerLimits{},
              [this](HttpExchange &Exchange) { return handle(Exchange); }) {}

static asio::awaitable<void> pause(asio::any_io_executor Executor,
                                   std::int64_t Millis) {
  asio::steady_timer Timer(Executor, std::chrono::milliseconds(Millis));
  co_await Timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> EngineStandin::handle(HttpExchange &Exchange) {
  const HttpRequest &Request = Exchange.request();
  std::string_view Path = Request.path();
  if (Path == "/v1/load_lora_adapter") {
    co_await load(Exchange);
  } else if (Path == "/v1/unload_lora_adapter") {
    co_await unload(Exchange);
  } else if (Path == "/v1/completions" || Path == "/v1/chat/completions") {
    co_await complete(Exchange);
  } else if (Path == "/cache_events") {
    co_await Exchange.respond(cacheEvents(Request));
  } else if (Path == "/batches") {
    json Counts = json::object();
    for (const auto &[Requests, Tokens] : Batches_)
      Counts[std::to_string(Requests)] = Tokens;
    co_await Exchange.respond(jsonReply(200, Counts.dump()));
  } else if (Path == "/status") {
    co_await Exchange.respond(status());
  } else if (Path == "/records") {
    co_await Exchange.respond(jsonReply(200, Records_.text()));
  } else if (Path == "/control") {
    control(Request);
    co_await Exchange.respond(jsonReply(200, "{}"));
  } else {
    co_await Exchange.respond(jsonReply(404, "{}"));
  }
}

void EngineStandin::control(const HttpRequest &Request) {
  json Body = json::parse(Request.Body_, nullptr, false);
  if (!Body.is_object())
    return;
  const std::pair<const char *, std::int64_t EngineBehaviour::*> Fields[] = {
      {"token_ms", &EngineBehaviour::TokenMs_},
      {"batch_percent", &EngineBehaviour::BatchPercent_},
      {"load_ms", &EngineBehaviour::LoadMs_},
      {"fail_loads", &EngineBehaviour::FailLoads_},
      {"status_lag_ms", &EngineBehaviour::StatusLagMs_},
      {"order_delay_ms", &EngineBehaviour::OrderDelayMs_},
      {"hold_answers", &EngineBehaviour::HoldReplies_},
      {"crossed_ids", &EngineBehaviour::CrossedIds_},
      {"crossed_models", &EngineBehaviour::CrossedModels_},
      {"crossed_events", &EngineBehaviour::CrossedEvents_},
      {"cache_lag_ms", &EngineBehaviour::CacheLagMs_},
      {"cache_gap", &EngineBehaviour::CacheGap_}};
  for (const auto &[Name, Field] : Fields)
    Behaviour_.*Field = Body.value(Name, Behaviour_.*Field);
  if (Body.value("crash", false))
    crash();
}

HttpReply EngineStandin::status() {
  TimePoint Now = BootClock::now();
  auto Lag = std::chrono::milliseconds(Behaviour_.StatusLagMs_);
  if (!Status_.Body_.empty() && Now - StatusAt_ < Lag)
    return Status_;
  EngineStatus Status;
  Status.Incarnation_ = Incarnation_;
  Status.Running_ = Running_;
  Status.Waiting_ = Waiting_;
  for (const auto &[Model, Runs] : Resident_)
    Status.Resident_.push_back({Model, Runs});
  Status_ = jsonReply(200, encodeEngineStatus(Status));
  StatusAt_ = Now;
  return Status_;
}

HttpReply EngineStandin::cacheEvents(const HttpRequest &Request) const {
  std::string Text(Request.query("after"));
  std::int64_t After = std::strtoll(Text.c_str(), nullptr, 10);
  auto Lag = std::chrono::milliseconds(Behaviour_.CacheLagMs_);
  json List = json::array();
  for (const CacheEvent &Event : CacheEvents_) {
    bool Lost =
        Behaviour_.CacheGap_ > 0 && Event.Sequence_ % Behaviour_.CacheGap_ == 0;
    if (Event.Sequence_ <= After || Lost || BootClock::now() - Event.At_ < Lag)
      continue;
    List.push_back({{"sequence", Event.Sequence_},
                    {"model", Event.Model_},
                    {"prefix_sha256", Event.PrefixSha256_}});
  }
  return jsonReply(
      200, json{{"incarnation", Incarnation_}, {"events", List}}.dump());
}

void EngineStandin::recordCacheEvent(const Run &Work) {
  CacheEvent Event;
  Event.Sequence_ = std::ssize(CacheEvents_) + 1;
  Event.Model_ = Work.Model_;
  Event.PrefixSha256_ = sha256Hex(Work.Prompt_.substr(0, PrefixBytes));
  Event.At_ = BootClock::now();
  CacheEvents_.push_back(std::move(Event));
}

void EngineStandin::crash() {
  Records_.add("crash", {{"incarnation", Incarnation_}});
  Incarnation_ = randomHex(8);
  HighestFencing_ = 0;
  Resident_.clear();
  ResumableRuns_.clear();
  CacheEvents_.clear();
}

bool EngineStandin::acceptFencing(const HttpRequest &Request,
                                  const std::string &Order,
                                  const std::string &Model) {
  std::string Text(Request.Headers_.find(FencingHeader).value_or("0"));
  std::uint64_t Fencing = std::strtoull(Text.c_str(), nullptr, 10);
  bool Accepted = !Behaviour_.ChecksFencing_ || Fencing >= HighestFencing_;
  HighestFencing_ = std::max(HighestFencing_, Fencing);
  auto Resident = Resident_.find(Model);
  Records_.add(
      Order, {{"model", Model},
              {"fencing", Fencing},
              {"accepted", Accepted},
              {"in_use", Resident != Resident_.end() ? Resident->second : 0}});
  return Accepted;
}

static std::string modelOf(const HttpRequest &Request) {
  json Body = json::parse(Request.Body_, nullptr, false);
  return Body.is_object() ? Body.value("lora_name", "") : "";
}

asio::awaitable<void> EngineStandin::transfer(const std::string &Model) {
  if (Behaviour_.Store_.empty()) {
    co_await pause(Executor_, Behaviour_.LoadMs_);
    co_return;
  }
  auto Store = parseEndpoint(Behaviour_.Store_);
  if (!isOk(Store))
    co_return;
  HttpRequest Request{"GET", "/weights/" + Model, {}, {}};
  co_await fetch(valueOf(Store), std::move(Request), TransferTimeout);
}

asio::awaitable<void> EngineStandin::load(HttpExchange &Exchange) {
  std::string Model = modelOf(Exchange.request());
  co_await pause(Executor_, Behaviour_.OrderDelayMs_);
  int Status = 200;
  if (!acceptFencing(Exchange.request(), "load", Model)) {
    Status = 412;
  } else {
    std::string StartIncarnation = Incarnation_;
    co_await transfer(Model);
    bool HasFreeSlot = Resident_.count(Model) ||
                       std::ssize(Resident_) < Behaviour_.AdapterSlots_;
    if (StartIncarnation != Incarnation_ || Behaviour_.FailLoads_ > 0) {
      Behaviour_.FailLoads_ -= Behaviour_.FailLoads_ > 0;
      Status = 500;
    } else if (!HasFreeSlot) {
      Status = 507;
    } else {
      Resident_.emplace(Model, 0);
    }
  }
  co_await Exchange.respond(jsonReply(Status, "{}"));
}

asio::awaitable<void> EngineStandin::unload(HttpExchange &Exchange) {
  std::string Model = modelOf(Exchange.request());
  co_await pause(Executor_, Behaviour_.OrderDelayMs_);
  int Status = 200;
  if (!acceptFencing(Exchange.request(), "unload", Model))
    Status = 412;
  else
    Resident_.erase(Model);
  co_await Exchange.respond(jsonReply(Status, "{}"));
}

asio::awaitable<bool> EngineStandin::waitForSlot(HttpExchange &Exchange) {
  ++Waiting_;
  while (Running_ >= Behaviour_.RequestSlots_ && !Exchange.callerDisconnected())
    co_await pause(Executor_, toMillis(SlotCheckInterval));
  --Waiting_;
  co_return !Exchange.callerDisconnected();
}

/// An error reply for a request that did not run.
static HttpReply notRun(int Status, const std::string &Code,
                        const std::string &RequestId) {
  HttpReply Reply = jsonReply(Status, json{{"error", {{"code", Code}}}}.dump());
  Reply.Headers_.add("X-Request-Id", RequestId);
  return Reply;
}

asio::awaitable<void> EngineStandin::complete(HttpExchange &Exchange) {
  const HttpRequest &Request = Exchange.request();
  json Body = json::parse(Request.Body_, nullptr, false);
  Run Work;
  Work.Id_ = Request.Headers_.find("X-Request-Id").value_or("");
  Work.Model_ = Body.value("model", "");
  Work.MaxTokens_ = Body.value("max_tokens", 16);
  Work.Stream_ = Body.value("stream", false);
  Work.IsChat_ = Body.contains("messages");
  Work.Prompt_ = Work.IsChat_ ? Body["messages"].dump()
                              : Body.value("prompt", std::string());
  json Record{{"request_id", Work.Id_},
              {"model", Work.Model_},
              {"prompt", Work.Prompt_},
              {"customer", Request.Headers_.find("X-Customer").value_or("")},
              {"tokens", Work.MaxTokens_},
              {"headers", headersToJson(Request)}};
  std::string Event = "run";
  if (auto Resumed = Request.Headers_.find("X-Resume-Request")) {
    std::string Offset(Request.Headers_.find("X-Resume-Offset").value_or("0"));
    Event = "resume";
    Record["resumes"] = *Resumed;
    Record["offset"] = Work.Offset_ = std::strtoll(Offset.c_str(), nullptr, 10);
    if (!ResumableRuns_.contains(std::string(*Resumed))) {
      Records_.add("resume_unknown", Record);
      co_await Exchange.respond(notRun(409, "run_not_known", Work.Id_));
      co_return;
    }
  }
  if (!Resident_.count(Work.Model_)) {
    Records_.add("missing", Record);
    co_await Exchange.respond(notRun(404, "adapter_not_loaded", Work.Id_));
    co_return;
  }
  if (!co_await waitForSlot(Exchange))
    co_return;
  Records_.add(Event, Record);
  ++StartedRuns_;
  if (Work.Prompt_.find("crash-engine") != std::string::npos) {
    crash();
    Exchange.abort();
    co_return;
  }
  ResumableRuns_[Work.Id_] = Work;
  recordCacheEvent(Work);
  std::string StartIncarnation = Incarnation_;
  ++Running_;
  ++Resident_[Work.Model_];
  co_await generate(Exchange, Work);
  --Running_;
  if (StartIncarnation == Incarnation_ && Resident_.count(Work.Model_))
    --Resident_[Work.Model_];
}

asio::awaitable<void> EngineStandin::delayResponse() {
  --Behaviour_.HoldReplies_;
  std::int64_t OwnStart = StartedRuns_;
  while (StartedRuns_ == OwnStart)
    co_await pause(Executor_, toMillis(SlotCheckInterval));
  Records_.add("late_answer", json::object());
}

std::int64_t EngineStandin::tokenTime() {
  ++Batches_[Running_];
  return Behaviour_.TokenMs_ +
         Behaviour_.TokenMs_ * Behaviour_.BatchPercent_ * (Running_ - 1) / 100;
}

EngineStandin::Run EngineStandin::misdirect(const Run &Work) {
  Run Other = Work;
  if (Behaviour_.CrossedIds_ > 0) {
    --Behaviour_.CrossedIds_;
    Other.Id_ = "misdirected-request";
  } else if (Behaviour_.CrossedModels_ > 0) {
    --Behaviour_.CrossedModels_;
    Other.Model_ = "misdirected@1";
  }
  return Other;
}

static json choiceOf(bool IsChat, bool IsStream, const std::string &Text) {
  if (!IsChat)
    return {{"index", 0}, {"text", Text}};
  return {{"index", 0},
          {IsStream ? "delta" : "message",
           {{"role", "assistant"}, {"content", Text}}}};
}

asio::awaitable<void> EngineStandin::generate(HttpExchange &Exchange,
                                              const Run &Work) {
  if (Behaviour_.HoldReplies_ > 0)
    co_await delayResponse();
  Run Reported = misdirect(Work);
  HttpReplyHead Head{
      200, {{"X-Request-Id", Reported.Id_}, {"X-Adapter", Reported.Model_}}};
  Head.Headers_.add("Content-Type",
                    Work.Stream_ ? "text/event-stream" : "application/json");
  if (Work.Stream_ && Behaviour_.CrossedEvents_ > 0) {
    --Behaviour_.CrossedEvents_;
    Reported.Id_ = "misdirected-request";
    Reported.Model_ = "misdirected@1";
  }
  auto PromptTokens = static_cast<std::int64_t>(Work.Prompt_.size() / 4 + 1);
  json Completion{{"id", Reported.Id_},
                  {"model", Reported.Model_},
                  {"usage",
                   {{"prompt_tokens", PromptTokens},
                    {"completion_tokens", Work.MaxTokens_},
                    {"total_tokens", PromptTokens + Work.MaxTokens_}}}};
  std::string StartIncarnation = Incarnation_;
  std::string Text;
  if (Work.Stream_)
    co_await Exchange.startStream(Head);
  for (std::int64_t Token = Work.Offset_; Token < Work.MaxTokens_; ++Token) {
    co_await pause(Executor_, tokenTime());
    if (Exchange.callerDisconnected()) {
      Records_.add("cancelled", {{"request_id", Work.Id_}});
      co_return;
    }
    if (StartIncarnation != Incarnation_) {
      Exchange.abort();
      co_return;
    }
    if (!Resident_.count(Work.Model_)) {
      Records_.add("evicted_while_serving",
                   {{"request_id", Work.Id_}, {"model", Work.Model_}});
      Exchange.abort();
      co_return;
    }
    std::string Word = Reported.Model_ + "#" + std::to_string(Token) + " ";
    Text += Word;
    if (!Work.Stream_)
      continue;
    json Event{{"id", Reported.Id_},
               {"model", Reported.Model_},
               {"choices", {choiceOf(Work.IsChat_, true, Word)}}};
    co_await Exchange.write("data: " + Event.dump() + "\n\n");
  }
  Records_.add("finished", {{"request_id", Work.Id_}, {"model", Work.Model_}});
  if (Work.Stream_) {
    Completion["choices"] = json::array();
    co_await Exchange.write("data: " + Completion.dump() + "\n\n");
    co_await Exchange.write("data: [DONE]\n\n");
    co_await Exchange.finishStream();
    co_return;
  }
  Completion["choices"] = {choiceOf(Work.IsChat_, false, Text)};
  HttpReply Reply{200, Head.Headers_, Completion.dump()};
  co_await Exchange.respond(std::move(Reply));
}

} // namespace anvil
