#include "Integration/EntryFleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace anvil;
using nlohmann::json;

static std::string completeStream() {
  std::string Text;
  for (int Event = 1; Event <= 20; ++Event) {
    std::string Number = std::to_string(Event);
    Text += "id: " + Number + "\ndata: word " + Number + "\n\n";
  }
  return Text;
}

TEST_CASE("entry VMs serve routes on registered targets", "[entry-mode]") {
  EntryFleet System;

  SECTION("a request reaches the target unchanged except for its key") {
    CallerReply Reply = System.call(
        "vm-1", "/safe/x?y=1", {{"X-Request-Id", "a"}, {"X-Tenant", "other"}});
    REQUIRE(Reply.Status_ == 200);
    REQUIRE(Reply.Headers_["x-server-seal"].starts_with("seal-of-plain"));
    auto Runs = System.records("run");
    auto Run = std::ranges::find_if(Runs, [](const json &Record) {
      return Record["headers"]["x-request-id"] == "a";
    });
    REQUIRE(Run != Runs.end());
    CHECK((*Run)["target"] == "/safe/x?y=1");
    CHECK((*Run)["headers"]["x-tenant"] == "serenas");
    CHECK_FALSE((*Run)["headers"].contains("authorization"));
    CHECK((*Run)["headers"]["host"] == "anvil");
  }

  SECTION("requests with unknown routes or keys are refused and do not run") {
    CHECK(System.call("vm-1", "/nowhere/").Status_ == 404);
    CHECK(System
              .call("vm-1", "/safe/x",
                    {{"Authorization", "Token bad"}, {"X-Request-Id", "k"}})
              .Status_ == 401);
    CHECK(System.runCount("k") == 0);
  }

  SECTION("an adapter is loaded when a request first names it") {
    CallerReply Reply = System.call(
        "vm-2", "/stream/x", {{"X-Model", "base/new"}, {"X-Request-Id", "n"}});
    REQUIRE(Reply.Status_ == 200);
    CHECK(Reply.Body_ == completeStream());
    CHECK(Reply.Complete_);
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
      json Records =
          sendJson(System.at(Engine).port(), "GET", "/records", json::object())
              .json();
      std::set<std::string> Holders;
      for (const json &Item : Records)
        if (Item["event"] == "order")
          Holders.insert(Item["body"]["Holder"].get<std::string>());
      CHECK(Holders.size() <= 1);
    }
  }

  SECTION("a failed repeatable request is retried on another target") {
    // A newly started VM has to earn its retry budget by first attempts.
    for (int Index = 0; Index < 12; ++Index)
      REQUIRE(System.call("vm-1", "/safe/x").Status_ == 200);
    for (const char *Target : {"plain-1", "plain-2"})
      System.control(Target, {{"fail", 1}});
    CallerReply Reply = System.call("vm-1", "/safe/x", {{"X-Request-Id", "r"}});
    CHECK(System.runCount("r") == 2);
    // Both targets failed once; the caller gets the second failure.
    CHECK(Reply.Status_ == 500);
    CHECK(Reply.Headers_.contains("x-server-seal"));
  }

  SECTION("a request that may not be repeated runs once") {
    for (const char *Target : {"plain-1", "plain-2"})
      System.control(Target, {{"drop", 1}});
    CallerReply Reply = System.call("vm-1", "/once/x", {{"X-Request-Id", "o"}});
    CHECK(Reply.Status_ == 502);
    CHECK(System.runCount("o") == 1);
    SECTION("and is reported as not run only if the target confirms it") {
      for (const char *Target : {"plain-1", "plain-2"})
        System.control(Target, {{"drop", 0}, {"unsealed", 1}});
      CallerReply Next =
          System.call("vm-1", "/once/x", {{"X-Request-Id", "u"}});
      CHECK(Next.Status_ == 502);
      CHECK(System.runCount("u") == 1);
    }
    SECTION("but goes to another target if the first did not run it") {
      for (const char *Target : {"plain-1", "plain-2"})
        System.control(Target, {{"drop", 0}, {"refuse", 1}});
      CallerReply Next =
          System.call("vm-1", "/once/x", {{"X-Request-Id", "p"}});
      CHECK(System.runCount("p") == (Next.Status_ == 200 ? 1 : 0));
      CHECK((Next.Status_ == 200 || Next.Status_ == 503));
    }
  }

  SECTION("a stream that breaks off") {
    SECTION("is resumed on another target if the route allows it") {
      // Enough first attempts to earn the retry.
      for (int Index = 0; Index < 12; ++Index)
        System.call("vm-1", "/stream/x", {{"X-Model", "base/warm"}});
      for (const char *Target : {"engine-1", "engine-2"})
        System.control(Target, {{"cut_after", 7}});
      CallerReply Reply =
          System.call("vm-1", "/stream/resumable/x",
                      {{"X-Model", "base"}, {"X-Request-Id", "s"}});
      CHECK(Reply.Status_ == 200);
      // The second target resumes beyond the event at which it would cut.
      CHECK(System.runCount("s") == 2);
    }
    SECTION("never looks complete if the route does not allow resuming") {
      for (const char *Target : {"engine-1", "engine-2"})
        System.control(Target, {{"cut_after", 7}});
      CallerReply Reply = System.call(
          "vm-1", "/stream/x", {{"X-Model", "base"}, {"X-Request-Id", "s"}});
      CHECK_FALSE(Reply.Complete_);
      CHECK(System.runCount("s") == 1);
    }
  }

  SECTION("a withdrawn key stops working on both VMs") {
    System.configure(2, {"other-key"});
    for (const char *Vm : {"vm-1", "vm-2"})
      CHECK(
          eventually([&] { return System.call(Vm, "/safe/x").Status_ == 401; },
                     Millis(5000)));
  }

  SECTION("without the store, requests with keys are refused before a "
          "withdrawn key could have been accepted beyond the limit") {
    System.control("store", {{"down", true}});
    CHECK(System.call("vm-1", "/safe/x").Status_ == 200);
    CHECK(eventually(
        [&] { return System.call("vm-1", "/safe/x").Status_ == 503; },
        Millis(5000)));
    SECTION("and served again when the store is reachable") {
      System.control("store", {{"down", false}});
      CHECK(eventually(
          [&] { return System.call("vm-1", "/safe/x").Status_ == 200; },
          Millis(5000)));
    }
  }

  SECTION("a target that leaves gets no new requests") {
    System.writeTargetEntry("plain-1", "draining");
    CHECK(eventually(
        [&] {
          for (int Index = 0; Index < 6; ++Index) {
            CallerReply Reply = System.call("vm-1", "/safe/x");
            if (Reply.Headers_["x-server-seal"] != "seal-of-plain-2")
              return false;
          }
          return true;
        },
        Millis(5000)));
  }

  SECTION("a VM finishes its streams after SIGTERM") {
    for (const char *Target : {"engine-1", "engine-2"})
      System.control(Target, {{"event_ms", 60}});
    CallerConnection Caller(System.callerPort("vm-1"));
    Caller.send(System.request("/stream/x", {{"X-Model", "base"}}));
    REQUIRE(Caller.readUntil("word 2", Millis(5000)));
    System.at("vm-1").signal(SIGTERM);
    CallerReply Reply = Caller.finish(Millis(10000));
    CHECK(Reply.Complete_);
    CHECK(Reply.Body_ == completeStream());
    CHECK(System.at("vm-1").exitStatus(Millis(10000)) == 0);
  }

  SECTION("the cause of a failure is found from the request's id") {
    SECTION("for a refusal") {
      System.call("vm-1", "/safe/x",
                  {{"Authorization", "Token bad"}, {"X-Request-Id", "why-1"}});
      CHECK(System.explain("why-1").find("the key is not known") !=
            std::string::npos);
    }
    SECTION("for a connection that broke off") {
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

TEST_CASE("an entry VM that is cut off from the store", "[entry-cut]") {
  EntryFleet System;
  // Either VM may be the one that reads the store for both.
  auto CutVm = GENERATE(as<std::string>{}, "vm-1", "vm-2");
  INFO(CutVm);
  auto StatusOf = [&] { return System.call(CutVm, "/safe/x").Status_; };
  System.setStoreLink(CutVm, "cut");
  // Longer than `key_withdrawal_ms`.
  eventually([] { return false; }, Millis(4000));

  SECTION("serves with the state that the other VM reads") {
    CHECK(StatusOf() == 200);
    SECTION("and sends nothing more to targets that drain") {
      System.writeTargetEntry("plain-1", "draining");
      CHECK(eventually(
          [&] {
            for (int Index = 0; Index < 6; ++Index)
              if (System.call(CutVm, "/safe/x").Headers_["x-server-seal"] !=
                  "seal-of-plain-2")
                return false;
            return true;
          },
          Millis(5000)));
    }
  }
  SECTION("gets a new configuration from the other VM") {
    System.configure(2, {"other-key"});
    CHECK(eventually([&] { return StatusOf() == 401; }, Millis(5000)));
    auto WithNewKey = [&] {
      return System
          .call(CutVm, "/safe/x", {{"Authorization", "Token other-key"}})
          .Status_;
    };
    CHECK(WithNewKey() == 200);
    SECTION("and keeps serving with it beyond the withdrawal limit") {
      eventually([] { return false; }, Millis(4000));
      CHECK(WithNewKey() == 200);
    }
  }
  SECTION("refuses keys once the other VM is cut off as well") {
    System.setStoreLink(CutVm == "vm-1" ? "vm-2" : "vm-1", "cut");
    CHECK(eventually([&] { return StatusOf() == 503; }, Millis(6000)));
    SECTION("until it can read the configuration") {
      System.setStoreLink(CutVm, "pass");
      CHECK(eventually([&] { return StatusOf() == 200; }, Millis(5000)));
    }
  }
}
