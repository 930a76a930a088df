#include "Integration/Fleet.h"

#include "Objects/Digest.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <set>
#include <sstream>
#include <stdexcept>

namespace anvil {

using nlohmann::json;

Fleet::Fleet(FleetPlan Plan) : Plan_(std::move(Plan)) {
  std::string Template =
      std::filesystem::temp_directory_path() / "anvil-test-XXXXXX";
  Directory_ = ::mkdtemp(Template.data());
  startStandins();
  startProxy();
  for (const FleetMember &Vm : Plan_.Vms_)
    startVm(Vm.Name_);
  publishObjects();
}

Fleet::~Fleet() {
  for (auto &[Name, Running] : Processes_)
    if (Running->exitedUnexpectedly()) {
      UNSCOPED_INFO(Running->log());
      FAIL_CHECK(Name << " ended by itself: " << Running->exitDescription());
    }
  Processes_.clear();
  std::error_code Ignored;
  if (!std::getenv("ANVIL_KEEP_LOGS"))
    std::filesystem::remove_all(Directory_, Ignored);
}

void Fleet::startStandins() {
  auto Start = [this](const std::string &Name,
                      std::vector<std::string> Arguments) {
    Processes_[Name] = std::make_unique<Process>(
        ANVIL_STANDIN, std::move(Arguments), Directory_, Name);
  };
  Start("platform", {"--kind", "platform"});
  Start("service", {"--kind", "service"});
  for (const FleetMember &Engine : Plan_.Engines_) {
    std::vector<std::string> Arguments{"--kind", "engine"};
    Arguments.insert(Arguments.end(), Plan_.EngineOptions_.begin(),
                     Plan_.EngineOptions_.end());
    Start(Engine.Name_, std::move(Arguments));
  }
}

void Fleet::startProxy() {
  std::vector<std::string> Links{"service"};
  for (const FleetMember &Engine : Plan_.Engines_)
    Links.push_back(Engine.Name_);
  for (const FleetMember &Vm : Plan_.Vms_) {
    Links.push_back(Vm.Name_ + ">platform");
    for (const FleetMember &Peer : Plan_.Vms_)
      if (Peer.Name_ != Vm.Name_)
        Links.push_back(Vm.Name_ + ">" + Peer.Name_);
  }
  std::vector<std::string> Arguments{"--kind", "proxy"};
  for (const std::string &Link : Links)
    Arguments.insert(Arguments.end(), {"--link", Link});
  Processes_["proxy"] =
      std::make_unique<Process>(ANVIL_STANDIN, Arguments, Directory_, "proxy");
  for (const std::string &Link : Links) {
    std::string To = Link.substr(Link.find('>') + 1);
    if (Processes_.contains(To))
      control("proxy",
              {{"link", Link},
               {"target", "127.0.0.1:" + std::to_string(at(To).port())}});
  }
}

void Fleet::startVm(const std::string &Name) {
  json Settings{
      {"vm", Name},
      {"listen", {{"caller_port", 0}, {"admin_port", 0}, {"peer_port", 0}}},
      {"shutdown", {{"balancer_notice_ms", 200}}},
      {"peers", json::array()}};
  auto Address = [this](const std::string &Link) {
    return "127.0.0.1:" + std::to_string(at("proxy").port(Link));
  };
  Settings["platform"]["address"] = Address(Name + ">platform");
  for (const FleetMember &Vm : Plan_.Vms_) {
    if (Vm.Name_ == Name)
      Settings["data_centre"] = Vm.DataCentre_;
    else
      Settings["peers"].push_back(
          {{"name", Vm.Name_},
           {"data_centre", Vm.DataCentre_},
           {"address", Address(Name + ">" + Vm.Name_)}});
  }
  Settings.merge_patch(Plan_.Settings_);
  std::string Path = Directory_ + "/" + Name + ".json";
  std::ofstream(Path) << Settings.dump();
  Processes_[Name] = std::make_unique<Process>(
      ANVIL_DAEMON, std::vector<std::string>{"--settings", Path}, Directory_,
      Name);
  std::string PeerAddress =
      "127.0.0.1:" + std::to_string(at(Name).port("peer"));
  for (const FleetMember &Vm : Plan_.Vms_)
    if (Vm.Name_ != Name)
      control("proxy",
              {{"link", Vm.Name_ + ">" + Name}, {"target", PeerAddress}});
  publishVmList();
}

void Fleet::publishVmList() {
  json Vms = json::array();
  for (const FleetMember &Vm : Plan_.Vms_)
    if (Processes_.contains(Vm.Name_))
      Vms.push_back(
          {{"name", Vm.Name_},
           {"data_centre", Vm.DataCentre_},
           {"address",
            "127.0.0.1:" + std::to_string(at(Vm.Name_).port("peer"))}});
  sendJson(at("platform").port(), "PUT", "/vms", {{"vms", Vms}});
}

json object(const std::string &Kind, const std::string &Name, json Fields) {
  Fields["kind"] = Kind;
  Fields["name"] = Name;
  return Fields;
}

json keyObject(const std::string &Customer, bool Withdrawn) {
  return object("key", Customer + "-key",
                {{"customer", Customer},
                 {"sha256", sha256Hex("secret-" + Customer)},
                 {"withdrawn", Withdrawn}});
}

void Fleet::putObject(const json &Object) {
  for (json &Existing : Objects_)
    if (Existing["kind"] == Object["kind"] &&
        Existing["name"] == Object["name"]) {
      Existing.merge_patch(Object);
      return;
    }
  Objects_.push_back(Object);
}

void Fleet::publishObjects() {
  std::set<std::string> DataCentres;
  for (const FleetMember &Vm : Plan_.Vms_)
    DataCentres.insert(Vm.DataCentre_);
  for (const std::string &Name : DataCentres)
    putObject(object("data_centre", Name));
  for (const char *Customer : {"large", "small"}) {
    putObject(object(
        "customer", Customer,
        {{"rate_tokens_per_second", 1000000}, {"burst_tokens", 1000000}}));
    putObject(keyObject(Customer));
  }
  putObject(object("base_model", "base", {{"max_output_tokens", 100000}}));
  json Versions{{{"name", "1"}, {"weights", "w/1"}},
                {{"name", "2"}, {"weights", "w/2"}}};
  for (const char *Adapter : {"a", "b", "c", "d", "e", "f"})
    putObject(object("adapter", Adapter,
                     {{"base_model", "base"},
                      {"versions", Versions},
                      {"current_version", "2"}}));
  putObject(object("service", "bookings"));
  putObject(object("request_class", "plain"));
  putObject(object("route", "models",
                   {{"path_prefix", "/v1"}, {"request_class", "plain"}}));
  putObject(object("route", "open",
                   {{"path_prefix", "/open/v1"},
                    {"request_class", "plain"},
                    {"route_kind", "service"},
                    {"service", "bookings"},
                    {"open", true}}));
  putObject(object("route", "bookings",
                   {{"path_prefix", "/bookings"},
                    {"route_kind", "service"},
                    {"service", "bookings"},
                    {"request_class", "plain"},
                    {"repeatable", false}}));
  putObject(object("weight_store", "store",
                   {{"loads_per_second", 50}, {"concurrent_loads", 8}}));
  for (const FleetMember &Engine : Plan_.Engines_) {
    json Target = object("target", Engine.Name_,
                         {{"data_centre", Engine.DataCentre_},
                          {"address", "127.0.0.1"},
                          {"port", at("proxy").port(Engine.Name_)},
                          {"base_model", "base"}});
    Target.merge_patch(Plan_.TargetFields_);
    putObject(Target);
  }
  putObject(object("target", "service",
                   {{"data_centre", Plan_.Vms_.front().DataCentre_},
                    {"target_kind", "service"},
                    {"service", "bookings"},
                    {"address", "127.0.0.1"},
                    {"port", at("proxy").port("service")}}));
  for (const json &Object : Plan_.Objects_)
    putObject(Object);
  CallerReply Published =
      apply(Plan_.Vms_.front().Name_, Objects_, "initial-set");
  INFO(Published.Body_);
  REQUIRE(Published.Status_ == 200);
  REQUIRE(waitForRevision(1, vmNames(), SettleTimeout));
  for (const std::string &Vm : vmNames())
    REQUIRE(eventually(
        [&] {
          CallerRequest Ready{"GET", "/readyz", {}, ""};
          return callOnce(at(Vm).port("admin"), Ready).Status_ == 200;
        },
        SettleTimeout));
}

void Fleet::setLink(const std::string &Name, const std::string &Mode,
                    std::int64_t DelayMs) {
  control("proxy", {{"link", Name}, {"mode", Mode}, {"delay_ms", DelayMs}});
}

void Fleet::setDataCentreLinks(const std::string &DataCentre,
                               const std::string &Mode) {
  for (const FleetMember &From : Plan_.Vms_)
    for (const FleetMember &To : Plan_.Vms_)
      if ((From.DataCentre_ == DataCentre) != (To.DataCentre_ == DataCentre))
        setLink(From.Name_ + ">" + To.Name_, Mode);
}

void Fleet::setPlatformLinks(const std::string &Mode,
                             const std::string &DataCentre) {
  for (const FleetMember &Vm : Plan_.Vms_)
    if (DataCentre.empty() || Vm.DataCentre_ == DataCentre)
      setLink(Vm.Name_ + ">platform", Mode);
}

void Fleet::control(const std::string &Standin, const json &Change) {
  std::string Port = Standin == "proxy" ? "admin" : "port";
  CallerReply Done =
      sendJson(at(Standin).port(Port), "POST", "/control", Change);
  INFO(Standin << " " << Change.dump() << " " << Done.Body_);
  REQUIRE(Done.Status_ == 200);
}

json Fleet::records(const std::string &Standin, const std::string &Event) {
  CallerReply Reply = callOnce(at(Standin).port(), {"GET", "/records", {}, ""});
  json Found = json::array();
  for (const json &Entry : Reply.json())
    if (Event.empty() || Entry["event"] == Event)
      Found.push_back(Entry);
  return Found;
}

json Fleet::engineRecords(const std::string &Event) {
  json Found = json::array();
  for (const FleetMember &Engine : Plan_.Engines_)
    for (const json &Entry : records(Engine.Name_, Event))
      Found.push_back(Entry);
  return Found;
}

CallerReply Fleet::apply(const std::string &Vm, const json &Objects,
                         const std::string &SubmitId) {
  std::string Id =
      SubmitId.empty() ? "submit-" + std::to_string(++NextSubmit_) : SubmitId;
  return sendJson(
      at(Vm).port("admin"), "POST", "/admin/config/apply",
      {{"submit_id", Id},
       {"put", Objects.is_array() ? Objects : json::array({Objects})}});
}

std::uint64_t Fleet::revision(const std::string &Vm) {
  CallerReply Reply =
      callOnce(at(Vm).port("admin"), {"GET", "/admin/config", {}, ""});
  json Body = Reply.json();
  return Body.is_object() ? Body.value("revision", std::uint64_t(0)) : 0;
}

bool Fleet::waitForRevision(std::uint64_t Revision,
                            const std::vector<std::string> &Vms,
                            Millis Timeout) {
  return eventually(
      [&] {
        return std::ranges::all_of(Vms, [&](const std::string &Vm) {
          return revision(Vm) >= Revision;
        });
      },
      Timeout);
}

std::vector<std::string> Fleet::vmNames() const {
  std::vector<std::string> Names;
  for (const FleetMember &Vm : Plan_.Vms_)
    Names.push_back(Vm.Name_);
  return Names;
}

CallerReply Fleet::call(const std::string &Vm, const CallerRequest &Request,
                        Millis Timeout) {
  return callOnce(at(Vm).port("caller"), Request, Timeout);
}

std::vector<CallerReply>
callAll(Fleet &System, const std::vector<VmRequest> &Requests, Millis Timeout) {
  std::vector<std::future<CallerReply>> Running;
  for (const VmRequest &Next : Requests) {
    std::uint16_t Port = System.at(Next.Vm_).port("caller");
    Running.push_back(
        std::async(std::launch::async, callOnce, Port, Next.Request_, Timeout));
  }
  std::vector<CallerReply> Replies;
  for (auto &Each : Running)
    Replies.push_back(Each.get());
  return Replies;
}

std::unique_ptr<CallerConnection> beginStream(Fleet &System,
                                              const std::string &Vm,
                                              const std::string &Model,
                                              int Tokens) {
  std::unique_ptr<CallerConnection> Stream;
  auto Starts = [&] {
    Stream = std::make_unique<CallerConnection>(System.at(Vm).port("caller"));
    Stream->send(completion(Model, "long", Tokens, true));
    return Stream->readUntil(Model + "#3 ", SettleTimeout);
  };
  if (!eventually(Starts, SettleTimeout))
    throw std::runtime_error("no stream started: " +
                             Stream->partialReply().Body_);
  return Stream;
}

void warmUp(Fleet &System) {
  for (const std::string &Vm : System.vmNames())
    for (const char *Customer : {"large", "small"}) {
      CallerRequest Request = completion("a@1", Customer, 2, false,
                                         "secret-" + std::string(Customer));
      auto Serves = [&] { return System.call(Vm, Request).Status_ == 200; };
      if (!eventually(Serves, SettleTimeout))
        throw std::runtime_error(Vm + " does not serve customer " + Customer);
    }
}

BackgroundLoop::BackgroundLoop(std::function<void()> Step)
    : Thread_([this, Step = std::move(Step)] {
        while (!Stop_)
          Step();
      }) {}

BackgroundLoop::~BackgroundLoop() {
  Stop_ = true;
  Thread_.join();
}

std::vector<std::string>
falseRefusals(Fleet &System, const std::vector<CallerReply> &Replies) {
  std::set<std::string> ExecutedIds;
  for (const json &Entry : System.engineRecords("run"))
    ExecutedIds.insert(Entry["request_id"]);
  for (const json &Entry : System.records("service", "call"))
    ExecutedIds.insert(Entry["headers"].value("x-request-id", ""));
  std::vector<std::string> FalseRefusals;
  for (const CallerReply &Reply : Replies)
    if (Reply.problem("ran") == "no" &&
        ExecutedIds.contains(Reply.problem("request_id")))
      FalseRefusals.push_back(Reply.Body_);
  return FalseRefusals;
}

CallerRequest completion(const std::string &Model, const std::string &Prompt,
                         int MaxTokens, bool Stream,
                         const std::string &Secret) {
  CallerRequest Request{"POST", "/v1/completions", {}, ""};
  if (!Secret.empty())
    Request.Headers_.push_back({"Authorization", "Bearer " + Secret});
  Request.Body_ = json{
      {"model", Model},
      {"prompt", Prompt},
      {"max_tokens", MaxTokens},
      {"stream",
       Stream}}.dump();
  return Request;
}

CallerRequest booking(const std::string &IdempotencyKey,
                      const std::string &Body, const std::string &Secret) {
  CallerRequest Request{"POST", "/bookings/vans", {}, Body};
  Request.Headers_.push_back({"Authorization", "Bearer " + Secret});
  if (!IdempotencyKey.empty())
    Request.Headers_.push_back({"Idempotency-Key", IdempotencyKey});
  return Request;
}

std::string expectedText(const std::string &Model, int Count) {
  std::string Text;
  for (int Token = 0; Token < Count; ++Token)
    Text += Model + "#" + std::to_string(Token) + " ";
  return Text;
}

std::string streamedText(const std::string &Body) {
  std::string Text;
  std::istringstream Lines(Body);
  for (std::string Line; std::getline(Lines, Line);) {
    if (!Line.starts_with("data: {"))
      continue;
    json Event = json::parse(Line.substr(6), nullptr, false);
    if (!Event.is_object() || !Event.contains("choices"))
      continue;
    for (const json &Choice : Event["choices"])
      Text += Choice.value("text", "");
  }
  return Text;
}

} // namespace anvil
