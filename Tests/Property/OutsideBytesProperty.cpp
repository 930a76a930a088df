#include "Admission/QuotaRows.h"
#include "Entry/FleetCodec.h"
#include "Entry/OwnerRows.h"
#include "Gateway/OpenAiCodec.h"
#include "Gateway/SseParser.h"
#include "Ledger/ClaimCodec.h"
#include "Placement/OwnerLease.h"
#include "Property/MutatedBytes.h"
#include "Routing/PromptPartGuard.h"
#include "Routing/TargetLimits.h"
#include "Serving/CustomerBudget.h"
#include "Serving/EventSplitter.h"
#include "Serving/RemoteClock.h"
#include "Serving/StreamEnding.h"
#include "Serving/TargetRoster.h"
#include "Serving/VersionRequirements.h"
#include "StoreEra/StoreEra.h"
#include "Streams/StreamRecords.h"
#include "Streams/StreamRows.h"
#include "TableService/TableCopy.h"
#include "platform/PlanCodec.h"
#include "platform/RequestCodec.h"
#include "platform/RowCodec.h"
#include "platform/TargetCodec.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace anvil;
using namespace std::chrono_literals;

static constexpr TimePoint Now(1000s);

/// Draws mutations of valid bytes and uses each. A decoder that throws, or that
/// accepts what the code after it can't use, ends the test program.
template <class Use>
static void forMutations(const std::string &Name, const std::string &Valid,
                         Use UseBytes) {
  constexpr int InputsPerCase = 100;
  rc::prop(Name, [&] {
    MutatedBytes Inputs(*rc::gen::arbitrary<std::uint64_t>(), Valid);
    for (int Input = 0; Input < InputsPerCase; ++Input)
      UseBytes(Inputs.next());
  });
}

static const std::string ValidEntry =
    R"({"Service":"s","Address":"10.128.0.9:8080","Zone":"z","Version":"v1",)"
    R"("Slots":32,"State":"ready","born":1700000000123,"RemainingMs":7,)"
    R"("ColdRemainingMs":500,"Models":[{"Name":"m","Version":1,)"
    R"("Adapters":["a3@2","a4"]}],"Seq":4})";

