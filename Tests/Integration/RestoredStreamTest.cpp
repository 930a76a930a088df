#include "Integration/BrokenStreams.h"

#include <catch2/catch.hpp>

#include <map>
#include <thread>

using namespace anvil;

/// The contact time of the users' rules. From then on VMs are in touch again.
static constexpr Millis ContactTime(3000);

/// VMs send each other copies of what they remember each 250 ms.
static constexpr Millis CopyTime(500);

/// Lets the store's copy be made and twelve streams begin at the VMs in turn.
/// Returns the seals of the engines that began them.
static std::map<std::string, std::string>
copyAndBegin(BrokenStreams &Streams, const std::vector<std::string> &Vms) {
  std::map<std::string, std::string> Began;
  Streams.system().control("store", {{"copy", true}});
  for (std::size_t Index = 0; Index < 12; ++Index) {
    std::string Id = "stream-" + std::to_string(Index);
    Began[Id] = Streams.begin(Vms[Index % Vms.size()], Id);
  }
  return Began;
}

/// Lets streams begin at `vm-1`, and the store come back from the copy that was
/// made before.
static std::map<std::string, std::string>
beginAndRestore(BrokenStreams &Streams, bool IsVmKilled) {
  auto Began = copyAndBegin(Streams, {"vm-1"});
  std::this_thread::sleep_for(CopyTime);
  Streams.system().control("store", {{"down", true}});
  if (IsVmKilled)
    Streams.system().at("vm-1").kill();
  std::this_thread::sleep_for(Millis(500));
  Streams.system().control("store", {{"down", false}, {"restore", true}});
  std::this_thread::sleep_for(ContactTime);
  return Began;
}

// Guards against LOST: no stream from before a restore of the store can be
// taken up, since the new era has no baseline and what VMs wrote is gone.
TEST_CASE("streams go on after the store came back from an older copy",
          "[restored-stream]") {
  EntryFleetPlan Plan;
  Plan.HasStoreEra_ = true;

  SECTION("where all engines have one software version") {
    // At another VM than the one that began them, also if that was killed.
    bool IsVmKilled = GENERATE(false, true);
    BrokenStreams Streams(Plan, "v1", "v1");
    Streams.settle("vm-1");
    Streams.settle("vm-2");
    for (const auto &[Id, Engine] : beginAndRestore(Streams, IsVmKilled)) {
      CallerReply Rest = Streams.takeUp("vm-2", Id);
      INFO(Id << ", VM killed " << IsVmKilled);
      CHECK(Rest.Status_ == 200);
      CHECK(Rest.Body_ == standinEvents(4, 20));
    }
  }
  SECTION("where engines have two versions") {
    BrokenStreams Streams(Plan);
    Streams.settle("vm-1");
    Streams.settle("vm-2");
    SECTION("at the version that began each, also if their VM was killed") {
      bool IsVmKilled = GENERATE(false, true);
      for (const auto &[Id, Engine] : beginAndRestore(Streams, IsVmKilled)) {
        CallerReply Rest = Streams.takeUp("vm-2", Id);
        INFO(Id << " began at " << Engine << ", VM killed " << IsVmKilled);
        CHECK(Rest.Status_ == 200);
        CHECK(BrokenStreams::sealOf(Rest) == Engine);
        CHECK(Rest.Body_ == standinEvents(4, 20));
      }
    }
    SECTION("and at no other one if no VM knows it") {
      auto Began = copyAndBegin(Streams, {"vm-2", "vm-1"});
      Streams.system().control("store", {{"down", true}});
      Streams.system().restartTogether({"vm-1", "vm-2"});
      Streams.system().control("store", {{"down", false}, {"restore", true}});
      std::this_thread::sleep_for(ContactTime);
      for (const auto &[Id, Engine] : Began) {
        CallerReply Rest = Streams.takeUp("vm-2", Id);
        INFO(Id << " began at " << Engine);
        if (Rest.Status_ == 200)
          CHECK(BrokenStreams::sealOf(Rest) == Engine);
        else
          CHECK(Streams.enginesOf(Id + "-again").empty());
      }
    }
  }
}
