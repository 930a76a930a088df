#include "Standins/RegisteredTargetStandin.h"

#include "Http/Pause.h"
#include "Standins/FramingProxy.h"

#include <cstdlib>

namespace anvil {

namespace asio = boost::asio;
using nlohmann::json;

/// The number of events in a stream.
static constexpr int StreamEvents = 20;

/// How often a waiting stream looks for a free slot.
static constexpr Duration SlotCheckPeriod = std::chrono::milliseconds(2);

RegisteredTargetStandin::RegisteredTargetStandin(asio::any_io_executor Executor,
                                                 std::string Id,
                                                 TargetProcess Process)
    : Id_(std::move(Id)), Process_(std::move(Process)),
      Server_(std::move(Executor), {},
              [this](HttpExchange &Exchange) { return handle(Exchange); }) {}

HttpReply RegisteredTargetStandin::sealed(int Status, const std::string &Body,
                                          const HttpRequest &Request) const {
  return seal(jsonReply(Status, Body), Request);
}

HttpReply RegisteredTargetStandin::seal(HttpReply Reply,
                                        const HttpRequest &Request) const {
  Reply.Headers_.add("X-Server-Seal", "seal-of-" + Id_);
  if (auto RequestId = Request.Headers_.find("X-Request-Id"))
    Reply.Headers_.add("X-Request-Id", *RequestId);
  return withExtraHeaders(std::move(Reply));
}

HttpReply RegisteredTargetStandin::withExtraHeaders(HttpReply Reply) const {
  for (const HttpHeader &Header : ExtraHeaders_)
    Reply.Headers_.add(Header.Name_, Header.Value_);
  return Reply;
}

HttpReply RegisteredTargetStandin::control(const HttpRequest &Request) {
  json Body = json::parse(Request.Body_, nullptr, false);
  if (!Body.is_object())
    return jsonReply(400, "{}");
  Fail_ = Body.value("fail", Fail_);
  Refuse_ = Body.value("refuse", Refuse_);
  Unsealed_ = Body.value("unsealed", Unsealed_);
  Drop_ = Body.value("drop", Drop_);
  CutAfter_ = Body.value("cut_after", CutAfter_);
  EventMs_ = Body.value("event_ms", EventMs_);
  Slots_ = Body.value("slots", Slots_);
  DropWaiting_ = Body.value("drop_waiting", DropWaiting_);
  HoldMs_ = Body.value("hold_ms", HoldMs_);
  HoldBody_ = Body.value("hold_body", HoldBody_);
  Busy_ = Body.value("busy", Busy_);
  BareRefusals_ = Body.value("bare_refusals", BareRefusals_);
  Endless_ = Body.value("endless", Endless_);
  DeadlyPart_ = Body.value("deadly_part", DeadlyPart_);
  if (Body.contains("headers")) {
    ExtraHeaders_ = HttpHeaders();
    for (const json &Header : Body["headers"])
      ExtraHeaders_.add(Header.at(0).get<std::string>(),
                        Header.at(1).get<std::string>());
  }
  return jsonReply(200, "{}");
}

HttpReply RegisteredTargetStandin::report() const {
  json Adapters = json::array();
  for (const auto &[Name, Version] : Adapters_)
    Adapters.push_back(Name + "@" + std::to_string(Version));
  json Model = {{"Name", "base"}, {"Version", 1}, {"Adapters", Adapters}};
  json Body = {{"Models", json::array({Model})},
               {"Busy", false},
               {"Seq", Orders_},
               {"Pending", json::array()}};
  if (Process_.Born_ > 0)
    Body["born"] = Process_.Born_;
  return jsonReply(200, Body.dump());
}

HttpReply RegisteredTargetStandin::order(const HttpRequest &Request) {
  json Order = json::parse(Request.Body_, nullptr, false);
  Records_.add("order", {{"body", Order}});
  if (!Order.is_object() || !Order.contains("Holder"))
    return jsonReply(400, "{}");
  if (Busy_ || Order.value("Precondition", Orders_) != Orders_)
    return jsonReply(409, "{}");
  ++Orders_;
  std::string Adapter = Order.value("Adapter", "");
  if (Order["Operation"] == "unload")
    Adapters_.erase(Adapter);
  else
    Adapters_[Adapter] = Order.value("Version", std::uint64_t{1});
  return jsonReply(202, "{}");
}

HttpReplyHead
RegisteredTargetStandin::streamHead(const HttpRequest &Request,
                                    std::string_view ContentType) const {
  HttpReply Reply{200, {{"Content-Type", std::string(ContentType)}}, {}};
  Reply = seal(std::move(Reply), Request);
  return {Reply.Status_, std::move(Reply.Headers_)};
}

std::string RegisteredTargetStandin::eventText(int Number) const {
  std::string Digits = std::to_string(Number);
  std::string Text = "id: " + Digits + "\ndata: word " + Digits;
  if (!Process_.Software_.empty())
    Text += " of " + Process_.Software_;
  return Text + "\n\n";
}

asio::awaitable<void> RegisteredTargetStandin::stream(HttpExchange &Exchange) {
  int From = 0;
  if (auto LastEventId = Exchange.request().Headers_.find("Last-Event-Id"))
    From = std::stoi(std::string(*LastEventId));
  HttpReplyHead Head = streamHead(Exchange.request(), "text/event-stream");
  if (Process_.NamesLength_) {
    std::size_t Length = 0;
    for (int Event = From + 1; Event <= StreamEvents; ++Event)
      Length += eventText(Event).size();
    Head.Headers_.add(BodyLengthHeader, std::to_string(Length));
  }
  co_await Exchange.startStream(std::move(Head));
  std::string_view Prompt =
      Exchange.request().Headers_.find("X-Prompt-Prefix").value_or("");
  if (!DeadlyPart_.empty() && Prompt.find(DeadlyPart_) != Prompt.npos)
    std::_Exit(1);
  for (int Event = From + 1; Event <= StreamEvents; ++Event) {
    if (CutAfter_ >= 0 && Event > CutAfter_) {
      CutAfter_ = -1;
      Exchange.abort();
      co_return;
    }
    std::string Text = eventText(Event);
    if (!co_await Exchange.write(Text))
      co_return;
    co_await pauseFor(std::chrono::milliseconds(EventMs_));
  }
  co_await Exchange.finishStream();
}

asio::awaitable<void>
RegisteredTargetStandin::streamInSlot(HttpExchange &Exchange,
                                      std::string Adapter) {
  std::uint64_t Ticket = ++LastTicket_;
  auto HeldVersion = [&] {
    auto Held = Adapters_.find(Adapter);
    return Held == Adapters_.end() ? std::uint64_t{0} : Held->second;
  };
  std::uint64_t Version = HeldVersion();
  Waiting_.insert(Ticket);
  while (UsedSlots_ >= Slots_ || *Waiting_.begin() != Ticket) {
    co_await pauseFor(SlotCheckPeriod);
    bool IsDropped = DropWaiting_ && Exchange.callerDisconnected();
    if (HeldVersion() == Version && !IsDropped)
      continue;
    Waiting_.erase(Ticket);
    if (IsDropped) {
      Records_.add("dropped", {{"headers", headersToJson(Exchange.request())}});
      co_return;
    }
    HttpReply Refusal = jsonReply(503, "{}");
    Refusal.Headers_.add("X-Not-Executed", "1");
    co_await Exchange.respond(std::move(Refusal));
    co_return;
  }
  Waiting_.erase(Ticket);
  ++UsedSlots_;
  Records_.add("begin", {{"version", Version},
                         {"headers", headersToJson(Exchange.request())}});
  co_await stream(Exchange);
  --UsedSlots_;
}

asio::awaitable<void>
RegisteredTargetStandin::respondInParts(HttpExchange &Exchange) {
  co_await Exchange.startStream(
      streamHead(Exchange.request(), "application/json"));
  co_await Exchange.write("{");
  co_await pauseFor(std::chrono::milliseconds(HoldMs_));
  co_await Exchange.write("}");
  co_await Exchange.finishStream();
}

asio::awaitable<void>
RegisteredTargetStandin::respondEndlessly(HttpExchange &Exchange) {
  co_await Exchange.startStream(
      streamHead(Exchange.request(), "application/json"));
  const std::string Piece(65536, 'x');
  while (co_await Exchange.write(Piece)) {
  }
}

asio::awaitable<void> RegisteredTargetStandin::handle(HttpExchange &Exchange) {
  const HttpRequest &Request = Exchange.request();
  HttpReply Reply = jsonReply(404, "{}");
  auto Expected = Request.Headers_.find("X-Expect-Instance");
  std::string Model(Request.Headers_.find("X-Model").value_or(""));
  auto Slash = Model.find('/');
  std::string AdapterName =
      Slash == std::string::npos ? "" : Model.substr(Slash + 1);
  bool LacksAdapter = !AdapterName.empty() && !Adapters_.contains(AdapterName);
  auto ExpectedVersion = Request.Headers_.find("X-Expect-Version");
  bool HasOtherVersion =
      !AdapterName.empty() && !LacksAdapter && ExpectedVersion &&
      *ExpectedVersion != std::to_string(Adapters_[AdapterName]);
  if (Request.path() == "/control") {
    Reply = control(Request);
  } else if (Request.path() == "/records") {
    Reply = jsonReply(200, Records_.text());
  } else if (Expected && *Expected != Id_) {
    Reply = jsonReply(421, "{}");
  } else if (Request.path() == "/api/report") {
    Reply = report();
  } else if (Request.path() == "/api/order") {
    Reply = order(Request);
  } else if (LacksAdapter || HasOtherVersion) {
    Reply = jsonReply(421, "{}");
  } else if (Refuse_ > 0) {
    --Refuse_;
    Records_.add("refusal", {{"headers", headersToJson(Request)}});
    Reply = jsonReply(503, "{}");
    if (!BareRefusals_)
      Reply = withExtraHeaders(std::move(Reply));
    Reply.Headers_.add("X-Not-Executed", "1");
  } else {
    Records_.add("run", {{"target", Request.Target_},
                         {"body", Request.Body_},
                         {"headers", headersToJson(Request)}});
    if (Drop_ > 0) {
      --Drop_;
      Exchange.abort();
      co_return;
    }
    if (Endless_)
      co_return co_await respondEndlessly(Exchange);
    if (HoldBody_)
      co_return co_await respondInParts(Exchange);
    if (HoldMs_ > 0)
      co_await pauseFor(std::chrono::milliseconds(HoldMs_));
    if (Request.path().starts_with("/stream/") && Slots_ > 0)
      co_return co_await streamInSlot(Exchange, AdapterName);
    if (Request.path().starts_with("/stream/"))
      co_return co_await stream(Exchange);
    if (Unsealed_ > 0) {
      --Unsealed_;
      co_await Exchange.respond(jsonReply(503, "{}"));
      co_return;
    }
    bool Fails = Fail_ > 0;
    Fail_ -= Fails ? 1 : 0;
    Reply = sealed(Fails ? 500 : 200, json{{"by", Id_}}.dump(), Request);
  }
  co_await Exchange.respond(std::move(Reply));
}

} // namespace anvil
