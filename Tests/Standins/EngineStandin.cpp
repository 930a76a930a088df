#include "Standins/EngineStandin.h"

#include "Objects/Digest.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace anvil {

namespace asio = boost::asio;
using nlohmann::json;

/// How often a waiting request looks for a free slot.
static constexpr Duration SlotCheckPeriod = std::chrono::milliseconds(1);

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
  json Given = json::parse(Request.Body_, nullptr, false);
  if (!Given.is_object())
    return;
  Behaviour_.TokenMs_ = Given.value("token_ms", Behaviour_.TokenMs_);
  Behaviour_.LoadMs_ = Given.value("load_ms", Behaviour_.LoadMs_);
  Behaviour_.FailLoads_ = Given.value("fail_loads", Behaviour_.FailLoads_);
  if (Given.value("crash", false))
    crash();
}

HttpReply EngineStandin::status() const {
  EngineStatus Status;
  Status.Incarnation_ = Incarnation_;
  Status.Running_ = Running_;
  Status.Waiting_ = Waiting_;
  for (const auto &[Model, Runs] : Resident_)
    Status.Resident_.push_back({Model, Runs});
  return jsonReply(200, encodeEngineStatus(Status));
}

void EngineStandin::crash() {
  Records_.add("crash", {{"incarnation", Incarnation_}});
  Incarnation_ = randomHex(8);
  HighestFencing_ = 0;
  Resident_.clear();
}

bool EngineStandin::acceptFencing(const HttpRequest &Request,
                                  const std::string &Order,
                                  const std::string &Model) {
  std::string Text(Request.Headers_.find(FencingHeader).value_or("0"));
  std::uint64_t Fencing = std::strtoull(Text.c_str(), nullptr, 10);
  bool Accepted = !Behaviour_.ChecksFencing_ || Fencing >= HighestFencing_;
  HighestFencing_ = std::max(HighestFencing_, Fencing);
  auto Uses = Resident_.find(Model);
  Records_.add(Order, {{"model", Model},
                       {"fencing", Fencing},
                       {"accepted", Accepted},
                       {"in_use", Uses != Resident_.end() ? Uses->second : 0}});
  return Accepted;
}

static std::string modelOf(const HttpRequest &Request) {
  json Given = json::parse(Request.Body_, nullptr, false);
  return Given.is_object() ? Given.value("lora_name", "") : "";
}

asio::awaitable<void> EngineStandin::load(HttpExchange &Exchange) {
  std::string Model = modelOf(Exchange.request());
  int Status = 200;
  if (!acceptFencing(Exchange.request(), "load", Model)) {
    Status = 412;
  } else {
    std::string Life = Incarnation_;
    co_await pause(Executor_, Behaviour_.LoadMs_);
    bool HasRoom = Resident_.count(Model) ||
                   std::ssize(Resident_) < Behaviour_.AdapterSlots_;
    if (Life != Incarnation_ || Behaviour_.FailLoads_ > 0) {
      Behaviour_.FailLoads_ -= Behaviour_.FailLoads_ > 0;
      Status = 500;
    } else if (!HasRoom) {
      Status = 507;
    } else {
      Resident_.emplace(Model, 0);
    }
  }
  co_await Exchange.respond(jsonReply(Status, "{}"));
}

asio::awaitable<void> EngineStandin::unload(HttpExchange &Exchange) {
  std::string Model = modelOf(Exchange.request());
  int Status = 200;
  if (!acceptFencing(Exchange.request(), "unload", Model))
    Status = 412;
  else
    Resident_.erase(Model);
  co_await Exchange.respond(jsonReply(Status, "{}"));
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
  json Seen{{"request_id", Work.Id_},
            {"model", Work.Model_},
            {"prompt", Work.Prompt_},
            {"headers", headersToJson(Request)}};
  if (!Resident_.count(Work.Model_)) {
    Records_.add("missing", Seen);
    HttpReply Reply = jsonReply(
        404, json{{"error", {{"code", "adapter_not_loaded"}}}}.dump());
    Reply.Headers_.add("X-Request-Id", Work.Id_);
    co_await Exchange.respond(std::move(Reply));
    co_return;
  }
  ++Waiting_;
  while (Running_ >= Behaviour_.RequestSlots_ && !Exchange.callerGone())
    co_await pause(Executor_, toMillis(SlotCheckPeriod));
  --Waiting_;
  if (Exchange.callerGone())
    co_return;
  Records_.add("run", Seen);
  if (Work.Prompt_.find("crash-engine") != std::string::npos) {
    crash();
    Exchange.abort();
    co_return;
  }
  std::string Life = Incarnation_;
  ++Running_;
  ++Resident_[Work.Model_];
  co_await generate(Exchange, Work);
  --Running_;
  if (Life == Incarnation_ && Resident_.count(Work.Model_))
    --Resident_[Work.Model_];
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
  HttpReplyHead Head{200,
                     {{"X-Request-Id", Work.Id_}, {"X-Adapter", Work.Model_}}};
  Head.Headers_.add("Content-Type",
                    Work.Stream_ ? "text/event-stream" : "application/json");
  auto PromptTokens = static_cast<std::int64_t>(Work.Prompt_.size() / 4 + 1);
  json Answer{{"id", Work.Id_},
              {"model", Work.Model_},
              {"usage",
               {{"prompt_tokens", PromptTokens},
                {"completion_tokens", Work.MaxTokens_},
                {"total_tokens", PromptTokens + Work.MaxTokens_}}}};
  std::string Life = Incarnation_;
  std::string Text;
  if (Work.Stream_)
    co_await Exchange.startStream(Head);
  for (std::int64_t Token = 0; Token < Work.MaxTokens_; ++Token) {
    co_await pause(Executor_, Behaviour_.TokenMs_);
    if (Exchange.callerGone()) {
      Records_.add("cancelled", {{"request_id", Work.Id_}});
      co_return;
    }
    if (Life != Incarnation_) {
      Exchange.abort();
      co_return;
    }
    if (!Resident_.count(Work.Model_)) {
      Records_.add("evicted_while_serving",
                   {{"request_id", Work.Id_}, {"model", Work.Model_}});
      Exchange.abort();
      co_return;
    }
    std::string Word = Work.Model_ + "#" + std::to_string(Token) + " ";
    Text += Word;
    if (!Work.Stream_)
      continue;
    json Event{{"id", Work.Id_},
               {"model", Work.Model_},
               {"choices", {choiceOf(Work.IsChat_, true, Word)}}};
    co_await Exchange.write("data: " + Event.dump() + "\n\n");
  }
  Records_.add("finished", {{"request_id", Work.Id_}, {"model", Work.Model_}});
  if (Work.Stream_) {
    Answer["choices"] = json::array();
    co_await Exchange.write("data: " + Answer.dump() + "\n\n");
    co_await Exchange.write("data: [DONE]\n\n");
    co_await Exchange.finishStream();
    co_return;
  }
  Answer["choices"] = {choiceOf(Work.IsChat_, false, Text)};
  HttpReply Whole{200, Head.Headers_, Answer.dump()};
  co_await Exchange.respond(std::move(Whole));
}

} // namespace anvil
