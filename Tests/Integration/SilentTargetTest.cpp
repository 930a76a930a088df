#include "Integration/RequestLoad.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <map>
#include <vector>

using namespace anvil;

/// For how long sound targets may say nothing.
static constexpr Millis Silence{1500};

// Guards against targets that are taken for crashed since they say nothing for
// a while, as under a long pause of their process: their system goes on to
// accept connections and to acknowledge bytes.
TEST_CASE("targets that are silent for a while are sound", "[silent-target]") {
  EntryFleet System;
  RequestLoad Safe(System, "/safe/x", {}, 4);
  RequestLoad Once(System, "/once/x", {}, 4);
  RequestLoad Streams(System, "/stream/x", {{"X-Model", "base"}}, 4);
  std::this_thread::sleep_for(Millis(1000));
  for (int Round = 0; Round < 2; ++Round) {
    for (const std::string &Target : EntryTargets)
      System.at(Target).signal(SIGSTOP);
    std::this_thread::sleep_for(Silence);
    for (const std::string &Target : EntryTargets)
      System.at(Target).signal(SIGCONT);
    std::this_thread::sleep_for(Millis(2000));
  }
  std::vector<std::map<std::string, CallerReply>> Replies;
  for (RequestLoad *Load : {&Safe, &Once, &Streams})
    Replies.push_back(Load->finish());
  std::map<std::string, int> Runs;
  for (const nlohmann::json &Run : System.records("run"))
    ++Runs[Run["headers"]["x-request-id"]];
  std::size_t Count = 0;
  for (const auto &OfLoad : Replies)
    for (const auto &[Id, Reply] : OfLoad) {
      ++Count;
      INFO(Id << " " << Reply.Status_);
      CHECK(Reply.Status_ == 200);
      CHECK(Reply.Complete_);
      CHECK(Runs[Id] == 1);
    }
  CHECK(Count > 100);
  for (const std::string &Vm : System.vms())
    for (const char *Event : {"target_lost", "target_crashed",
                              "request_quarantined", "part_quarantined"}) {
      INFO(Vm << " " << Event);
      CHECK(System.at(Vm).log().find("\"event\":\"" + std::string(Event) +
                                     "\"") == std::string::npos);
    }
}
