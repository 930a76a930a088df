#include "Integration/EntryFleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace anvil;
using nlohmann::json;

static std::string wholeStream() {
  std::string Text;
  for (int Event = 1; Event <= 20; ++Event) {
    std::string Number = std::to_string(Event);
    Text += "id: " + Number + "\ndata: word " + Number + "\n\n";
  }
  return Text;
}

TEST_CASE("entry VMs serve routes on registered targets", "[entry-mode]") {
  EntryFleet System;

  SECTION("a request goes to a target as the caller sent it, without its key") {
    Answer Given = System.call("vm-1", "/safe/x?y=1",
                               {{"X-Request-Id", "a"}, {"X-Tenant", "other"}});
    REQUIRE(Given.Status_ == 200);
    REQUIRE(Given.Headers_["x-server-seal"].starts_with("seal-of-plain"));
    auto Runs = System.records("run");
    auto Run = std::ranges::find_if(Runs, [](const json &Seen) {
      return Seen["headers"]["x-request-id"] == "a";
    });
    REQUIRE(Run != Runs.end());
    CHECK((*Run)["target"] == "/safe/x?y=1");
    CHECK((*Run)["headers"]["x-tenant"] == "serenas");
    CHECK_FALSE((*Run)["headers"].contains("authorization"));
    CHECK((*Run)["headers"]["host"] == "anvil");
  }

  SECTION("unknown routes and keys are refused and run nowhere") {
    CHECK(System.call("vm-1", "/nowhere/").Status_ == 404);
    CHECK(System
              .call("vm-1", "/safe/x",
                    {{"Authorization", "Token bad"}, {"X-Request-Id", "k"}})
              .Status_ == 401);
    CHECK(System.runsOf("k") == 0);
  }

  SECTION("an adapter is loaded when a request first names it") {
    Answer Given = System.call(
        "vm-2", "/stream/x", {{"X-Model", "base/new"}, {"X-Request-Id", "n"}});
    REQUIRE(Given.Status_ == 200);
    CHECK(Given.Body_ == wholeStream());
    CHECK(Given.Whole_);
    auto Orders = System.records("order");
    bool WasOrdered = std::ranges::any_of(Orders, [](const json &Order) {
      return Order["body"]["Adapter"] == "new";
    });
    CHECK(WasOrdered);
  }

  SECTION("orders to one engine come from one VM") {
    for (int Index = 0; Index < 8; ++Index)
      System.call(Index % 2 ? "vm-1" : "vm-2", "/stream/x",
                  {{"X-Model", "base/a" + std::to_string(Index)}});
    for (const char *Engine : {"engine-1", "engine-2"}) {
      json Seen =
          sendJson(System.at(Engine).port(), "GET", "/records", json::object())
              .json();
      std::set<std::string> Holders;
      for (const json &Item : Seen)
        if (Item["event"] == "order")
          Holders.insert(Item["body"]["Holder"].get<std::string>());
      CHECK(Holders.size() <= 1);
    }
  }

  SECTION("a failed request is tried elsewhere if it may be repeated") {
    // A VM that has just started earns its second tries by first ones.
    for (int Index = 0; Index < 12; ++Index)
      REQUIRE(System.call("vm-1", "/safe/x").Status_ == 200);
    for (const char *Target : {"plain-1", "plain-2"})
      System.control(Target, {{"fail", 1}});
    Answer Given = System.call("vm-1", "/safe/x", {{"X-Request-Id", "r"}});
    CHECK(System.runsOf("r") == 2);
    // Both failed once; the second failure is the answer.
    CHECK(Given.Status_ == 500);
    CHECK(Given.Headers_.contains("x-server-seal"));
  }

  SECTION("one that may not be repeated runs once") {
    for (const char *Target : {"plain-1", "plain-2"})
      System.control(Target, {{"drop", 1}});
    Answer Given = System.call("vm-1", "/once/x", {{"X-Request-Id", "o"}});
    CHECK(Given.Status_ == 502);
    CHECK(System.runsOf("o") == 1);
    SECTION("and is never called not run without the target's promise") {
      for (const char *Target : {"plain-1", "plain-2"})
        System.control(Target, {{"drop", 0}, {"unsealed", 1}});
      Answer Next = System.call("vm-1", "/once/x", {{"X-Request-Id", "u"}});
      CHECK(Next.Status_ == 502);
      CHECK(System.runsOf("u") == 1);
    }
    SECTION("but goes elsewhere from a target that did not run it") {
      for (const char *Target : {"plain-1", "plain-2"})
        System.control(Target, {{"drop", 0}, {"refuse", 1}});
      Answer Next = System.call("vm-1", "/once/x", {{"X-Request-Id", "p"}});
      CHECK(System.runsOf("p") == (Next.Status_ == 200 ? 1 : 0));
      CHECK((Next.Status_ == 200 || Next.Status_ == 503));
    }
  }

  SECTION("a stream that breaks off") {
    SECTION("goes on at another target where it may") {
      // Enough first tries to earn the second one.
      for (int Index = 0; Index < 12; ++Index)
        System.call("vm-1", "/stream/x", {{"X-Model", "base/warm"}});
      for (const char *Target : {"engine-1", "engine-2"})
        System.control(Target, {{"cut_after", 7}});
      Answer Given = System.call("vm-1", "/stream/resumable/x",
                                 {{"X-Model", "base"}, {"X-Request-Id", "s"}});
      CHECK(Given.Status_ == 200);
      // The second target has passed its own cut already.
      CHECK(System.runsOf("s") == 2);
    }
    SECTION("never looks complete where it may not") {
      for (const char *Target : {"engine-1", "engine-2"})
        System.control(Target, {{"cut_after", 7}});
      Answer Given = System.call("vm-1", "/stream/x",
                                 {{"X-Model", "base"}, {"X-Request-Id", "s"}});
      CHECK_FALSE(Given.Whole_);
      CHECK(System.runsOf("s") == 1);
    }
  }

  SECTION("a withdrawn key stops working on both VMs") {
    System.configure(2, {"other-key"});
    for (const char *Vm : {"vm-1", "vm-2"})
      CHECK(
          eventually([&] { return System.call(Vm, "/safe/x").Status_ == 401; },
                     Millis(5000)));
  }

  SECTION("without the store keyed requests are refused before a key could "
          "have been withdrawn for longer than the bound") {
    System.control("store", {{"down", true}});
    CHECK(System.call("vm-1", "/safe/x").Status_ == 200);
    CHECK(eventually(
        [&] { return System.call("vm-1", "/safe/x").Status_ == 503; },
        Millis(5000)));
    SECTION("and served again when it is back") {
      System.control("store", {{"down", false}});
      CHECK(eventually(
          [&] { return System.call("vm-1", "/safe/x").Status_ == 200; },
          Millis(5000)));
    }
  }

  SECTION("a target that leaves gets no new requests") {
    System.list("plain-1", "draining");
    CHECK(eventually(
        [&] {
          for (int Index = 0; Index < 6; ++Index) {
            Answer Given = System.call("vm-1", "/safe/x");
            if (Given.Headers_["x-server-seal"] != "seal-of-plain-2")
              return false;
          }
          return true;
        },
        Millis(5000)));
  }

  SECTION("a VM that is told to stop finishes its streams") {
    for (const char *Target : {"engine-1", "engine-2"})
      System.control(Target, {{"event_ms", 60}});
    CallerConnection Caller(System.callerPort("vm-1"));
    Caller.send(System.request("/stream/x", {{"X-Model", "base"}}));
    REQUIRE(Caller.readUntil("word 2", Millis(5000)));
    System.at("vm-1").signal(SIGTERM);
    Answer Given = Caller.finish(Millis(10000));
    CHECK(Given.Whole_);
    CHECK(Given.Body_ == wholeStream());
    CHECK(System.at("vm-1").exitStatus(Millis(10000)) == 0);
  }

  SECTION("the cause of a failure is found from the request's id") {
    SECTION("for a refusal") {
      System.call("vm-1", "/safe/x",
                  {{"Authorization", "Token bad"}, {"X-Request-Id", "why-1"}});
      CHECK(System.explain("why-1").find("the key is not known") !=
            std::string::npos);
    }
    SECTION("for a broken end") {
      for (const char *Target : {"plain-1", "plain-2"})
        System.control(Target, {{"drop", 1}});
      System.call("vm-1", "/once/x", {{"X-Request-Id", "why-2"}});
      std::string Text = System.explain("why-2");
      INFO(Text);
      CHECK(Text.find("the target closed the connection without an answer") !=
            std::string::npos);
    }
    SECTION("for a late stream") {
      for (const char *Target : {"engine-1", "engine-2"})
        System.control(Target, {{"event_ms", 120}});
      System.call("vm-1", "/stream/x",
                  {{"X-Model", "base"}, {"X-Request-Id", "why-3"}});
      for (const char *Target : {"engine-1", "engine-2"})
        System.control(Target, {{"event_ms", 400}});
      System.call("vm-1", "/stream/x",
                  {{"X-Model", "base"}, {"X-Request-Id", "why-4"}});
      std::string Text = System.explain("why-4");
      INFO(Text);
      CHECK(Text.find("longest pause of its stream") != std::string::npos);
    }
  }
}

