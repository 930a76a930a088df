#include "Programs/ReadyFile.h"
#include "Standins/EngineStandin.h"
#include "Standins/FaultProxy.h"
#include "Standins/FramingProxy.h"
#include "Standins/PlatformStandin.h"
#include "Standins/RegisteredTargetStandin.h"
#include "Standins/RowStoreStandin.h"
#include "Standins/ServiceStandin.h"
#include "Standins/UnframedTarget.h"
#include "Standins/WeightStoreStandin.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>

namespace options = boost::program_options;

/// Writes the ports of a listening stand-in to the ready file and runs the loop
/// until SIGTERM or SIGINT.
static int runUntilSignal(boost::asio::io_context &Loop, anvil::Status Outcome,
                          const std::map<std::string, std::uint16_t> &Ports,
                          const std::string &ReadyPath) {
  if (anvil::isOk(Outcome))
    Outcome = anvil::writeReadyFile(ReadyPath, Ports);
  if (!anvil::isOk(Outcome)) {
    std::cerr << "anvil-standin: " << anvil::errorOf(Outcome).describe()
              << "\n";
    return 1;
  }
  boost::asio::signal_set Signals(Loop, SIGTERM, SIGINT);
  Signals.async_wait([&](auto, int) { Loop.stop(); });
  Loop.run();
  return 0;
}

/// Runs a stand-in on a port; 0 lets the system choose one.
template <class Standin>
static int serve(boost::asio::io_context &Loop, Standin &Server,
                 const std::string &ReadyPath, std::uint16_t Port = 0) {
  anvil::Status Outcome = Server.listen({"127.0.0.1", Port});
  return runUntilSignal(Loop, Outcome, {{"port", Server.port()}}, ReadyPath);
}

/// Runs a target behind a `FramingProxy`.
static int serveFramed(boost::asio::io_context &Loop,
                       anvil::RegisteredTargetStandin &Server,
                       const std::string &ReadyPath, std::uint16_t Port,
                       std::uint64_t Seed) {
  anvil::FramingProxy Proxy(Loop.get_executor(), Seed);
  anvil::Status Outcome = Server.listen({"127.0.0.1", 0});
  if (anvil::isOk(Outcome))
    Outcome = Proxy.listen({"127.0.0.1", Port}, Server.port());
  return runUntilSignal(Loop, Outcome, {{"port", Proxy.port()}}, ReadyPath);
}

