#include "Integration/BrokenStreams.h"

#include <catch2/catch.hpp>

namespace anvil {

using nlohmann::json;

static const std::string Path = "/stream/resumable/x";

BrokenStreams::BrokenStreams(EntryFleetPlan Plan,
                             const std::string &FirstVersion,
                             const std::string &SecondVersion)
    : System_(std::move(Plan)) {
  System_.writeSoftwareVersion("engine-1", FirstVersion);
  System_.writeSoftwareVersion("engine-2", SecondVersion);
}

CallerReply
BrokenStreams::call(const std::string &Vm, const std::string &Id,
                    std::vector<std::pair<std::string, std::string>> Headers) {
  Headers.emplace_back("X-Model", "base");
  Headers.emplace_back("X-Request-Id", Id);
  return System_.call(Vm, Path, std::move(Headers));
}

void BrokenStreams::settle(const std::string &Vm) {
  int Served = 0;
  REQUIRE(eventually(
      [&] {
        Served += call(Vm, "settle-" + Vm).Complete_ ? 1 : 0;
        return Served >= 25;
      },
      Millis(20000)));
}

std::string BrokenStreams::begin(const std::string &Vm, const std::string &Id) {
  CallerConnection Caller(System_.callerPort(Vm));
  Caller.send(
      System_.request(Path, {{"X-Model", "base"}, {"X-Request-Id", Id}}));
  REQUIRE(Caller.readUntil("word 3\n", Millis(5000)));
  return sealOf(Caller.partialReply());
}

std::set<std::string> BrokenStreams::enginesOf(const std::string &Id) {
  std::set<std::string> Engines;
  for (const std::string Engine : {"engine-1", "engine-2"})
    for (const json &Item :
         sendJson(System_.at(Engine).port(), "GET", "/records", json::object())
             .json())
      if (Item["event"] == "run" && Item["headers"]["x-request-id"] == Id)
        Engines.insert(Engine);
  return Engines;
}

CallerReply BrokenStreams::takeUp(const std::string &Vm,
                                  const std::string &Id) {
  return call(Vm, Id + "-again", {{"Last-Event-Id", "3"}, {"Resumes", Id}});
}

std::string BrokenStreams::sealOf(const CallerReply &Reply) {
  auto Seal = Reply.Headers_.find("x-server-seal");
  return Seal == Reply.Headers_.end() ? "" : Seal->second;
}

} // namespace anvil
