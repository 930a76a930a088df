#include "Integration/RelayingVm.h"
#include "Standins/ScriptedTarget.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace anvil;
using nlohmann::json;

static constexpr Millis StepTimeout{15000};

/// A VM whose targets' addresses refuse connections, and another one that
/// reaches the only target of each service.
class CutVm {
public:
  explicit CutVm(bool HasEarlierRelease = false)
      : Place_(VmMode::Entry), Target_("plain-9") {
    configure();
    HeldAddress Closed("127.0.0.1", 0, SOCK_STREAM);
    ClosedPort_ = Closed.port();
    list(ClosedPort_);
    Vm_ = Place_.start();
    Other_ =
        std::make_unique<RelayingVm>(Place_, Target_.port(), HasEarlierRelease);
    if (!eventually([&] { return Place_.isReady(); }, StepTimeout))
      throw std::runtime_error("the VM isn't ready: " + Vm_->log());
  }

  /// Writes the target's entry with this port.
  void list(std::uint16_t Port) {
    writeRow("servers", "plain-9",
             {{"Service", "plain"},
              {"Address", "127.0.0.1:" + std::to_string(Port)},
              {"Zone", "north"},
              {"Slots", 8},
              {"State", "ready"},
              {"born", 1700000000000},
              {"Version", "v1"},
              {"Seq", 0}});
  }

  CallerRequest request(const std::string &Path, const std::string &Id) const {
    CallerRequest Request;
    Request.Target_ = Path;
    Request.Headers_ = {{"Host", "anvil"},
                        {"X-Request-Id", Id},
                        {"X-Request-Deadline", "2000"}};
    return Request;
  }

  CallerReply call(const std::string &Path, const std::string &Id) const {
    CallerConnection Connection(Place_.port("caller"), Place_.address());
    Connection.send(request(Path, Id));
    return Connection.finish(StepTimeout);
  }

  /// Waits until the VM knows the other one, by requests that it serves.
  bool serves() const {
    return eventually([&] { return call("/safe/x", "settle").Status_ == 200; },
                      StepTimeout);
  }

  bool logs(const std::string &Event) const {
    return Vm_->log().find("\"event\":\"" + Event + "\"") != std::string::npos;
  }

  SingleVm Place_;
  ScriptedTarget Target_;
  std::uint16_t ClosedPort_ = 0;
  std::unique_ptr<Process> Vm_;
  std::unique_ptr<RelayingVm> Other_;

private:
  void writeRow(const std::string &Table, const std::string &Key,
                const json &Value) const {
    sendJson(Place_.storePort(), "PUT", "/row",
             {{"Table", Table}, {"Key", Key}, {"Value", Value.dump()}});
  }

  void configure() const {
    auto Route = [](const char *Prefix, const char *Kind, int Targets) {
      return json{
          {"Name", Prefix},    {"Host", "anvil"},    {"PathPrefix", Prefix},
          {"RouteType", Kind}, {"TimeoutMs", 3000},  {"TargetLatencyMs", 800},
          {"Priority", 1},     {"Service", "plain"}, {"MaxAttempts", Targets}};
    };
    writeRow("op", "config",
             {{"Version", 2},
              {"Routes",
               {Route("/safe/", "safe", 2), Route("/once/", "unsafe", 1),
                Route("/stream/", "streaming", 1)}},
              {"Services", json::array({{{"Name", "plain"}}})},
              {"Tenants", json::array()}});
  }
};

static ScriptedReply whole(const std::string &Body) {
  return {"Content-Length: " + std::to_string(Body.size()) + "\r\n", Body};
}

