#include "Integration/RequestLoad.h"
#include "Kernel/Clock.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace anvil;
using nlohmann::json;

static void setHeader(EntryFleet &System, const std::string &Target,
                      const std::string &Name, const std::string &Value) {
  json Header = json::array({Name, Value});
  System.control(Target, {{"headers", json::array({Header})}});
}

/// Sends requests through a VM until it has forwarded a reply with this seal.
/// Returns the time of that in microseconds of the boot clock.
static std::int64_t waitForReplyWithSeal(EntryFleet &System,
                                         const std::string &Vm,
                                         const std::string &Seal) {
  bool Forwarded = eventually(
      [&] {
        return System.call(Vm, "/safe/x").Headers_["x-server-seal"] == Seal;
      },
      Millis(10000));
  REQUIRE(Forwarded);
  return BootClock::now().time_since_epoch().count();
}

static std::size_t arrivalsBetween(EntryFleet &System,
                                   const std::string &Target, std::int64_t From,
                                   std::int64_t Until) {
  auto Times = arrivalTimes(System, Target);
  return static_cast<std::size_t>(std::ranges::count_if(
      Times, [&](std::int64_t At) { return At >= From && At < Until; }));
}

TEST_CASE("a VM sends nothing to a target after forwarding its leaving header",
          "[target-words]") {
  EntryFleet System;
  setHeader(System, "plain-1", "Server-Leaving", "1");
  std::int64_t ForwardedAt =
      waitForReplyWithSeal(System, "vm-1", "seal-of-plain-1");
  // The VM must stop sending within two seconds; nothing else delays it here.
  RequestLoad Load(System, "/safe/x", {}, 4);
  std::this_thread::sleep_for(Millis(2500));
  auto Replies = Load.finish();
  CHECK(arrivalsBetween(System, "plain-1", ForwardedAt + 2000000, INT64_MAX) ==
        0);
  CHECK(std::ranges::all_of(
      Replies, [](const auto &Entry) { return Entry.second.Status_ == 200; }));
  SECTION("until the target registers a new incarnation") {
    setHeader(System, "plain-1", "Server-Leaving", "0");
    System.writeTargetEntry("plain-1", "ready", 1700000000001);
    waitForReplyWithSeal(System, "vm-1", "seal-of-plain-1");
  }
}

TEST_CASE("a target with Retry-After gets no requests until that time",
          "[target-words]") {
  EntryFleet System;
  constexpr std::int64_t RetryAfterUs = 3000000;
  SECTION("while another target serves") {
    RequestLoad Load(System, "/safe/x", {}, 6);
    // First attempts earn the budget for retries.
    std::this_thread::sleep_for(Millis(1000));
    System.control(
        "plain-1",
        {{"refuse", 1000},
         {"headers", json::array({json::array({"Retry-After", "3"})})}});
    std::this_thread::sleep_for(Millis(4500));
    auto Replies = Load.finish();
    auto Times = arrivalTimes(System, "plain-1");
    auto Refused = System.records("refusal");
    REQUIRE_FALSE(Refused.empty());
    auto FirstAt = Refused.front()["at_us"].get<std::int64_t>();
    // Each of the two VMs may have two requests under way to it.
    CHECK(arrivalsBetween(System, "plain-1", FirstAt + 500000,
                          FirstAt + RetryAfterUs) <= 4);
    CHECK(arrivalsBetween(System, "plain-1", FirstAt + RetryAfterUs,
                          INT64_MAX) > 0);
    CHECK(std::ranges::all_of(Replies, [](const auto &Entry) {
      return Entry.second.Status_ == 200;
    }));
  }
  SECTION("and callers get the Retry-After if no other target is left") {
    for (const char *Target : {"plain-1", "plain-2"})
      System.control(
          Target,
          {{"refuse", 1000},
           {"headers", json::array({json::array({"Retry-After", "30"})})}});
    bool HasRetryAfter = eventually(
        [&] {
          CallerReply Reply = System.call("vm-1", "/safe/x");
          return Reply.Status_ == 503 &&
                 std::stod(Reply.Headers_["retry-after"]) > 20;
        },
        Millis(5000));
    CHECK(HasRetryAfter);
  }
}