TEST_CASE("an entry VM that is cut from the store", "[entry-cut]") {
  EntryFleet System;
  // Either may be the one that reads for both.
  auto Cut = GENERATE(as<std::string>{}, "vm-1", "vm-2");
  INFO(Cut);
  auto StatusOf = [&] { return System.call(Cut, "/safe/x").Status_; };
  System.storeLink(Cut, "cut");
  // Longer than the bound on withdrawn keys.
  eventually([] { return false; }, Millis(4000));

  SECTION("goes on with what the other one reads") {
    CHECK(StatusOf() == 200);
    SECTION("and sees targets leave") {
      System.list("plain-1", "draining");
      CHECK(eventually(
          [&] {
            for (int Index = 0; Index < 6; ++Index)
              if (System.call(Cut, "/safe/x").Headers_["x-server-seal"] !=
                  "seal-of-plain-2")
                return false;
            return true;
          },
          Millis(5000)));
    }
  }
  SECTION("takes a new configuration from the other one") {
    System.configure(2, {"other-key"});
    CHECK(eventually([&] { return StatusOf() == 401; }, Millis(5000)));
    auto WithNewKey = [&] {
      return System.call(Cut, "/safe/x", {{"Authorization", "Token other-key"}})
          .Status_;
    };
    CHECK(WithNewKey() == 200);
    SECTION("and goes on with it for longer than keys may stay unconfirmed") {
      eventually([] { return false; }, Millis(4000));
      CHECK(WithNewKey() == 200);
    }
  }
  SECTION("refuses keys once the other one is cut as well") {
    System.storeLink(Cut == "vm-1" ? "vm-2" : "vm-1", "cut");
    CHECK(eventually([&] { return StatusOf() == 503; }, Millis(6000)));
    SECTION("until it reads the configuration") {
      System.storeLink(Cut, "pass");
      CHECK(eventually([&] { return StatusOf() == 200; }, Millis(5000)));
    }
  }
}
