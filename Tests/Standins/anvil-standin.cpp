#include "Programs/ReadyFile.h"
#include "Standins/EngineStandin.h"
#include "Standins/PlatformStandin.h"
#include "Standins/ServiceStandin.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>

namespace options = boost::program_options;

/// Runs a stand-in that listens on a port of its own until a signal ends it.
template <class Standin>
static int serve(boost::asio::io_context &Loop, Standin &Server,
                 const std::string &ReadyPath) {
  anvil::Status Outcome = Server.listen({"127.0.0.1", 0});
  if (anvil::isOk(Outcome))
    Outcome = anvil::writeReadyFile(ReadyPath, {{"port", Server.port()}});
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

int main(int Count, char **Arguments) {
  anvil::EngineBehaviour Behaviour;
  options::options_description Known("Options of anvil-standin");
  auto Add = Known.add_options();
  Add("help", "show this text");
  Add("kind", options::value<std::string>()->required(),
      "platform, engine or service");
  Add("ready-file", options::value<std::string>()->required(),
      "write the port in use to this file");
  Add("adapter-slots", options::value(&Behaviour.AdapterSlots_),
      "adapters that an engine holds");
  Add("request-slots", options::value(&Behaviour.RequestSlots_),
      "requests that an engine runs at once");
  Add("token-ms", options::value(&Behaviour.TokenMs_), "time of one token");
  Add("load-ms", options::value(&Behaviour.LoadMs_), "time of one load");
  Add("checks-fencing", options::value(&Behaviour.ChecksFencing_),
      "whether an engine refuses old fencing numbers");
  options::variables_map Given;
  try {
    options::store(options::parse_command_line(Count, Arguments, Known), Given);
    if (Given.count("help")) {
      std::cout << Known;
      return 0;
    }
    options::notify(Given);
  } catch (const options::error &Problem) {
    std::cerr << "anvil-standin: " << Problem.what() << "\n";
    return 2;
  }
  boost::asio::io_context Loop(1);
  auto Kind = Given["kind"].as<std::string>();
  auto ReadyPath = Given["ready-file"].as<std::string>();
  if (Kind == "platform") {
    anvil::PlatformStandin Server(Loop.get_executor());
    return serve(Loop, Server, ReadyPath);
  }
  if (Kind == "engine") {
    anvil::EngineStandin Server(Loop.get_executor(), Behaviour);
    return serve(Loop, Server, ReadyPath);
  }
  if (Kind == "service") {
    anvil::ServiceStandin Server(Loop.get_executor());
    return serve(Loop, Server, ReadyPath);
  }
  std::cerr << "anvil-standin: there is no kind " << Kind << "\n";
  return 2;
}
