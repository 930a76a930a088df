#include "Integration/SingleVm.h"

#include <catch2/catch.hpp>

#include <filesystem>

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace anvil;

static constexpr Millis StepTimeout{15000};

static bool logs(const Process &Vm, const std::string &Event) {
  return Vm.log().find("\"event\":\"" + Event + "\"") != std::string::npos;
}

static void checkStopsInOrder(Process &Vm) {
  CHECK_FALSE(Vm.exitedUnexpectedly());
  INFO(Vm.exitDescription());
  Vm.signal(SIGTERM);
  CHECK(Vm.exitStatus(StepTimeout) == 0);
}

// Guards against FAULT: a signal, a closed pipe or an address that is still in
// use ends a VM.
TEST_CASE("a VM isn't ended by its surroundings", "[process-start]") {
  VmMode Mode = GENERATE(VmMode::Entry, VmMode::Standalone);
  INFO("mode " << (Mode == VmMode::Entry ? "entry" : "standalone"));
  SingleVm Place(Mode);
  ProcessStart Unawaited;
  Unawaited.AwaitReady_ = false;

  SECTION("when signals arrive while it starts") {
    Place.holdSettings();
    auto Vm = Place.start(Unawaited);
    CHECK(eventually([&] { return Vm->ownsSignals(); }, Millis(2000)));

    SECTION("SIGHUP and SIGPIPE: it reloads once it runs") {
      Vm->signal(SIGHUP);
      Vm->signal(SIGPIPE);
      Place.writeSettings();
      Vm->awaitReady();
      CHECK(eventually([&] { return logs(*Vm, "reloaded"); }, StepTimeout));
      checkStopsInOrder(*Vm);
    }

    SECTION("SIGTERM: it stops in order") {
      Vm->signal(SIGTERM);
      Place.writeSettings();
      CHECK(Vm->exitStatus(StepTimeout) == 0);
    }
  }

  SECTION("when the reader of its log ends") {
    int Pipe[2];
    REQUIRE(::pipe2(Pipe, O_CLOEXEC) == 0);
    ProcessStart Options;
    Options.Output_ = Pipe[1];
    auto Vm = Place.start(Options);
    ::close(Pipe[0]);
    ::close(Pipe[1]);
    for (int Index = 0; Index < 20; ++Index) {
      Vm->signal(SIGHUP);
      ::usleep(10000);
    }
    checkStopsInOrder(*Vm);
  }

  SECTION("when it starts without standard files, whose numbers no socket "
          "gets") {
    ProcessStart Options;
    Options.WithoutStandardFiles_ = true;
    auto Vm = Place.start(Options);
    for (int Standard : {0, 1, 2})
      CHECK(Vm->descriptorTarget(Standard) == "/dev/null");
    checkStopsInOrder(*Vm);
  }

  SECTION("when an address is in use") {
    auto [Name, Kind] = GENERATE(table<std::string, int>({
        {"caller", SOCK_STREAM},
        {"ready", SOCK_STREAM},
        {"peer", SOCK_STREAM},
        {"peer", SOCK_DGRAM},
    }));
    bool IsUsed = Kind == SOCK_STREAM || Mode == VmMode::Entry;
    if (IsUsed) {
      INFO(Name << (Kind == SOCK_DGRAM ? " by UDP" : " by TCP"));
      auto Holder = std::make_unique<HeldAddress>(Place.address(),
                                                  Place.port(Name), Kind);
      auto Vm = Place.start(Unawaited);
      CHECK(eventually([&] { return logs(*Vm, "start_waits"); }, StepTimeout));
      CHECK_FALSE(Vm->exitedUnexpectedly());

      SECTION("until it is free") {
        Holder.reset();
        Vm->awaitReady();
        checkStopsInOrder(*Vm);
      }

      SECTION("until SIGTERM arrives") { checkStopsInOrder(*Vm); }
    }
  }

  SECTION("when an address is in use for longer than a VM may take to stop: "
          "only then the start fails") {
    HeldAddress Holder(Place.address(), Place.port("caller"), SOCK_STREAM);
    auto Vm = Place.start(Unawaited);
    CHECK_FALSE(Vm->exitStatus(Millis(3000)).has_value());
    CHECK(Vm->exitStatus(StepTimeout) == 1);
  }

  SECTION("when the ready file can't be written at first") {
    std::string Blocked = Place.directory() + "/vm-1.ready.part";
    std::filesystem::create_directory(Blocked);
    auto Vm = Place.start(Unawaited);
    CHECK(eventually([&] { return logs(*Vm, "start_not_reported"); },
                     StepTimeout));
    std::filesystem::remove(Blocked);
    Vm->awaitReady();
    checkStopsInOrder(*Vm);
  }

  SECTION("when SIGHUP finds a settings file that is no longer one") {
    auto Vm = Place.start();
    auto Reload = [&](const std::string &Text) {
      Place.writeSettingsText(Text);
      Vm->signal(SIGHUP);
      ::usleep(20000);
    };
    for (const char *Text : {"", "{", "null", "[]", "{\"mode\":7}", "\xff\xfe",
                             "{\"vm\":[],\"listen\":3}"})
      Reload(Text);
    std::filesystem::remove(Place.directory() + "/vm.json");
    Vm->signal(SIGHUP);
    ::usleep(20000);
    std::filesystem::create_directory(Place.directory() + "/vm.json");
    Vm->signal(SIGHUP);
    ::usleep(20000);
    std::filesystem::remove(Place.directory() + "/vm.json");
    Place.holdSettings();
    Vm->signal(SIGHUP);
    CHECK(eventually([&] { return logs(*Vm, "reload_failed"); }, StepTimeout));
    checkStopsInOrder(*Vm);
  }
}

TEST_CASE("an entry VM serves while the address of its metrics is in use",
          "[process-start]") {
  SingleVm Place(VmMode::Entry);
  auto Holder = std::make_unique<HeldAddress>(
      Place.address(), Place.port("metrics"), SOCK_STREAM);
  auto Vm = Place.start();
  CHECK(eventually([&] { return Place.isReady(); }, StepTimeout));
  CHECK(logs(*Vm, "metrics_unavailable"));
  Holder.reset();
  CHECK(eventually([&] { return Place.isOpen("metrics"); }, StepTimeout));
  checkStopsInOrder(*Vm);
}
