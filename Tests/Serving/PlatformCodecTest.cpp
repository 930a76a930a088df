#include "platform/PlanCodec.h"
#include "platform/RowCodec.h"
#include "platform/TargetCodec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/catch.h>

using namespace anvil;
using namespace anvil::platform;
using namespace std::chrono_literals;

TEST_CASE("the operator's configuration is decoded", "[platform]") {
  auto Decoded = decodePlan(R"({"Version":7,
    "Routes":[
      {"Name":"r","Host":"f.example","PathPrefix":"/p/","RouteType":"streaming",
       "TimeoutMs":20000,"TargetLatencyMs":1000,"Priority":1,"Service":"s",
       "MaxAttempts":2,"Public":false,"Resumable":true},
      {"Name":"w","Host":"f.example","PathPrefix":"/q/","RouteType":"unsafe",
       "TrafficSplit":[{"Service":"s","Weight":90},{"Service":"t","Weight":10}]},
      {"Name":"broken","Host":"f.example"}],
    "Services":[{"Name":"s","HealthPath":"/health","MaxConnections":240,
      "ColdStartS":7.5,"ColdPerS":13,
      "Engine":{"Slots":32,"KvTokens":117260,"MaxAdapters":21,"LoadsPerS":5.5,
        "Models":[{"Name":"m","LoadTimeS":2.5,"WarmS":0.38,"DiskLoadS":1.0}]}}],
    "Limits":{"MaxHeaderBytes":16384,"IdleTimeoutMs":15000,"HeaderTimeoutMs":5000},
    "Tenants":[{"Name":"c","ApiKeys":["k1"],"Priority":1,"Unit":"tokens",
      "PlainTokens":200,"RatePerS":1000,"Burst":2000}]})");
  REQUIRE(isOk(Decoded));
  const ServingPlan &Plan = *valueOf(Decoded);
  CHECK(Plan.revision() == 7);
  CHECK(Plan.routes().size() == 2);
  const RoutePlan *Stream = Plan.findRoute("f.example", "/p/1");
  REQUIRE(Stream);
  CHECK(Stream->Kind_ == RequestKind::Stream);
  CHECK(Stream->Timeout_ == Duration(20s));
  CHECK(Stream->MaxTargets_ == 2);
  CHECK(Stream->Resumable_);
  CHECK(Plan.findRoute("f.example", "/q/1")->Splits_.size() == 2);
  const ServicePlan *Service = Plan.findService("s");
  REQUIRE(Service);
  REQUIRE(Service->Engine_);
  CHECK(Service->Engine_->MaxAdapters_ == 21);
  CHECK(Service->Engine_->findModel("m")->DiskLoadTime_ == Duration(1s));
  REQUIRE(Service->ColdStart_);
  CHECK(Service->ColdStart_->Time_ == Duration(7500ms));
  CHECK(Service->ColdStart_->RequestsPerSecond_ == 13);
  CHECK(Plan.findCustomerOfKey("k1")->BurstTokens_ == 2000);
  CHECK(Plan.limits().IdleTime_ == Duration(15s));
  CHECK(Plan.limits().HeadTime_ == Duration(5s));
  SECTION("without cold starts where a service names none or zero") {
    for (const char *Words :
         {"", R"(,"ColdStartS":8)", R"(,"ColdStartS":0,"ColdPerS":13)",
          R"(,"ColdStartS":8,"ColdPerS":0)", R"(,"ColdStartS":8,"ColdPerS":-1)",
          R"(,"ColdStartS":"8","ColdPerS":13)"}) {
      INFO(Words);
      auto Other = decodePlan(R"({"Version":8,"Services":[{"Name":"s")" +
                              std::string(Words) + "}]}");
      REQUIRE(isOk(Other));
      CHECK_FALSE(valueOf(Other)->findService("s")->ColdStart_);
    }
  }
  SECTION("is refused without a revision") {
    CHECK_FALSE(isOk(decodePlan("{}")));
    CHECK_FALSE(isOk(decodePlan("nonsense")));
  }
}

