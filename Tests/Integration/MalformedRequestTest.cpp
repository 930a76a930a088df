// Guards against LOST: one malformed request ends the process of a VM, and all
// that it serves is lost.

#include "Integration/EntryFleet.h"

#include <catch2/catch.hpp>

using namespace anvil;

TEST_CASE("no malformed request ends a VM", "[malformed-request]") {
  EntryFleet System;
  SECTION("by the name of an adapter that is no text") {
    // The owner of the engine that gets the order is one of the two VMs.
    for (const char *Name : {"base/a\xff", "base/\xc3(", "ba\xe9se/a1"})
      for (const char *Vm : {"vm-1", "vm-2"}) {
        CallerReply Reply = System.call(Vm, "/stream/x", {{"X-Model", Name}});
        CHECK(Reply.Status_ == 400);
        CHECK(Reply.Body_.find("UTF-8") != std::string::npos);
      }
  }
  SECTION("by a method that may have no body") {
    CallerRequest Request = System.request("/safe/x", {});
    for (const char *Method : {"TRACE", "HEAD", "GET", "DELETE", "OPTIONS"}) {
      Request.Method_ = Method;
      Request.Body_ = "body";
      INFO(Method);
      CHECK(callOnce(System.callerPort("vm-1"), Request).Status_ == 200);
    }
  }
  SECTION("by headers that are no text") {
    for (const char *Header :
         {"X-Request-Id", "X-Prompt-Prefix", "X-Other", "X-Token-Counts"})
      CHECK(System
                .call("vm-1", "/stream/x",
                      {{"X-Model", "base/warm"}, {Header, "a\xff"}})
                .Status_ == 200);
  }
  CHECK(System.call("vm-1", "/safe/x").Status_ == 200);
  CHECK(System.call("vm-2", "/safe/x").Status_ == 200);
  CHECK_FALSE(System.at("vm-1").exitedUnexpectedly());
  CHECK_FALSE(System.at("vm-2").exitedUnexpectedly());
}