// Guards against RECOVER: a VM that can't connect to any target refuses all
// requests, although another VM reaches the targets.
TEST_CASE("a VM that is cut off from all targets serves its callers",
          "[cut-vm]") {
  CutVm System;
  System.Target_.script({whole("answer")});
  REQUIRE(System.serves());

  SECTION("each of them, at the first attempt") {
    for (int Index = 0; Index < 20; ++Index) {
      std::string Id = "r" + std::to_string(Index);
      CallerReply Reply = System.call(Index % 2 ? "/safe/x" : "/once/x", Id);
      CHECK(Reply.Status_ == 200);
      CHECK(Reply.Body_ == "answer");
      CHECK(Reply.Headers_["x-server-seal"] == "seal-of-plain-9");
      CHECK(Reply.Headers_["x-request-id"] == Id);
    }
  }
  SECTION("streams too, piece by piece and to an end without a length") {
    System.Target_.script(
        {{"Content-Type: text/event-stream\r\n", "id: 1\ndata: one\n\n"}});
    CallerReply Reply = System.call("/stream/x", "s1");
    CHECK(Reply.Status_ == 200);
    CHECK(Reply.Complete_);
    CHECK(Reply.Body_ == "id: 1\ndata: one\n\n");
  }
  SECTION("a stream that is reset on the way doesn't look complete") {
    System.Target_.script({{"Content-Type: text/event-stream\r\n",
                            "id: 1\ndata: one\n\n", true}});
    CallerReply Reply = System.call("/stream/x", "s2");
    CHECK_FALSE(Reply.Complete_);
  }
  SECTION("a request that may have run isn't refused as not run") {
    ScriptedReply Silent = whole("answer");
    Silent.SentBytes_ = 5;
    Silent.IsReset_ = true;
    System.Target_.script({Silent});
    int Before = System.Target_.requestCount();
    CallerReply Reply = System.call("/once/x", "o1");
    CHECK(Reply.Status_ == 502);
    CHECK(System.Target_.requestCount() == Before + 1);
  }
  SECTION("tells the other VM when the target wants nothing from it") {
    ScriptedReply Busy{
        "X-Not-Executed: 1\r\nRetry-After: 4\r\nContent-Length: 0\r\n", ""};
    Busy.Status_ = "503 Busy";
    System.Target_.script({Busy});
    int Before = System.Target_.requestCount();
    for (int Index = 0; Index < 5; ++Index) {
      CallerReply Reply = System.call("/safe/x", "b" + std::to_string(Index));
      CHECK(Reply.Status_ == 503);
      CHECK(std::stod(Reply.Headers_["retry-after"]) > 2);
    }
    CHECK(System.Target_.requestCount() == Before + 1);
    CHECK(
        eventually([&] { return System.Other_->toldBackOff() > Millis(3000); },
                   StepTimeout));
  }
  SECTION("once a caller leaves, the target's connection is closed") {
    // Accepts connections and never answers.
    HeldAddress Silent("127.0.0.1", 0, SOCK_STREAM);
    System.Other_->setTarget(Silent.port());
    {
      CallerConnection Leaving(System.Place_.port("caller"),
                               System.Place_.address());
      Leaving.send(System.request("/safe/x", "l1"));
      CHECK(eventually([&] { return System.Other_->openTunnels() > 0; },
                       StepTimeout));
    }
    CHECK(eventually([&] { return System.Other_->openTunnels() == 0; },
                     Millis(4000)));
  }
  SECTION("if the other VM loses the target too, refuses at once") {
    System.Other_->setReaching(false);
    CHECK(
        eventually([&] { return System.call("/safe/x", "n0").Status_ == 503; },
                   StepTimeout));
    for (int Index = 0; Index < 5; ++Index)
      CHECK(System.call("/safe/x", "n" + std::to_string(Index)).Status_ == 503);
    SECTION("and serves again once it is back") {
      System.Other_->setReaching(true);
      CHECK(System.serves());
    }
  }
  SECTION("once the cut ends, connects itself again") {
    ScriptedTarget Direct("plain-9", System.ClosedPort_);
    Direct.script({whole("direct")});
    CHECK(eventually([&] { return System.logs("target_regained"); },
                     StepTimeout));
    CHECK(eventually(
        [&] {
          CallerReply Reply = System.call("/safe/x", "d");
          CHECK(Reply.Status_ == 200);
          return Reply.Body_ == "direct";
        },
        StepTimeout));
  }
}

// Guards against ORDER, MIXED and LOST: the end of an answer without a length
// that came through another VM is taken for something that it isn't.
TEST_CASE("an answer without a length ends behind another VM",
          "[cut-vm][relayed-end]") {
  bool HasEarlierRelease = GENERATE(false, true);
  CutVm System(HasEarlierRelease);
  System.Target_.script({whole("answer")});
  REQUIRE(System.serves());
  Process Unframed(ANVIL_STANDIN,
                   {"--kind", "unframed-target", "--id", "plain-9"},
                   System.Place_.directory(), "plain-9");
  System.Other_->setTarget(Unframed.port());
  // Earlier connections through the other VM lead to the earlier target.
  REQUIRE(eventually(
      [&] {
        CallerReply Reply = System.call("/safe/x", "settle");
        return Reply.Complete_ && Reply.Body_.starts_with("word 1\n");
      },
      StepTimeout));
  std::this_thread::sleep_for(Millis(2500));
  CallerConnection Stream(System.Place_.port("caller"),
                          System.Place_.address());
  Stream.send(System.request("/stream/x", "k1"));
  CallerConnection Plain(System.Place_.port("caller"), System.Place_.address());
  Plain.send(System.request("/once/x", "k2"));
  REQUIRE(Stream.readUntil("id: 5", StepTimeout));

  SECTION("it isn't complete if its target is killed") {
    Unframed.kill();
    CallerReply Reply = Stream.finish(StepTimeout);
    CHECK(Reply.Status_ == 200);
    CHECK_FALSE(Reply.Complete_);
    CHECK(Plain.finish(StepTimeout).Status_ == 502);
  }
  SECTION("it is complete if its target lives") {
    // VMs of earlier releases can't tell for a target that wants no requests.
    System.Other_->setRefusing(!HasEarlierRelease);
    CallerReply Reply = Stream.finish(StepTimeout);
    CHECK(Reply.Status_ == 200);
    CHECK(Reply.Complete_);
    CHECK(Plain.finish(StepTimeout).Status_ == 200);
  }
}

// Guards against sound requests that are refused by the whole fleet since a VM
// that was cut off from targets took them for crashed.
TEST_CASE("what a cut VM loses isn't taken for crashes", "[cut-no-crash]") {
  CutVm System;
  System.Target_.script({whole("answer")});
  REQUIRE(System.serves());
  ScriptedReply Broken = whole("answer");
  Broken.SentBytes_ = 5;
  Broken.IsReset_ = true;
  // As in a cut: the connection breaks, and the address refuses new ones.
  for (int Index = 0; Index < 6; ++Index) {
    System.Target_.script({Broken});
    CHECK(System.call("/once/same", "c" + std::to_string(Index)).Status_ ==
          502);
  }
  std::this_thread::sleep_for(Millis(1000));
  System.Target_.script({whole("answer")});
  CHECK(System.call("/once/same", "c9").Status_ == 200);
  CHECK_FALSE(System.logs("target_crashed"));
  CHECK_FALSE(System.logs("request_quarantined"));
}