TEST_CASE("a target's entry is decoded", "[platform]") {
  std::string Bytes = R"({"Service":"s","Address":"10.128.0.9:8080",
    "Zone":"z","Version":"v1","Slots":32,"State":"ready","born":1700000000123,
    "Models":[{"Name":"m","Version":1,"Adapters":["a3@2","a4"]}],"Seq":4})";
  auto Entry = decodeRegisteredTarget("i-1", Bytes);
  REQUIRE(Entry);
  CHECK(Entry->Incarnation_ == 1700000000123);
  CHECK(Entry->OrdersAccepted_ == 4);
  CHECK(Entry->SoftwareVersion_ == "v1");
  CHECK(Entry->Models_.at("m").Adapters_.at("a3") == 2);
  CHECK_FALSE(Entry->ColdRemaining_);
  SECTION("with the time for which it is still cold") {
    auto Cold = [](const std::string &Value) {
      return decodeRegisteredTarget("i",
                                    R"({"Service":"s","Address":"10.0.0.1:1",)"
                                    R"("Slots":1,"State":"ready",)"
                                    R"("ColdRemainingMs":)" +
                                        Value + "}")
          ->ColdRemaining_;
    };
    CHECK(Cold("2500") == Duration(2500ms));
    CHECK(Cold("0") == Duration(0ms));
    CHECK(Cold("-7") == Duration(0ms));
    CHECK_FALSE(Cold("\"soon\""));
  }
  SECTION("and skipped if it is malformed") {
    CHECK_FALSE(decodeRegisteredTarget("i", "\xff\x00"));
    CHECK_FALSE(decodeRegisteredTarget("i", "[]"));
    CHECK_FALSE(decodeRegisteredTarget(
        "i",
        R"({"Service":"s","Address":"10.0.0.1:1","Slots":1,"State":"odd"})"));
    CHECK_FALSE(decodeRegisteredTarget(
        "i",
        R"({"Service":7,"Address":"10.0.0.1:1","Slots":1,"State":"ready"})"));
  }
  // Guards against an entry of another writer that is taken for a target to
  // which no connection can be opened, or that overflows a number.
  SECTION("and skipped if a value is out of range") {
    auto IsTaken = [](const std::string &Address, const std::string &Slots,
                      const std::string &Born) {
      return decodeRegisteredTarget(
                 "i", R"({"Service":"s","State":"ready","Address":")" +
                          Address + R"(","Slots":)" + Slots + R"(,"born":)" +
                          Born + "}")
          .has_value();
    };
    CHECK(IsTaken("10.0.0.1:65535", "32", "1700000000000"));
    for (const char *Address : {"10.0.0.1:65536", "10.0.0.1:0", "10.0.0.1",
                                "10.0.0.999:1", "host:1", "10.0.0.1:-1", ""})
      CHECK_FALSE(IsTaken(Address, "32", "1700000000000"));
    for (const char *Slots : {"4294967328", "18446744073709551615", "1e999"})
      CHECK_FALSE(IsTaken("10.0.0.1:1", Slots, "1700000000000"));
    CHECK_FALSE(IsTaken("10.0.0.1:1", "32", "18446744073709551615"));
  }
  SECTION("however deep a field is nested") {
    std::string Deep = std::string(60000, '[') + std::string(60000, ']');
    for (const char *Field : {"Models", "Address", "Zone", "Other"})
      decodeRegisteredTarget("i", R"({"Service":"s","Slots":1,)"
                                  R"("State":"ready",")" +
                                      std::string(Field) + "\":" + Deep + "}");
    CHECK_FALSE(decodeRegisteredTarget("i", Deep));
    CHECK_FALSE(decodeRegisteredTarget("i", std::string(65000, '[')));
  }
}

TEST_CASE("an engine's report is decoded", "[platform]") {
  auto Report = decodeEngineReport(R"({"Busy":true,"Seq":5,"Active":12,
    "Models":[{"Name":"m","Version":1,"Adapters":["a1@1"]}],
    "Pending":["m/a9@3"]})");
  REQUIRE(isOk(Report));
  CHECK(valueOf(Report).OrdersAccepted_ == 5);
  CHECK(valueOf(Report).Running_ == 12);
  CHECK(valueOf(Report).Loading_.at("m").at("a9") == 3);
  CHECK_FALSE(valueOf(Report).Incarnation_);
  SECTION("with the start of the process, if it states it") {
    auto Named = decodeEngineReport(R"({"Seq":5,"Models":[],"born":17})");
    REQUIRE(isOk(Named));
    CHECK(valueOf(Named).Incarnation_ == 17);
  }
  // Guards against a wrong view of an engine: it repeats an answer, which
  // counts as that to the next call.
  SECTION("and never taken for the answer to an order, nor the reverse") {
    CHECK_FALSE(isOk(decodeEngineReport("{}")));
    CHECK_FALSE(isOk(decodeEngineReport("")));
    CHECK_FALSE(isOk(decodeEngineReport(R"({"Seq":5})")));
    CHECK(decodeOrderResult(200, "{}") == OrderResult::AlreadyHolds);
    CHECK(decodeOrderResult(200, R"({"Seq":5,"Models":[]})") ==
          OrderResult::Unknown);
    CHECK(decodeOrderResult(200, R"({"Seq":5,"Mod)") == OrderResult::Unknown);
  }
}

