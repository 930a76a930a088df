#include "Placement/FairQueue.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace anvil;
using namespace std::chrono_literals;

namespace {

QueuedRequest makeRequest(std::uint64_t Id, std::string Customer,
                          TimePoint Now) {
  QueuedRequest Request;
  Request.Key_ = {"vm-1", "a", Id};
  Request.Customer_ = std::move(Customer);
  Request.Ageing_ = 5s;
  Request.Adapter_ = {"briefing", "1"};
  Request.Arrived_ = Now;
  Request.Deadline_ = Now + 30s;
  return Request;
}

bool allEligible(const QueuedRequest &) { return true; }

} // namespace

TEST_CASE("a fair queue") {
  rc::prop(
      "serves customers tokens by their weights while all of them wait", [] {
        FairQueue Queue({4000, 4000});
        TimePoint Now{};
        std::map<std::string, double> Weights{
            {"small", 1}, {"large", *rc::gen::inRange(1, 9) * 1.0}};
        std::uint64_t Id = 0;
        double Largest = 0;
        for (const auto &[Customer, Weight] : Weights)
          for (int Count = 0; Count < 400; ++Count) {
            QueuedRequest Request = makeRequest(++Id, Customer, Now);
            Request.Weight_ = Weight;
            Request.Tokens_ = *rc::gen::inRange(1, 50);
            Largest = std::max(Largest, Request.Tokens_);
            RC_ASSERT(Queue.push(Request));
          }
        std::map<std::string, double> Served;
        for (int Count = 0; Count < 300; ++Count) {
          auto Next = Queue.pop(Now, allEligible);
          Served[Next->Customer_] += Next->Tokens_;
          double Gap = Served["large"] / Weights["large"] - Served["small"];
          RC_ASSERT(std::abs(Gap) <= 2 * Largest + 1);
        }
      });

  rc::prop("starves no request past the ageing bound, loses none and "
           "duplicates none",
           [] {
             FairQueue Queue({64, 64});
             TimePoint Now{};
             std::map<PermitKey, TimePoint> Waiting;
             std::uint64_t Id = 0;
             for (int Step = 0; Step < 400; ++Step) {
               Now += 100ms;
               auto Added = *rc::gen::inRange(0, 3);
               for (int Count = 0; Count < Added; ++Count) {
                 auto Customer = *rc::gen::elementOf(
                     std::vector<std::string>{"a", "b", "c"});
                 QueuedRequest Request = makeRequest(++Id, Customer, Now);
                 Request.Priority_ = *rc::gen::inRange(0, 3);
                 Request.Tokens_ = *rc::gen::inRange(1, 100);
                 if (Queue.push(Request))
                   Waiting[Request.Key_] = Now;
               }
               auto Next = Queue.pop(Now, allEligible);
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

  SECTION("serves the higher class first") {
    FairQueue Queue;
    TimePoint Now{};
    QueuedRequest Note = makeRequest(1, "a", Now);
    QueuedRequest Booking = makeRequest(2, "a", Now);
    Booking.Priority_ = 9;
    REQUIRE(Queue.push(Note));
    REQUIRE(Queue.push(Booking));

    SECTION("until the lower one has aged") {
      REQUIRE(Queue.pop(Now + 5s, allEligible)->Key_.Id_ == 1);
    }
    SECTION("and skips a request that is not eligible yet") {
      auto IsEligible = [](const QueuedRequest &Item) {
        return Item.Key_.Id_ == 1;
      };
      REQUIRE(Queue.pop(Now, IsEligible)->Key_.Id_ == 1);
      REQUIRE(Queue.pop(Now, allEligible)->Key_.Id_ == 2);
    }
    SECTION("but in order of arrival when configured so") {
      FairQueue Plain({}, QueueOrder::FirstCome);
      REQUIRE(Plain.push(Note));
      REQUIRE(Plain.push(Booking));
      REQUIRE(Plain.pop(Now, allEligible)->Key_.Id_ == 1);
    }
  }

  SECTION("is bounded per customer and in total") {
    FairQueue Queue({3, 2});
    REQUIRE(Queue.push(makeRequest(1, "a", {})));
    REQUIRE(Queue.push(makeRequest(2, "a", {})));
    REQUIRE_FALSE(Queue.push(makeRequest(3, "a", {})));
    REQUIRE(Queue.push(makeRequest(4, "b", {})));
    REQUIRE_FALSE(Queue.push(makeRequest(5, "c", {})));
  }
}