TEST_CASE("rows of the store that were changed on the way end no process") {
  forMutations(
      "configurations",
      R"({"Version":7,"Routes":[{"Name":"r","Host":"f","PathPrefix":"/p/",)"
      R"("RouteType":"streaming","TimeoutMs":20000,"TargetLatencyMs":1000,)"
      R"("TargetGapMs":30,"Priority":1,"Service":"s","MaxAttempts":2,)"
      R"("TrafficSplit":[{"Service":"s","Weight":90},{"Service":"t",)"
      R"("Weight":10}]}],"Services":[{"Name":"s","ColdStartS":7.5,)"
      R"("ColdPerS":13,"Engine":{"Slots":32,"KvTokens":117260,)"
      R"("MaxAdapters":21,"LoadsPerS":5.5,"Models":[{"Name":"m",)"
      R"("LoadTimeS":2.5,"DiskLoadS":1.0}]}}],"Limits":{"MaxHeaderBytes":)"
      R"(16384,"MaxBodyBytes":1,"IdleTimeoutMs":15000},"Tenants":[{"Name":)"
      R"("c","ApiKeys":["k1"],"Priority":1,"Unit":"tokens","PlainTokens":200,)"
      R"("RatePerS":1000,"Burst":2000}]})",
      [](const std::string &Bytes) {
        auto Plan = platform::decodePlan(Bytes);
        if (!isOk(Plan))
          return;
        const ServingPlan &Used = *valueOf(Plan);
        CustomerBudget Budget;
        Budget.setPlan(Used, 0.5, Now);
        Budget.charge("c", 10, Now + 1s);
        for (const RoutePlan &Route : Used.routes()) {
          chooseService(Route, 0.7);
          (void)(Now + Route.Timeout_ + Route.LatencyTarget_ +
                 Route.PauseTarget_);
        }
        const ServicePlan *Service = Used.findService("s");
        if (Service && Service->Engine_)
          Service->Engine_->warmAdapters();
      });
  forMutations("targets", ValidEntry, [](const std::string &Bytes) {
    auto Entry = platform::decodeRegisteredTarget("i", Bytes);
    if (!Entry)
      return;
    TargetListing Listing;
    Listing.replace({*Entry}, Now);
    TargetRoster Roster;
    Roster.applyList(Listing.entries(), Now);
    FleetView View;
    View.applyRegistryEntry(*Entry, "m", Now);
    TargetsReadNotice Notice{{"vm", "life"},   7s, Listing.recentChanges(Now),
                             Listing.digest(), 0s, 0};
    RC_ASSERT(isOk(decodeFleetMessage(encodeFleetMessage(Notice))));
  });
  forMutations("reports of engines",
               R"({"Models":[{"Name":"m","Version":1,"Adapters":["a@2"]}],)"
               R"("Busy":false,"Seq":3,"Active":2,"Pending":["m/b@3"]})",
               [](const std::string &Bytes) {
                 auto Report = platform::decodeEngineReport(Bytes);
                 if (!isOk(Report))
                   return;
                 EngineController Engine("m", {});
                 Engine.adopt(valueOf(Report), Now);
                 Engine.requestAdapter("c", 1, Now);
                 Engine.nextOrder(1, Now);
               });
  forMutations("pages",
               R"({"RowVersion":9,"NowMs":12.5,"HasMore":true,"Rows":[{"Key":)"
               R"("config","RowVersion":3,"Value":"e30="},{"Key":"b",)"
               R"("RowVersion":4,"Deleted":true}]})",
               [](const std::string &Bytes) {
                 platform::decodeCommit(412, Bytes);
                 platform::decodeCommit(200, Bytes);
                 auto Page = platform::decodeRows(Bytes);
                 if (!isOk(Page))
                   return;
                 RemoteClock Clock;
                 Clock.recordCall(Now, valueOf(Page).StoreTime_, Now + 1s);
                 TableCopy Copy;
                 Copy.applyWhole(valueOf(Page).Rows_, valueOf(Page).Version_);
                 decodeTableRows(encodeTableRows(Copy.rows()));
               });
  forMutations("named versions", R"({"Model":"m","Adapter":"a","Version":3})",
               [](const std::string &Bytes) {
                 auto Named = platform::decodeNamedVersion(Bytes);
                 VersionRequirements Versions(1s, 1s);
                 if (Named)
                   Versions.recordVersion(Named->Model_, Named->Adapter_,
                                          Named->Version_, Now);
               });
  VmRow Vm{"v", "life", "north", "127.0.0.1:1", 3, 1, true};
  forMutations("rows of VMs", encodeVmRow(Vm), [](const std::string &Bytes) {
    auto Rows = decodeControlRows({{vmRowKey("v", 2), Bytes, 5}}, 2);
    for (const VmRow &Row : Rows.Vms_)
      encodeVmRow(Row);
    decodeControlRows({{Bytes, R"({"vm":"v"})", 5}}, 2);
  });
  forMutations("rows of owners", encodeOwnerRow({"t", "v", 7, 1}),
               [](const std::string &Bytes) {
                 auto Rows =
                     decodeControlRows({{ownerRowKey("t", 2), Bytes, 5}}, 2);
                 for (const OwnerRow &Row : Rows.Owners_)
                   encodeOwnerRow(Row);
               });
  forMutations("baselines of streams",
               encodeBaseline({"s", "v1", BaselineStage::Open, 3}),
               [](const std::string &Bytes) {
                 decodeBaseline(baselineRowKey("s", 2), Bytes, 3, 2);
               });
  forMutations("records of streams",
               encodeStreamRecords({{StreamKey{}, {"s", "v1"}, 7s}}),
               [](const std::string &Bytes) {
                 StreamRecords Known;
                 for (const StreamRecord &Record : decodeStreamRecords(Bytes))
                   Known.add(Record, Now);
               });
  forMutations("eras", "17", [](const std::string &Bytes) {
    auto Era = StoreEra::parse(Bytes);
    StoreEra Known;
    Known.record(Era, Now);
  });
  ClaimRow Claim;
  Claim.Reply_ = {200, {{"A", "b"}}, std::string("\0\xff", 2)};
  forMutations("claims", encodeClaim(Claim),
               [](const std::string &Bytes) { decodeClaim(Bytes); });
  LeaseRow Lease;
  Lease.Generation_ = 3;
  Lease.Holders_ = {{"v", "life", 4, 3}};
  forMutations("leases", encodeLeaseRow(Lease), [](const std::string &Bytes) {
    auto Row = decodeLeaseRow(Bytes);
    if (!Row)
      return;
    OwnerLease Own({}, "v", "life");
    Own.adopt(*Row, 1, Now);
    encodeLeaseRow(Own.renewed(*Row, {Own.claim(Now)}, Now));
  });
}

TEST_CASE("rows of a quota that were changed on the way end no process") {
  QuotaAllocations Allocations;
  Allocations.UnissuedPart_ = 0.5;
  Allocations.ByLease_["l"] = {0.25, 30, 1, "v", "north"};
  forMutations("parts", encodeQuotaAllocations(Allocations),
               [](const std::string &Bytes) {
                 auto Row = decodeQuotaAllocations(Bytes);
                 if (isOk(Row) && isConsistent(valueOf(Row), 0))
                   nextQuotaPart(valueOf(Row), "l", 10, 0);
               });
  QuotaLeases Leases;
  Leases["v"] = {"l", 1, false, 2, 3};
  forMutations("leases", encodeQuotaLeases(Leases),
               [](const std::string &Bytes) {
                 auto Row = decodeQuotaLeases(Bytes);
                 if (isOk(Row))
                   liveQuotaLeases(valueOf(Row));
               });
  QuotaFloors Floors;
  Floors.ByVm_["v"] = 0.1;
  forMutations("floors", encodeQuotaFloors(Floors),
               [](const std::string &Bytes) { decodeQuotaFloors(Bytes); });
}

