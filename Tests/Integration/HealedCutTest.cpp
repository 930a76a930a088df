// Guards against CONFIG: once a data centre's cut has healed, its targets are
// not used, or its VM serves an old configuration, so that routes which are
// added later are not served when the other targets have left.

#include "Integration/EntryFleet.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace anvil;

/// For how long a data centre is cut, and after which silence the store removes
/// a target's entry.
static constexpr Millis CutTime{5200};
static constexpr Millis Silence{3600};

/// Cuts a VM and the targets of its data centre from the store, and the targets
/// from all VMs as well: their connections fall silent.
static void cutAndHeal(EntryFleet &System, const std::string &Number) {
  std::vector<std::string> Targets{"plain-" + Number, "engine-" + Number};
  System.setStoreLink("vm-" + Number, "cut");
  for (const std::string &Target : Targets)
    System.at(Target).signal(SIGSTOP);
  std::this_thread::sleep_for(Silence);
  for (const std::string &Target : Targets)
    System.removeTargetEntry(Target);
  std::this_thread::sleep_for(CutTime - Silence);
  for (const std::string &Target : Targets)
    System.at(Target).signal(SIGCONT);
  System.setStoreLink("vm-" + Number, "pass");
  for (const std::string &Target : Targets)
    System.writeTargetEntry(Target, "ready");
  std::this_thread::sleep_for(Millis(2800));
}

TEST_CASE("routes that are added after a healed cut are served",
          "[healed-cut]") {
  EntryFleetPlan Plan;
  Plan.TwoDataCentres_ = true;
  EntryFleet System(Plan);
  auto IsServed = [&](const std::string &Vm, const std::string &Path) {
    return System.call(Vm, Path, {{"X-Model", "base"}}).Status_ == 200;
  };
  std::atomic<bool> IsEnding = false;
  // Requests all along, so that the VMs see what the cut does to targets.
  std::thread Load([&] {
    while (!IsEnding)
      for (const char *Vm : {"vm-1", "vm-2"})
        for (const char *Path : {"/safe/x", "/stream/resumable/x"}) {
          System.call(Vm, Path,
                      {{"X-Model", "base"}, {"X-Request-Deadline", "300"}});
          std::this_thread::sleep_for(Millis(20));
        }
  });
  SECTION("in one data centre") { cutAndHeal(System, "2"); }
  SECTION("in both data centres, one after the other") {
    cutAndHeal(System, "1");
    cutAndHeal(System, "2");
  }
  IsEnding = true;
  Load.join();
  for (const char *Target : {"plain-1", "engine-1"})
    System.writeTargetEntry(Target, "draining");
  std::this_thread::sleep_for(Millis(2000));
  for (const char *Target : {"plain-1", "engine-1"})
    System.removeTargetEntry(Target);
  for (const char *Target : {"plain-1", "engine-1"})
    System.at(Target).kill();
  System.configure(2, {"good-key"}, {"/added/"});
  std::this_thread::sleep_for(Millis(2000));
  System.configure(3, {"good-key"}, {"/added/", "/late/"});
  std::this_thread::sleep_for(Millis(2000));
  for (const char *Vm : {"vm-1", "vm-2"})
    for (const char *Path : {"/added/x", "/late/x", "/safe/x", "/once/x",
                             "/stream/x", "/stream/resumable/x"})
      for (int Index = 0; Index < 5; ++Index) {
        INFO(Vm << " " << Path);
        CHECK(IsServed(Vm, Path));
      }
}
