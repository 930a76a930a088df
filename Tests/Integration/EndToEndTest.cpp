#include "Integration/Fleet.h"

#include <catch2/catch.hpp>

using namespace anvil;
using nlohmann::json;

TEST_CASE("callers are served through two VMs", "[end-to-end]") {
  Fleet System;

  SECTION("a streamed request comes back whole through each") {
    for (const std::string &Vm : System.vmNames()) {
      Answer Given = System.call(Vm, completion("a@1", "hello", 20, true));
      INFO(Given.Body_);
      REQUIRE(Given.isWholeStream());
      REQUIRE(streamedText(Given.Body_) == words("a@1", 20));
      REQUIRE(Given.Headers_["x-adapter"] == "a@1");
    }
    REQUIRE(System.engineRecords("run").size() == 2);
  }

  SECTION("an answer in one piece too") {
    Answer Given = System.call("vm-1", completion("b", "hello", 5));
    REQUIRE(Given.Status_ == 200);
    REQUIRE(Given.json()["choices"][0]["text"] == words("b@2", 5));
  }

  SECTION("a booking sent twice through different VMs runs once") {
    Answer First = System.call("vm-1", booking("van-1", "{}"));
    Answer Second = System.call("vm-2", booking("van-1", "{}"));
    REQUIRE(First.Status_ == 200);
    REQUIRE(Second.Body_ == First.Body_);
    REQUIRE(System.records("service", "call").size() == 1);
  }

  SECTION("bad input of each kind gets its JSON error") {
    struct Case {
      Call Request_;
      int Status_;
      std::string Code_;
    };
    Call NoJson = completion("a", "x", 1);
    NoJson.Body_ = "{";
    Call NoPrompt = completion("a", "x", 1);
    NoPrompt.Body_ = R"({"model": "a"})";
    Call BadTokens = completion("a", "x", -1);
    Call Elsewhere = completion("a", "x", 1);
    Elsewhere.Target_ = "/nowhere";
    Call WrongMethod = completion("a", "x", 1);
    WrongMethod.Method_ = "DELETE";
    Call LongBody = completion("a", std::string(9 << 20, 'x'), 1);
    Call LongHead = completion("a", "x", 1);
    LongHead.Headers_.push_back({"X-Long", std::string(20 << 10, 'x')});
    std::vector<Case> Cases{
        {NoJson, 400, "malformed_request"},
        {NoPrompt, 400, "malformed_request"},
        {BadTokens, 400, "malformed_request"},
        {Elsewhere, 404, "unknown_route"},
        {WrongMethod, 405, "method_not_allowed"},
        {LongBody, 413, "body_too_large"},
        {LongHead, 431, "header_too_large"},
        {completion("none", "x", 1), 404, "unknown_adapter"},
        {completion("a@9", "x", 1), 404, "unknown_version"},
        {completion("a", "x", 1, false, ""), 401, "missing_key"},
        {completion("a", "x", 1, false, "wrong"), 401, "invalid_key"}};
    for (const Case &Bad : Cases) {
      Answer Given = System.call("vm-1", Bad.Request_);
      INFO(Bad.Code_ << ": " << Given.Status_ << " " << Given.Body_);
      CHECK(Given.Status_ == Bad.Status_);
      CHECK(Given.problem("code") == Bad.Code_);
    }
    REQUIRE(System.engineRecords("run").empty());

    CallerConnection Raw(System.at("vm-1").port("caller"));
    Raw.sendText("no http at all\r\n\r\n");
    Answer Given = Raw.finish(Millis(5000));
    REQUIRE(Given.Status_ == 400);
    REQUIRE(Given.problem("code") == "malformed_request");
  }
}
