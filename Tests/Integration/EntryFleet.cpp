#include "Integration/EntryFleet.h"

#include "Objects/Digest.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include <unistd.h>

namespace anvil {

using nlohmann::json;

/// How long a fleet may take to serve its first requests with adapters.
static constexpr Millis SettleTimeout{20000};

/// The proxy's name for a VM's link to the store.
static std::string storeLinkName(const std::string &Vm) {
  return Vm + ">store";
}

/// A loopback address of this test and VM alone, so that no other process takes
/// the VM's peer port between two of its lives.
static std::string peerAddress(const std::string &Vm) {
  int Test = ::getpid();
  return "127." + std::to_string(1 + Test % 250) + "." +
         std::to_string(1 + Test / 250 % 250) + "." +
         Vm.substr(Vm.find('-') + 1);
}

std::string standinEvents(int First, int Last) {
  std::string Text;
  for (int Event = First; Event <= Last; ++Event)
    Text += "id: " + std::to_string(Event) + "\ndata: word " +
            std::to_string(Event) + "\n\n";
  return Text;
}

EntryFleet::EntryFleet(EntryFleetPlan Plan) : Plan_(Plan) {
  std::string Template =
      (std::filesystem::temp_directory_path() / "anvil-entry-XXXXXX").string();
  if (!::mkdtemp(Template.data()))
    throw std::runtime_error(
        "cannot create the temporary directory of the test");
  Directory_ = Template;
  start("store", {"--kind", "row-store"});
  for (int Number = 1; Number <= Plan_.Vms_; ++Number)
    Vms_.push_back("vm-" + std::to_string(Number));
  for (const std::string &Target : EntryTargets) {
    startTarget(Target);
    writeTargetEntry(Target, "ready");
  }
  configure(1, {"good-key"});
  if (Plan_.HasStoreEra_)
    control("store", {{"era", 1}, {"copy", true}});
  std::vector<std::string> Proxy{"--kind", "proxy"};
  for (const std::string &Vm : Vms_)
    Proxy.insert(Proxy.end(), {"--link", storeLinkName(Vm)});
  start("proxy", Proxy);
  for (const std::string &Vm : Vms_)
    control("proxy",
            {{"link", storeLinkName(Vm)},
             {"target", "127.0.0.1:" + std::to_string(at("store").port())}});
  for (const std::string &Vm : Vms_)
    startVm(Vm);
  bool Settled = eventually(
      [&] {
        return call("vm-1", "/stream/1",
                    {{"X-Model", "base/warm"}, {"X-Request-Deadline", "3000"}})
                       .Status_ == 200 &&
               call(Vms_.back(), "/safe/1").Status_ == 200;
      },
      SettleTimeout);
  if (!Settled)
    throw std::runtime_error("the entry fleet serves no requests: " +
                             at("vm-1").log());
}

EntryFleet::~EntryFleet() {
  Processes_.clear();
  std::error_code Ignored;
  std::filesystem::remove_all(Directory_, Ignored);
}

std::string EntryFleet::callerAddress(const std::string &Vm) const {
  return Plan_.OwnCallerAddresses_ ? peerAddress(Vm) : "127.0.0.1";
}

void EntryFleet::start(const std::string &Name,
                       std::vector<std::string> Arguments) {
  Processes_[Name] = std::make_unique<Process>(
      ANVIL_STANDIN, std::move(Arguments), Directory_, Name);
}

void EntryFleet::startTarget(const std::string &Name,
                             std::int64_t Incarnation) {
  std::vector<std::string> Arguments{
      "--kind", "registered-target", "--id",
      Name,     "--records",         Directory_ + "/" + Name + ".records"};
  if (Plan_.FramingSeed_) {
    std::uint64_t Seed = *Plan_.FramingSeed_ * 1000 + ++TargetStarts_;
    Arguments.insert(Arguments.end(), {"--framing-seed", std::to_string(Seed),
                                       "--born", std::to_string(Incarnation)});
  }
  start(Name, std::move(Arguments));
}

void EntryFleet::startVm(const std::string &Name, std::uint16_t PeerPort,
                         std::uint16_t CallerPort) {
  std::string Path = Directory_ + "/" + Name + ".json";
  std::string Store =
      "127.0.0.1:" + std::to_string(at("proxy").port(storeLinkName(Name)));
  json Settings = {
      {"mode", "entry"},
      {"vm", Name},
      {"data_centre", dataCentreOf(Name)},
      {"listen",
       {{"callers", callerAddress(Name) + ":" + std::to_string(CallerPort)},
        {"ready", "127.0.0.1:0"},
        {"address", peerAddress(Name)},
        {"peer_port", PeerPort}}},
      {"store",
       {{"address", Store},
        {"timeout_ms", 300},
        {"watch_ms", 300},
        {"target_list_ms", 200},
        {"renew_ms", 400}}},
      {"bounds", {{"key_withdrawal_ms", 3000}}}};
  // The whole system starts for the first time only once.
  if (Plan_.HasStoreEra_ && !Processes_.contains(Name))
    Settings["bootstrap"] = true;
  if (Plan_.ConfigApply_)
    Settings["bounds"]["config_apply_ms"] = Plan_.ConfigApply_->count();
  if (Plan_.StopSeconds_)
    Settings["bounds"]["stop_s"] = *Plan_.StopSeconds_;
  std::ofstream(Path) << Settings.dump();
  Processes_[Name] = std::make_unique<Process>(
      ANVIL_DAEMON, std::vector<std::string>{"--settings", Path}, Directory_,
      Name, Plan_.VmLimits_);
}

void EntryFleet::restartTarget(const std::string &Target,
                               std::int64_t Incarnation) {
  startTarget(Target, Incarnation);
  writeTargetEntry(Target, "ready", Incarnation);
}

void EntryFleet::replaceSoftware(const std::string &Target,
                                 const std::string &Version,
                                 std::int64_t Incarnation) {
  std::uint16_t Port = at(Target).port();
  at(Target).kill();
  SoftwareVersions_[Target] = Version;
  start(Target, {"--kind", "registered-target", "--id", Target, "--software",
                 Version, "--born", std::to_string(Incarnation), "--port",
                 std::to_string(Port)});
}

std::unique_ptr<Process> EntryFleet::startBeside(const std::string &Vm) {
  std::unique_ptr<Process> Earlier = std::move(Processes_.at(Vm));
  startVm(Vm, Earlier->port("peer"), Earlier->port("caller"));
  return Earlier;
}

void EntryFleet::startAgain(const std::string &Vm) { startBeside(Vm); }

void EntryFleet::restartTogether(const std::vector<std::string> &Vms) {
  // VMs have the same ports in all their lives.
  std::map<std::string, std::uint16_t> PeerPorts;
  for (const std::string &Vm : Vms)
    PeerPorts[Vm] = at(Vm).port("peer");
  for (const std::string &Vm : Vms)
    at(Vm).kill();
  for (const std::string &Vm : Vms)
    startVm(Vm, PeerPorts[Vm]);
}

void EntryFleet::writeRow(const std::string &Table, const std::string &Key,
                          const json &Value) {
  sendJson(at("store").port(), "PUT", "/row",
           {{"Table", Table}, {"Key", Key}, {"Value", Value.dump()}});
}

std::string EntryFleet::dataCentreOf(const std::string &Name) const {
  return Plan_.TwoDataCentres_ && Name.ends_with("2") ? "south" : "north";
}

void EntryFleet::nameVersion(const std::string &Adapter,
                             std::uint64_t Version) {
  writeRow("op", "version/base." + Adapter,
           {{"Model", "base"}, {"Adapter", Adapter}, {"Version", Version}});
}

std::string EntryFleet::ownerOf(const std::string &Engine) {
  json Page = sendJson(at("store").port(), "GET",
                       "/api/rows-get?Table=anvil&part=&From=owner/" + Engine +
                           "&Limit=1",
                       json::object())
                  .json();
  if (Page["Rows"].empty() || Page["Rows"][0]["Key"] != "owner/" + Engine)
    return "";
  auto Value = base64Decode(Page["Rows"][0]["Value"].get<std::string>());
  std::string Holder = json::parse(Value.value_or("{}")).value("vm", "");
  return Holder.substr(0, Holder.find('@'));
}

void EntryFleet::setEvacuated(const std::string &DataCentre, bool IsRequested) {
  sendJson(at("store").port(), IsRequested ? "PUT" : "DELETE", "/row",
           {{"Table", "op"},
            {"Key", "evacuate/" + DataCentre},
            {"Value", json::object().dump()}});
}

void EntryFleet::writeTargetEntry(const std::string &Target,
                                  const std::string &State,
                                  std::int64_t Incarnation,
                                  std::optional<Millis> ColdRemaining) {
  writeTargetRow(Target, at(Target).port(), State, Incarnation, ColdRemaining);
}

void EntryFleet::writeSoftwareVersion(const std::string &Target,
                                      const std::string &Version) {
  SoftwareVersions_[Target] = Version;
  writeTargetEntry(Target, "ready");
}

void EntryFleet::removeTargetEntry(const std::string &Target) {
  sendJson(at("store").port(), "DELETE", "/row",
           {{"Table", "servers"}, {"Key", Target}, {"Value", ""}});
}

void EntryFleet::writeTargetBytes(const std::string &Target,
                                  const std::string &Bytes) {
  sendJson(at("store").port(), "PUT", "/row",
           {{"Table", "servers"}, {"Key", Target}, {"Value", Bytes}});
}

void EntryFleet::registerTarget(const std::string &Id, std::uint16_t Port) {
  writeTargetRow(Id, Port, "ready", 1700000000000, std::nullopt);
}

void EntryFleet::startUnframedTarget(const std::string &Id,
                                     const std::vector<std::string> &Options,
                                     std::int64_t Born) {
  std::vector<std::string> Arguments{"--kind", "unframed-target",   "--id", Id,
                                     "--born", std::to_string(Born)};
  Arguments.insert(Arguments.end(), Options.begin(), Options.end());
  start(Id, Arguments);
  registerTarget(Id, at(Id).port());
}

void EntryFleet::replaceTargets(const std::string &Id, std::uint16_t Port) {
  registerTarget(Id, Port);
  std::string Kind = Id.substr(0, Id.find('-'));
  for (const std::string &Target : EntryTargets)
    if (Target.starts_with(Kind))
      writeTargetEntry(Target, "draining");
}

void EntryFleet::writeTargetRow(const std::string &Target, std::uint16_t Port,
                                const std::string &State,
                                std::int64_t Incarnation,
                                std::optional<Millis> ColdRemaining) {
  bool IsEngine = Target.starts_with("engine");
  json Entry = {{"Service", IsEngine ? "engines" : "plain"},
                {"Address", "127.0.0.1:" + std::to_string(Port)},
                {"Zone", dataCentreOf(Target)},
                {"Slots", Plan_.EngineSlots_},
                {"State", State},
                {"born", Incarnation},
                {"Version", "v1"},
                {"Seq", 0}};
  if (SoftwareVersions_.contains(Target))
    Entry["Version"] = SoftwareVersions_[Target];
  if (ColdRemaining)
    Entry["ColdRemainingMs"] = ColdRemaining->count();
  if (IsEngine)
    Entry["Models"] = json::array(
        {{{"Name", "base"}, {"Version", 1}, {"Adapters", json::array()}}});
  writeRow("servers", Target, Entry);
}

void EntryFleet::configure(std::uint64_t Revision,
                           const std::vector<std::string> &Keys,
                           const std::vector<std::string> &Added) {
  auto Route = [this](const std::string &Prefix, const char *Kind,
                      const char *Service, int Targets) {
    return json{{"Name", Prefix},
                {"Host", "anvil"},
                {"PathPrefix", Prefix},
                {"RouteType", Kind},
                {"TimeoutMs", Plan_.Timeout_.count()},
                {"TargetLatencyMs", Plan_.LatencyTarget_.count()},
                {"Priority", 1},
                {"Service", Service},
                {"MaxAttempts", Targets}};
  };
  json Stream = Route("/stream/resumable/", "streaming", "engines", 2);
  Stream["Resumable"] = true;
  json Engine = {{"Slots", Plan_.EngineSlots_},
                 {"KvTokens", 100000},
                 {"MaxAdapters", 3},
                 {"LoadsPerS", 5},
                 {"Models", json::array({{{"Name", "base"}}})}};
  json Plain = {{"Name", "plain"}};
  if (Plan_.PlainColdStart_) {
    Plain["ColdStartS"] = Plan_.PlainColdStart_->first;
    Plain["ColdPerS"] = Plan_.PlainColdStart_->second;
  }
  json Config = {
      {"Version", Revision},
      {"Routes",
       {Route("/safe/", "safe", "plain", 2),
        Route("/once/", "unsafe", "plain", 1),
        Route("/stream/", "streaming", "engines", 1), Stream}},
      {"Services", {{{"Name", "engines"}, {"Engine", Engine}}, Plain}},
      {"Tenants", json::array({{{"Name", "serenas"}, {"ApiKeys", Keys}}})}};
  for (const std::string &Path : Added)
    Config["Routes"].push_back(Route(Path, "safe", "plain", 2));
  writeRow("op", "config", Config);
}

void EntryFleet::setStoreLink(const std::string &Vm, const std::string &Mode,
                              Millis Delay) {
  control("proxy", {{"link", storeLinkName(Vm)},
                    {"mode", Mode},
                    {"delay_ms", Delay.count()}});
}

void EntryFleet::setStorePace(const std::string &Vm,
                              std::int64_t BytesPerSecond) {
  control("proxy",
          {{"link", storeLinkName(Vm)}, {"bytes_per_s", BytesPerSecond}});
}

void EntryFleet::control(const std::string &Standin, const json &Change) {
  std::string Port = Standin == "proxy" ? "admin" : "port";
  sendJson(at(Standin).port(Port), "POST", "/control", Change);
}

CallerRequest EntryFleet::request(
    const std::string &Path,
    std::vector<std::pair<std::string, std::string>> Headers) const {
  CallerRequest Request;
  Request.Target_ = Path;
  Request.Headers_ = std::move(Headers);
  auto Default = [&](const char *Name, const char *Value) {
    for (const auto &[Known, Text] : Request.Headers_)
      if (Known == Name)
        return;
    Request.Headers_.emplace_back(Name, Value);
  };
  Default("X-Request-Id", "request-0");
  Default("Authorization", "Token good-key");
  Default("X-Request-Deadline", std::to_string(Plan_.Timeout_.count()).c_str());
  return Request;
}

CallerReply
EntryFleet::call(const std::string &Vm, const std::string &Path,
                 std::vector<std::pair<std::string, std::string>> Headers) {
  CallerConnection Connection(callerPort(Vm), callerAddress(Vm));
  Connection.send(request(Path, std::move(Headers)));
  return Connection.finish(Millis(20000));
}

std::vector<json> EntryFleet::keptRecords(const std::string &Event) const {
  std::vector<json> Found;
  for (const std::string &Target : EntryTargets) {
    std::ifstream File(Directory_ + "/" + Target + ".records");
    std::string Line;
    while (std::getline(File, Line)) {
      json Item = json::parse(Line, nullptr, false);
      if (!Item.is_object() || Item["event"] != Event)
        continue;
      Item["target"] = Target;
      Found.push_back(std::move(Item));
    }
  }
  return Found;
}

void EntryFleet::keepFiles(const std::string &Folder) const {
  std::filesystem::create_directories(Folder);
  std::filesystem::copy(Directory_, Folder,
                        std::filesystem::copy_options::recursive |
                            std::filesystem::copy_options::overwrite_existing);
}

void EntryFleet::replaceStore(const std::string &Vm,
                              std::optional<std::uint16_t> Port) {
  std::uint16_t Chosen = Port.value_or(at("store").port());
  setStoreLink(Vm, "reset");
  control("proxy", {{"link", storeLinkName(Vm)},
                    {"target", "127.0.0.1:" + std::to_string(Chosen)},
                    {"mode", "pass"}});
}

std::vector<json> EntryFleet::records(const std::string &Event) {
  std::vector<json> Found;
  for (const std::string &Target : EntryTargets) {
    json All =
        sendJson(at(Target).port(), "GET", "/records", json::object()).json();
    for (json &Item : All)
      if (Item["event"] == Event)
        Found.push_back(std::move(Item));
  }
  return Found;
}

int EntryFleet::runCount(const std::string &RequestId) {
  auto Runs = records("run");
  return static_cast<int>(std::ranges::count_if(Runs, [&](const json &Run) {
    return Run["headers"]["x-request-id"] == RequestId;
  }));
}

std::string EntryFleet::explain(const std::string &RequestId) {
  std::string Command = std::string(ANVIL_CTL) + " explain " + RequestId;
  for (const std::string &Vm : Vms_)
    Command += " " + Directory_ + "/" + Vm + ".log";
  std::string Output;
  FILE *Pipe = ::popen(Command.c_str(), "r");
  char Buffer[4096];
  while (std::size_t Read = std::fread(Buffer, 1, sizeof(Buffer), Pipe))
    Output.append(Buffer, Read);
  ::pclose(Pipe);
  return Output;
}

} // namespace anvil
