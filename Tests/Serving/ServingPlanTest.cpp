#include "Serving/ServingPlan.h"

#include <catch2/catch.hpp>

using namespace anvil;

static RoutePlan route(std::string Name, std::string Host, std::string Prefix) {
  RoutePlan Route;
  Route.Name_ = std::move(Name);
  Route.Host_ = std::move(Host);
  Route.PathPrefix_ = std::move(Prefix);
  Route.Splits_ = {{"service", 1}};
  return Route;
}

TEST_CASE("a serving plan", "[plan]") {
  CustomerPlan Customer;
  Customer.Name_ = "serenas";
  Customer.Keys_ = {"key-1", "key-2"};
  ServingPlan Plan(7,
                   {route("wide", "a.example", "/x/"),
                    route("narrow", "a.example", "/x/y/"),
                    route("other", "b.example", "/x/")},
                   {}, {Customer}, {});
  SECTION("finds the route with the longest prefix of the path") {
    REQUIRE(Plan.findRoute("a.example", "/x/z"));
    CHECK(Plan.findRoute("a.example", "/x/z")->Name_ == "wide");
    CHECK(Plan.findRoute("a.example", "/x/y/1")->Name_ == "narrow");
    CHECK(Plan.findRoute("b.example", "/x/y/1")->Name_ == "other");
    SECTION("whatever the host's case and port") {
      CHECK(Plan.findRoute("A.Example:8080", "/x/")->Name_ == "wide");
    }
    SECTION("and none for another path or host") {
      CHECK_FALSE(Plan.findRoute("a.example", "/xy"));
      CHECK_FALSE(Plan.findRoute("c.example", "/x/"));
    }
  }
  SECTION("finds the customer of a key") {
    REQUIRE(Plan.findCustomerOfKey("key-2"));
    CHECK(Plan.findCustomerOfKey("key-2")->Name_ == "serenas");
    CHECK_FALSE(Plan.findCustomerOfKey("key-3"));
    CHECK_FALSE(Plan.findCustomerOfKey(""));
  }
}

TEST_CASE("a route with split traffic", "[plan]") {
  RoutePlan Split = route("r", "h", "/");
  Split.Splits_ = {{"old", 90}, {"new", 10}};
  CHECK(chooseService(Split, 0) == "old");
  CHECK(chooseService(Split, 0.89) == "old");
  CHECK(chooseService(Split, 0.91) == "new");
  CHECK(chooseService(Split, 0.999999) == "new");
}
