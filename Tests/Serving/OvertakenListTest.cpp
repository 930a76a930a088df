#include "Entry/TargetListService.h"
#include "Http/HttpServer.h"
#include "Objects/Digest.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace anvil;
namespace asio = boost::asio;
using nlohmann::json;

static RegisteredTarget targetOf(const std::string &Id) {
  RegisteredTarget Target;
  Target.Id_ = Id;
  Target.Incarnation_ = 7;
  Target.Service_ = "desk";
  Target.Address_ = "127.0.0.1:9";
  Target.DataCentre_ = "north";
  Target.Slots_ = 4;
  return Target;
}

static json rowOf(const RegisteredTarget &Entry) {
  json Value = {{"Service", Entry.Service_}, {"Address", Entry.Address_},
                {"Zone", Entry.DataCentre_}, {"Slots", Entry.Slots_},
                {"State", "ready"},          {"born", Entry.Incarnation_}};
  return {{"Key", Entry.Id_},
          {"RowVersion", 1},
          {"Value", base64Encode(Value.dump())}};
}

/// The update from a VM whose list changed from `Before` to `Read`.
static TargetListUpdate updateOf(const std::vector<RegisteredTarget> &Before,
                                 const std::vector<RegisteredTarget> &Read) {
  TimePoint Now = BootClock::now();
  TargetListing Listing;
  Listing.replace(Before, Now);
  Listing.replace(Read, Now);
  return {Listing.recentChanges(Now), Listing.digest(), {}};
}

/// A list service whose store delays its second reply, which holds the rows
/// stored at the time of the request. Both targets are listed at first.
struct DelayedStore {
  explicit DelayedStore(Duration Period)
      : Server_(Loop_.get_executor(), {},
                [this](HttpExchange &Exchange) { return answer(Exchange); }) {
    IsListening_ = isOk(Server_.listen({"127.0.0.1", 0}));
    Settings_.Store_.TargetListPeriodMs_ = toMillis(Period);
    auto Client = std::make_shared<platform::StoreClient>(
        Endpoint{"127.0.0.1", Server_.port()}, std::chrono::seconds(60),
        std::make_shared<Metrics>());
    List_ = std::make_unique<TargetListService>(Loop_.get_executor(), Settings_,
                                                Client);
    List_->ListRead_.attach([this](TimePoint) { ++Read_; });
    IsListening_ &= isOk(List_->start());
  }

  asio::awaitable<void> answer(HttpExchange &Exchange) {
    json Rows = json::array();
    for (const RegisteredTarget &Entry : Stored_)
      Rows.push_back(rowOf(Entry));
    json Body = {{"Rows", Rows}, {"RowVersion", 1}, {"HasMore", false}};
    boost::system::error_code Ignored;
    if (++Requests_ == 2)
      co_await Delay_.async_wait(
          asio::redirect_error(asio::use_awaitable, Ignored));
    HttpReply Reply = jsonReply(200, Body.dump());
    co_await Exchange.respond(std::move(Reply));
  }

  template <class Condition> void runUntil(Condition IsMet) {
    while (!IsMet())
      Loop_.run_one();
  }

  TargetUsability usabilityOf(const std::string &Id) const {
    return List_->roster().find(Id)->Usability_;
  }

  asio::io_context Loop_{1};
  asio::steady_timer Delay_{Loop_, asio::steady_timer::time_point::max()};
  std::vector<RegisteredTarget> Stored_{targetOf("a"), targetOf("b")};
  int Requests_ = 0;
  int Read_ = 0;
  HttpServer Server_;
  EntrySettings Settings_;
  std::unique_ptr<TargetListService> List_;
  bool IsListening_ = false;
};

TEST_CASE("a target list that another VM reads while the store's reply is late",
          "[DRAIN]") {
  std::vector<RegisteredTarget> Both{targetOf("a"), targetOf("b")};
  std::vector<RegisteredTarget> OnlyA{targetOf("a")};
  TargetListUpdate WithoutB = updateOf(Both, OnlyA);
  // Without the changes the digest can't be reached.
  TargetListUpdate Inconsistent = WithoutB;
  Inconsistent.Changes_ = {};

  SECTION("is not reverted by that reply") {
    DelayedStore Store(std::chrono::milliseconds(50));
    REQUIRE(Store.IsListening_);
    Store.runUntil([&] { return Store.Requests_ == 2; });
    Store.Stored_ = OnlyA;
    Store.List_->applyPeerRead(BootClock::now(), WithoutB);
    REQUIRE(Store.usabilityOf("b") == TargetUsability::Unlisted);
    bool WasRestored = false;
    Store.List_->Changed_.attach([&](const RosterChange &Change) {
      WasRestored |= Change.Usability_ == TargetUsability::Usable;
    });
    Store.Delay_.cancel();
    Store.runUntil([&] { return Store.Requests_ == 3; });
    CHECK_FALSE(WasRestored);
  }

  SECTION("is newer than that reply, even if reported after it arrived") {
    DelayedStore Store(std::chrono::milliseconds(50));
    REQUIRE(Store.IsListening_);
    Store.runUntil([&] { return Store.Requests_ == 2; });
    TimePoint ReadAt = BootClock::now();
    Store.Delay_.cancel();
    Store.runUntil([&] { return Store.Read_ == 2; });
    REQUIRE(Store.usabilityOf("b") == TargetUsability::Usable);
    Store.List_->applyPeerRead(ReadAt, WithoutB);
    CHECK(Store.usabilityOf("b") == TargetUsability::Unlisted);
  }

  // Guards against DRAIN: a VM that was cut off makes all others keep a target
  // that left.
  SECTION("has no lapsed entries because that VM couldn't read it before") {
    DelayedStore Store(std::chrono::milliseconds(50));
    REQUIRE(Store.IsListening_);
    Store.runUntil([&] { return Store.Read_ == 1; });
    TargetListUpdate AfterOutage = WithoutB;
    AfterOutage.LapseRemaining_ = std::chrono::seconds(2);
    Store.List_->applyPeerRead(BootClock::now(), AfterOutage);
    CHECK(Store.usabilityOf("b") == TargetUsability::Unlisted);
  }

  SECTION("causes another read if its changes can't be applied") {
    DelayedStore Store(std::chrono::hours(1));
    REQUIRE(Store.IsListening_);
    Store.runUntil([&] { return Store.Read_ == 1; });
    // With a period of one hour, only the unexplained difference causes a
    // read.
    Store.List_->applyPeerRead(BootClock::now(), Inconsistent);
    Store.runUntil([&] { return Store.Requests_ == 2; });
    Store.Stored_ = OnlyA;
    Store.List_->applyPeerRead(BootClock::now(), Inconsistent);
    Store.Delay_.cancel();
    Store.runUntil([&] { return Store.Read_ == 2; });
    constexpr int MaxTurns = 300;
    for (int Turn = 0; Turn < MaxTurns && Store.Read_ < 3; ++Turn)
      Store.Loop_.run_one();
    CHECK(Store.usabilityOf("b") == TargetUsability::Unlisted);
  }
}
