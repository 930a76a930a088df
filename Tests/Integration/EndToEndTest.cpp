#include "Integration/Fleet.h"

#include <catch2/catch.hpp>

using namespace anvil;
using nlohmann::json;

TEST_CASE("callers are served through two VMs", "[end-to-end]") {
  Fleet System;

  SECTION("a streamed request gets a complete reply through each VM") {
    for (const std::string &Vm : System.vmNames()) {
      CallerReply Reply = System.call(Vm, completion("a@1", "hello", 20, true));
      INFO(Reply.Body_);
      REQUIRE(Reply.isCompleteStream());
      REQUIRE(streamedText(Reply.Body_) == expectedText("a@1", 20));
      REQUIRE(Reply.Headers_["x-adapter"] == "a@1");
    }
    REQUIRE(System.engineRecords("run").size() == 2);
  }

  SECTION("a request without streaming gets its reply as well") {
    CallerReply Reply = System.call("vm-1", completion("b", "hello", 5));
    REQUIRE(Reply.Status_ == 200);
    REQUIRE(Reply.json()["choices"][0]["text"] == expectedText("b@2", 5));
  }

  SECTION("a booking sent twice through different VMs runs once") {
    CallerReply First = System.call("vm-1", booking("van-1", "{}"));
    CallerReply Second = System.call("vm-2", booking("van-1", "{}"));
    REQUIRE(First.Status_ == 200);
    REQUIRE(Second.Body_ == First.Body_);
    REQUIRE(System.records("service", "call").size() == 1);
  }

  SECTION("each kind of invalid input gets its JSON error") {
    struct Case {
      CallerRequest Request_;
      int Status_;
      std::string Code_;
    };
    CallerRequest NoJson = completion("a", "x", 1);
    NoJson.Body_ = "{";
    CallerRequest NoPrompt = completion("a", "x", 1);
    NoPrompt.Body_ = R"({"model": "a"})";
    CallerRequest BadTokens = completion("a", "x", -1);
    CallerRequest UnknownRoute = completion("a", "x", 1);
    UnknownRoute.Target_ = "/nowhere";
    CallerRequest WrongMethod = completion("a", "x", 1);
    WrongMethod.Method_ = "DELETE";
    CallerRequest LongBody = completion("a", std::string(9 << 20, 'x'), 1);
    CallerRequest LongHead = completion("a", "x", 1);
    LongHead.Headers_.push_back({"X-Long", std::string(20 << 10, 'x')});
    std::vector<Case> Cases{
        {NoJson, 400, "malformed_request"},
        {NoPrompt, 400, "malformed_request"},
        {BadTokens, 400, "malformed_request"},
        {UnknownRoute, 404, "unknown_route"},
        {WrongMethod, 405, "method_not_allowed"},
        {LongBody, 413, "body_too_large"},
        {LongHead, 431, "header_too_large"},
        {completion("none", "x", 1), 404, "unknown_adapter"},
        {completion("a@9", "x", 1), 404, "unknown_version"},
        {completion("a", "x", 1, false, ""), 401, "missing_key"},
        {completion("a", "x", 1, false, "wrong"), 401, "invalid_key"}};
    for (const Case &Invalid : Cases) {
      CallerReply Reply = System.call("vm-1", Invalid.Request_);
      INFO(Invalid.Code_ << ": " << Reply.Status_ << " " << Reply.Body_);
      CHECK(Reply.Status_ == Invalid.Status_);
      CHECK(Reply.problem("code") == Invalid.Code_);
    }
    REQUIRE(System.engineRecords("run").empty());

    CallerConnection Raw(System.at("vm-1").port("caller"));
    Raw.sendRaw("no http at all\r\n\r\n");
    CallerReply Reply = Raw.finish(Millis(5000));
    REQUIRE(Reply.Status_ == 400);
    REQUIRE(Reply.problem("code") == "malformed_request");
  }
}
