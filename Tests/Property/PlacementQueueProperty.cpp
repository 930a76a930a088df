#include "Placement/FairQueue.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace anvil;
using namespace std::chrono_literals;

namespace {

QueuedRequest requestOf(std::uint64_t Id, std::string Customer, TimePoint Now) {
  QueuedRequest Made;
  Made.Key_ = {"vm-1", "a", Id};
  Made.Customer_ = std::move(Customer);
  Made.Ageing_ = 5s;
  Made.Adapter_ = {"briefing", "1"};
  Made.Arrived_ = Now;
  Made.Deadline_ = Now + 30s;
  return Made;
}

bool anyMayGo(const QueuedRequest &) { return true; }

} // namespace

TEST_CASE("a fair queue") {
  rc::prop(
      "gives customers tokens by their weights while all of them wait", [] {
        FairQueue Queue({4000, 4000});
        TimePoint Now{};
        std::map<std::string, double> Weights{
            {"small", 1}, {"large", *rc::gen::inRange(1, 9) * 1.0}};
        std::uint64_t Id = 0;
        double Largest = 0;
        for (const auto &[Customer, Weight] : Weights)
          for (int Count = 0; Count < 400; ++Count) {
            QueuedRequest Made = requestOf(++Id, Customer, Now);
            Made.Weight_ = Weight;
            Made.Tokens_ = *rc::gen::inRange(1, 50);
            Largest = std::max(Largest, Made.Tokens_);
            RC_ASSERT(Queue.push(Made));
          }
        std::map<std::string, double> Served;
        for (int Count = 0; Count < 300; ++Count) {
          auto Next = Queue.pop(Now, anyMayGo);
          Served[Next->Customer_] += Next->Tokens_;
          double Gap = Served["large"] / Weights["large"] - Served["small"];
          RC_ASSERT(std::abs(Gap) <= 2 * Largest + 1);
        }
      });

  rc::prop(
      "starves nobody past the ageing bound, and loses and doubles none", [] {
        FairQueue Queue({64, 64});
        TimePoint Now{};
        std::map<PermitKey, TimePoint> Waiting;
        std::uint64_t Id = 0;
        for (int Step = 0; Step < 400; ++Step) {
          Now += 100ms;
          auto Added = *rc::gen::inRange(0, 3);
          for (int Count = 0; Count < Added; ++Count) {
            auto Who =
                *rc::gen::elementOf(std::vector<std::string>{"a", "b", "c"});
            QueuedRequest Made = requestOf(++Id, Who, Now);
            Made.Priority_ = *rc::gen::inRange(0, 3);
            Made.Tokens_ = *rc::gen::inRange(1, 100);
            if (Queue.push(Made))
              Waiting[Made.Key_] = Now;
          }
          auto Next = Queue.pop(Now, anyMayGo);
          if (!Next)
            continue;
          RC_ASSERT(Waiting.count(Next->Key_) == 1u);
          for (const auto &[Key, Since] : Waiting)
            if (Now - Since >= 5s)
              RC_ASSERT(Next->Arrived_ <= Since);
          Waiting.erase(Next->Key_);
          RC_ASSERT(Queue.size() == Waiting.size());
        }
      });

  SECTION("takes the higher class first") {
    FairQueue Queue;
    TimePoint Now{};
    QueuedRequest Note = requestOf(1, "a", Now);
    QueuedRequest Booking = requestOf(2, "a", Now);
    Booking.Priority_ = 9;
    REQUIRE(Queue.push(Note));
    REQUIRE(Queue.push(Booking));

    SECTION("until the lower one has aged") {
      REQUIRE(Queue.pop(Now + 5s, anyMayGo)->Key_.Id_ == 1);
    }
    SECTION("and passes over one that may not go yet") {
      auto MayGo = [](const QueuedRequest &Item) { return Item.Key_.Id_ == 1; };
      REQUIRE(Queue.pop(Now, MayGo)->Key_.Id_ == 1);
      REQUIRE(Queue.pop(Now, anyMayGo)->Key_.Id_ == 2);
    }
    SECTION("but in order of arrival when told so") {
      FairQueue Plain({}, QueueOrder::FirstCome);
      REQUIRE(Plain.push(Note));
      REQUIRE(Plain.push(Booking));
      REQUIRE(Plain.pop(Now, anyMayGo)->Key_.Id_ == 1);
    }
  }

  SECTION("is bounded for each customer and in all") {
    FairQueue Queue({3, 2});
    REQUIRE(Queue.push(requestOf(1, "a", {})));
    REQUIRE(Queue.push(requestOf(2, "a", {})));
    REQUIRE_FALSE(Queue.push(requestOf(3, "a", {})));
    REQUIRE(Queue.push(requestOf(4, "b", {})));
    REQUIRE_FALSE(Queue.push(requestOf(5, "c", {})));
  }
}