// Guards against a process that ends since the library throws for names, from
// other VMs, that aren't UTF-8.
TEST_CASE("names of other VMs that aren't text are written to the store") {
  const std::string Odd = "\xff\xc3";
  CHECK(isOk(decodeQuotaLeases(encodeQuotaLeases({{Odd, {Odd, 1}}}))));
  QuotaAllocations Allocations;
  Allocations.ByLease_[Odd] = {0.25, 30, 1, Odd, Odd};
  CHECK(isOk(decodeQuotaAllocations(encodeQuotaAllocations(Allocations))));
  LeaseRow Lease;
  Lease.Holders_ = {{Odd, Odd, 4, 3}};
  CHECK(decodeLeaseRow(encodeLeaseRow(Lease)));
  CHECK_FALSE(encodeOwnerRow({Odd, Odd, 7, 1}).empty());
  CHECK_FALSE(encodeVmRow({Odd, Odd, Odd, Odd, 3, 1, true}).empty());
  CHECK_FALSE(
      platform::encodeTransaction({"anvil", Odd}, {{{Odd, 1}}, {{Odd, Odd}}})
          .empty());
}

/// One message of each kind, with all of its fields in use.
static std::vector<FleetMessage> fleetMessages() {
  VmStateUpdate Update;
  Update.Vm_ = "b";
  Update.Incarnation_ = "life";
  Update.Sequence_ = 4;
  Update.Period_ = 200ms;
  Update.Running_["e1"] = {4, 400, {{"a1", 4}}};
  Update.Spent_ = {{"serenas", 123456789}};
  Update.Balances_ = {{"serenas", -50}};
  Update.BudgetCoverage_ = 4s;
  Update.Crashes_ = {{"digest", "e1", 77}};
  Update.LeavingTargets_ = {{"e2", 5}};
  Update.Limits_ = {{"e4", {6, 1.8, 20ms}}};
  Update.Inventories_["e3"] = {
      8, true, {{"a4", {2, 30ms, 70ms, LoadSource::Engine}}}};
  Update.Inventories_["e3"].Queued_ = {{"a5", 400ms}};
  Update.Loads_ = {{7, 3, 2, 1}, 288ms, 30ms};
  Update.Speeds_ = {{"e6", {7, -35}}};
  DataCentreSummary Summary;
  Summary.DataCentre_ = "north";
  Summary.Sender_ = "vm-1";
  Summary.Vms_ = 39;
  Summary.Period_ = 600ms;
  Summary.Spent_ = {{"serenas", 5}};
  Summary.Running_["e1"] = {4, 400, {{"a1", 4}}};
  auto Entry = platform::decodeRegisteredTarget("e1", ValidEntry);
  return {Update,
          AdapterRequest{"vm-1", "e1", "a1", 2, true, 3, -20ms, 5},
          InventoryNotice{"e3", Update.Inventories_["e3"]},
          PromptNotice{"e1", 4000},
          PlanReadNotice{{"vm-1", "life"}, 77s, 12, 7600, 11, {{"k", "2", 12}}},
          PlanReadNotice{
              {"vm-1", "life"},
              77s,
              12,
              7600,
              11,
              {},
              {makeRowDelta({"k", "{a}{b}", 11}, {"k", "{a}{c}{b}", 12})}},
          TargetsReadNotice{{"vm-1", "life"}, 77s, {{*Entry}, {"e2"}}, 9, 2s},
          ClockRequest{"vm-1", 7s},
          ClockReply{{"vm-1", "life"}, 7s, 8s},
          Summary,
          TargetPermitRequest{"vm-1", 3, {"e1", 5, 2.5, true}},
          TargetPermitReply{3, {true, 100ms}}};
}