int main(int Count, char **Arguments) {
  anvil::EngineBehaviour Behaviour;
  options::options_description Options("Options of anvil-standin");
  auto Add = Options.add_options();
  Add("help", "show this text");
  Add("kind", options::value<std::string>()->required(),
      "platform, engine, service, weight-store, proxy, row-store, "
      "registered-target or unframed-target");
  Add("id", options::value<std::string>()->default_value("target-1"),
      "the id of a registered target");
  anvil::TargetProcess Process;
  Add("software", options::value(&Process.Software_),
      "the software version that a registered target names in its events");
  Add("born", options::value(&Process.Born_),
      "the start time that a registered target reports");
  anvil::UnframedAnswers Unframed;
  Add("parts", options::value(&Unframed.Parts_),
      "the number of events or parts of an unframed target's answer");
  Add("part-ms", options::value(&Unframed.PartMs_),
      "the time after each of these");
  Add("ends-after-answer", options::bool_switch(&Unframed.EndsAfterAnswer_),
      "whether an unframed target exits after its first answer");
  Add("stops-after-answer", options::bool_switch(&Unframed.StopsAfterAnswer_),
      "whether an unframed target stops itself after each answer");
  Add("framing-seed", options::value<std::uint64_t>(),
      "draws the framing of each answer of a registered target");
  std::uint16_t Port = 0;
  Add("port", options::value(&Port), "the port of a registered target");
  Add("records", options::value<std::string>(),
      "the file in which a registered target keeps its records");
  Add("ready-file", options::value<std::string>()->required(),
      "write the ports to this file");
  Add("adapter-slots", options::value(&Behaviour.AdapterSlots_),
      "number of adapters that an engine can hold");
  Add("request-slots", options::value(&Behaviour.RequestSlots_),
      "number of requests that an engine runs at once");
  Add("token-ms", options::value(&Behaviour.TokenMs_), "time per token");
  Add("load-ms", options::value(&Behaviour.LoadMs_), "time per adapter load");
  Add("batch-percent", options::value(&Behaviour.BatchPercent_),
      "additional time per token, in percent, for each further request");
  Add("store", options::value(&Behaviour.Store_),
      "address:port of the weight store that an engine loads from");
  anvil::WeightStoreLimits Limits;
  Add("loads-per-second", options::value(&Limits.LoadsPerSecond_),
      "rate limit of a weight store");
  Add("concurrent-loads", options::value(&Limits.ConcurrentLoads_),
      "concurrent loads of a weight store");
  Add("in-transit", options::value(&Limits.FullRateTransfers_),
      "number of transfers beyond which a weight store slows down");
  Add("checks-fencing", options::value(&Behaviour.ChecksFencing_),
      "whether an engine refuses outdated fencing tokens");
  std::vector<std::string> Links;
  Add("link", options::value(&Links),
      "name of a link of the proxy; repeatable");
  options::variables_map Variables;
  try {
    options::store(options::parse_command_line(Count, Arguments, Options),
                   Variables);
    if (Variables.count("help")) {
      std::cout << Options;
      return 0;
    }
    options::notify(Variables);
  } catch (const options::error &Failure) {
    std::cerr << "anvil-standin: " << Failure.what() << "\n";
    return 2;
  }
  boost::asio::io_context Loop(1);
  auto Kind = Variables["kind"].as<std::string>();
  auto ReadyPath = Variables["ready-file"].as<std::string>();
  if (Kind == "platform") {
    anvil::PlatformStandin Server(Loop.get_executor());
    return serve(Loop, Server, ReadyPath);
  }
  if (Kind == "engine") {
    anvil::EngineStandin Server(Loop.get_executor(), Behaviour);
    return serve(Loop, Server, ReadyPath);
  }
  if (Kind == "weight-store") {
    anvil::WeightStoreStandin Server(Loop.get_executor(), Limits);
    return serve(Loop, Server, ReadyPath);
  }
  if (Kind == "service") {
    anvil::ServiceStandin Server(Loop.get_executor());
    return serve(Loop, Server, ReadyPath);
  }
  if (Kind == "row-store") {
    anvil::RowStoreStandin Server(Loop.get_executor());
    return serve(Loop, Server, ReadyPath);
  }
  if (Kind == "registered-target") {
    bool IsFramed = Variables.count("framing-seed") > 0;
    Process.NamesLength_ = IsFramed;
    anvil::RegisteredTargetStandin Server(Loop.get_executor(),
                                          Variables["id"].as<std::string>(),
                                          std::move(Process));
    if (Variables.count("records"))
      Server.keepRecords(Variables["records"].as<std::string>());
    if (IsFramed)
      return serveFramed(Loop, Server, ReadyPath, Port,
                         Variables["framing-seed"].as<std::uint64_t>());
    return serve(Loop, Server, ReadyPath, Port);
  }
  if (Kind == "unframed-target") {
    Unframed.Id_ = Variables["id"].as<std::string>();
    Unframed.Born_ = Process.Born_;
    anvil::UnframedTarget Server(Loop.get_executor(), Unframed);
    return serve(Loop, Server, ReadyPath, Port);
  }
  if (Kind == "proxy") {
    anvil::FaultProxy Proxy(Loop.get_executor(), Links);
    anvil::Status Outcome = Proxy.listen();
    return runUntilSignal(Loop, Outcome, Proxy.ports(), ReadyPath);
  }
  std::cerr << "anvil-standin: unknown kind " << Kind << "\n";
  return 2;
}