TEST_CASE("an order is encoded and its result decoded", "[platform]") {
  EngineOrder Order{OrderKind::LoadAdapter, "m", "a3", 2, 7};
  std::string Body = encodeOrder(Order, "vm-1", 41);
  CHECK(Body.find(R"("Operation":"load")") != std::string::npos);
  CHECK(Body.find(R"("Precondition":7)") != std::string::npos);
  CHECK(Body.find(R"("Fence":41)") != std::string::npos);
  SECTION("also for a name that is no text") {
    Order.Adapter_ = "a\xff";
    CHECK_FALSE(encodeOrder(Order, "vm-1", 41).empty());
  }
  CHECK(decodeOrderResult(202, "") == OrderResult::Accepted);
  CHECK(decodeOrderResult(409, "") == OrderResult::Conflict);
  // The engine may still execute the order.
  CHECK(decodeOrderResult(503, "") == OrderResult::Unknown);
}

TEST_CASE("rows of the store are decoded", "[platform]") {
  auto Reply = decodeRows(R"({"Rows":[
    {"Table":"t","part":"","Key":"k","Value":"bm9kZS0x","RowVersion":412},
    {"Table":"t","part":"","Key":"gone","Deleted":true,"RowVersion":413},
    {"Key":"odd","Value":"!","RowVersion":1}],
    "HasMore":false,"RowVersion":530,"NowMs":51230})");
  REQUIRE(isOk(Reply));
  REQUIRE(valueOf(Reply).Rows_.size() == 2);
  CHECK(valueOf(Reply).Rows_[0].Value_ == "node-1");
  CHECK_FALSE(valueOf(Reply).Rows_[0].Deleted_);
  CHECK(valueOf(Reply).Rows_[1].Deleted_);
  CHECK(valueOf(Reply).Rows_[1].Version_ == 413);
  CHECK(valueOf(Reply).Version_ == 530);
  CHECK(valueOf(Reply).StoreTime_ == Duration(51230ms));
  SECTION("with the value that was encoded, for arbitrary bytes") {
    rc::prop(
        "a value is unchanged by a round trip", [](const std::string &Value) {
          std::string Body = encodeTransaction({"t", ""}, {{}, {{"k", Value}}});
          auto Mark = Body.find(R"("Value":")") + 9;
          std::string Text = Body.substr(Mark, Body.find('"', Mark) - Mark);
          auto Read =
              decodeRows(R"({"RowVersion":1,"Rows":[{"Key":"k","Value":")" +
                         Text + R"(","RowVersion":1}]})");
          RC_ASSERT(isOk(Read));
          RC_ASSERT(valueOf(Read).Rows_.at(0).Value_ == Value);
        });
  }
  SECTION("a transaction with an inconclusive status is ambiguous") {
    CHECK(decodeCommit(200, R"({"RowVersion":3})").Version_ == 3);
    CHECK(decodeCommit(412, "{}").Result_ == CommitResult::Conflict);
    CHECK(decodeCommit(503, "").Result_ == CommitResult::Unavailable);
    CHECK(decodeCommit(500, "").Result_ == CommitResult::Ambiguous);
  }
}

TEST_CASE("the operator's request to evacuate a data centre is recognized",
          "[platform][evacuation]") {
  CHECK(evacuatedDataCentre("evacuate/north") == "north");
  CHECK(evacuatedDataCentre("evacuate/north/2") == "north/2");
  for (const char *Other : {"config", "version/m.a", "evacuate/", "evacuate"})
    CHECK_FALSE(evacuatedDataCentre(Other));
}

TEST_CASE("malformed input does not crash the decoders", "[platform][fuzz]") {
  rc::prop("arbitrary bytes", [](const std::string &Bytes) {
    decodePlan(Bytes);
    decodeNamedVersion(Bytes);
    decodeRegisteredTarget("i", Bytes);
    decodeEngineReport(Bytes);
    decodeRows(Bytes);
    decodeCommit(412, Bytes);
  });
  rc::prop("fields of arbitrary type", [](const std::string &Text, int Number) {
    nlohmann::json Values[] = {Text, Number,   nullptr,
                               true, {1, "x"}, {{"a", 1}}};
    const char *Names[] = {"Version", "Routes",  "Services",   "Tenants",
                           "Limits",  "Service", "Address",    "State",
                           "Slots",   "Models",  "Adapters",   "Rows",
                           "Seq",     "born",    "RowVersion", "Pending"};
    nlohmann::json Object;
    for (const char *Name : Names)
      Object[Name] = Values[*rc::gen::inRange(0, 6)];
    std::string Bytes =
        Object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    decodePlan(Bytes);
    decodeRegisteredTarget("i", Bytes);
    decodeEngineReport(Bytes);
    decodeRows(Bytes);
  });
}