/// Uses a message as a VM that receives it does.
static void useMessage(const FleetMessage &Message) {
  FleetView View;
  if (const auto *Update = std::get_if<VmStateUpdate>(&Message)) {
    View.apply(*Update, Now);
    DataCentreSummary Sums;
    View.addLocalUpdates(Sums, Now);
    View.inTransit(Now);
    View.queuedLoads(Now);
    View.expire(Now + 10s);
    TargetLimits Limits;
    for (const auto &[Target, Limit] : Update->Limits_)
      Limits.updateFromPeer(Target, Limit, Now);
    Limits.statedWithin(2s, Now);
    PromptPartGuard Parts({});
    Parts.apply(Update->Parts_, Now);
    Parts.update(Now + 1s);
  } else if (const auto *Summary = std::get_if<DataCentreSummary>(&Message)) {
    View.apply(*Summary, Now);
    View.reachableVms(Now);
    View.expire(Now + 10s);
  } else if (const auto *Notice = std::get_if<InventoryNotice>(&Message)) {
    View.applyInventory(Notice->Engine_, Notice->Inventory_, Now);
    View.inTransit(Now);
  } else if (const auto *Read = std::get_if<TargetsReadNotice>(&Message)) {
    TargetListing Listing;
    Listing.applyChanges(Read->Changes_, Read->Digest_, Now);
    for (const RegisteredTarget &Entry : Read->Changes_.Entries_)
      platform::encodeTransaction(
          {"anvil", ""},
          claimTransaction({{Entry.Id_, "v", 7, 1}, 0, Entry.Id_, 3}, "v", 1,
                           2));
    TargetRoster Roster;
    Roster.extendLapse(Read->LapseRemaining_, Now);
    Roster.applyList(Read->Changes_.Entries_, Now);
    Roster.lapseRemaining(Now);
  } else if (const auto *Reply = std::get_if<ClockReply>(&Message)) {
    RemoteClock Clock;
    Clock.recordCall(TimePoint(Reply->RequestedAt_), Reply->ClockTime_, Now);
  } else if (const auto *Rows = std::get_if<PlanReadNotice>(&Message)) {
    TableCopy().applyChanges(Rows->Rows_);
    for (const RowDelta &Delta : Rows->Deltas_)
      applyRowDelta({"k", "{a}{b}", 11}, Delta);
  }
  encodeFleetMessage(Message);
}

TEST_CASE("messages between VMs that were changed on the way end no process") {
  for (const FleetMessage &Message : fleetMessages())
    forMutations("datagrams of kind " + std::to_string(Message.index()),
                 encodeFleetMessage(Message), [](const std::string &Bytes) {
                   auto Decoded = decodeFleetMessage(Bytes);
                   if (isOk(Decoded))
                     useMessage(valueOf(Decoded));
                 });
  forMutations("rows", encodeTableRows({{"a", "b", 3}, {"c", "", 4, true}}),
               [](const std::string &Bytes) { decodeTableRows(Bytes); });
}

TEST_CASE("heads and bodies that were changed on the way end no process") {
  forMutations("headers of callers", "12.5,7", [](const std::string &Bytes) {
    for (const char *Name : {"X-Request-Deadline", "X-Token-Counts",
                             "X-Length-Hint", "X-Model", "X-Prompt-Prefix"}) {
      auto Fields =
          platform::decodeCallerFields({"GET", "/", {{Name, Bytes}}, ""});
      (void)(Now + Fields.WaitLimit_.value_or(0s));
    }
  });
  forMutations("headers of targets", "timeout=5,3,8", [](const std::string &B) {
    for (const char *Name :
         {"Retry-After", "Server-Limit", "X-Server-Load", "Keep-Alive",
          "X-Cold-Remaining", "Server-Leaving", "Connection"}) {
      HttpReplyHead Head{503, {{Name, B}}};
      auto Read = platform::decodeTargetResponse(Head);
      (void)(Now + Read.BackOff_.value_or(0s) + Read.KeepAlive_.value_or(0s));
      TargetLimits Limits;
      Limits.updateFromResponse("t", 1, Read.RateLimit_, Now, Now);
      Limits.statedWithin(2s, Now);
      platform::encodeCallerHead(Head);
    }
    platform::makeErrorReply(500, B, B, 1s);
  });
  forMutations("events", "id: 4\ndata: {\"model\":\"a\"}\r\n\r\ndata: x\n\n",
               [](const std::string &Bytes) {
                 EventSplitter Events;
                 StreamEndCheck Ending;
                 SseParser Parser;
                 for (std::size_t At = 0; At < Bytes.size(); At += 7) {
                   Events.appendBytes(Bytes.substr(At, 7));
                   Ending.append(Bytes.substr(At, 7));
                   (void)Parser.feed(Bytes.substr(At, 7));
                 }
                 Ending.ending(true);
               });
  forMutations(
      "completions",
      R"({"id":"r","model":"a@1","usage":{"total_tokens":9},)"
      R"("messages":[{"content":["x"]}],"max_tokens":5,"stream":true})",
      [](const std::string &Bytes) {
        auto Request = decodeCompletion(Bytes);
        if (isOk(Request))
          encodeForEngine(valueOf(Request), "m", 5, 1);
        decodeUsage(Bytes);
        isResponseTo(Bytes, {});
      });
}
