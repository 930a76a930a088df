#include "Relay/RelayRequest.h"

#include <catch2/catch.hpp>

using namespace anvil;

TEST_CASE("a request to relay is read as it was written") {
  RelayRequest Sent{
      "key", "vm-1@10.1.0.25", "a1b2", "request \r\n 7", "i-\x01\xff", -5,
      true};
  HttpRequest Encoded = encodeRelayRequest(Sent);
  auto Read = decodeRelayRequest(Encoded.Method_, Encoded.Headers_);
  REQUIRE(Read);
  CHECK(Read->Key_ == Sent.Key_);
  CHECK(Read->Vm_ == Sent.Vm_);
  CHECK(Read->Tunnel_ == Sent.Tunnel_);
  CHECK(Read->RequestId_ == Sent.RequestId_);
  CHECK(Read->Target_ == Sent.Target_);
  CHECK(Read->Incarnation_ == Sent.Incarnation_);
  CHECK(Read->AsksIncarnation_);
  CHECK(Read->AsksFrames_);
  for (const HttpHeader &Header : Encoded.Headers_)
    CHECK(Header.Value_.find_first_of("\r\n") == std::string::npos);

  SECTION("of another method it isn't one") {
    CHECK_FALSE(decodeRelayRequest("POST", Encoded.Headers_));
  }
  SECTION("from an earlier release it asks for no frames") {
    Sent.AsksFrames_ = false;
    HttpRequest Earlier = encodeRelayRequest(Sent);
    auto Known = decodeRelayRequest(Earlier.Method_, Earlier.Headers_);
    REQUIRE(Known);
    CHECK_FALSE(Known->AsksFrames_);
  }
  SECTION("with a question about the target") {
    Sent.Question_ = {"/health?a=\r\n", std::chrono::milliseconds(4)};
    HttpRequest Asking = encodeRelayRequest(Sent);
    auto Asked = decodeRelayRequest(Asking.Method_, Asking.Headers_);
    REQUIRE(Asked);
    REQUIRE(Asked->Question_);
    CHECK(Asked->Question_->Path_ == Sent.Question_->Path_);
    CHECK(Asked->Question_->CloseTime_ == Sent.Question_->CloseTime_);
    CHECK_FALSE(Read->Question_);
  }
  SECTION("without any of its headers neither") {
    for (const HttpHeader &Left : Encoded.Headers_) {
      if (Left.Name_ == "Relay-Confirm" || Left.Name_ == "Tunnel-Framing")
        continue;
      HttpHeaders Others;
      for (const HttpHeader &Header : Encoded.Headers_)
        if (Header.Name_ != Left.Name_)
          Others.add(Header.Name_, Header.Value_);
      INFO(Left.Name_);
      CHECK_FALSE(decodeRelayRequest("CONNECT", Others));
    }
  }
  SECTION("with an incarnation that is no number neither") {
    HttpHeaders Changed;
    for (const HttpHeader &Header : Encoded.Headers_)
      Changed.add(Header.Name_, Header.Name_ == "Relay-Incarnation"
                                    ? "99999999999999999999"
                                    : Header.Value_);
    CHECK_FALSE(decodeRelayRequest("CONNECT", Changed));
  }
}

TEST_CASE("each refusal to relay has its name") {
  for (const auto &[Why, Name] : RelayRefusalNames) {
    HttpReply Reply = encodeRelayRefusal(Why);
    CHECK(Reply.Status_ != 200);
    CHECK(decodeRelayRefusal(Reply.Headers_).Why_ == Why);
  }
  CHECK(decodeRelayRefusal({}).Why_ == RelayRefusal::Malformed);
}

TEST_CASE("an answer about a target is read as it was written") {
  for (auto Incarnation :
       {std::optional<std::int64_t>(), std::optional<std::int64_t>(-5)}) {
    HttpReply Reply = encodeRelayAnswer({"open_port", Incarnation});
    auto Read = decodeRelayAnswer(Reply.Status_, Reply.Headers_);
    REQUIRE(Read);
    CHECK(Read->Sign_ == "open_port");
    CHECK(Read->Incarnation_ == Incarnation);
    CHECK_FALSE(decodeRelayAnswer(200, Reply.Headers_));
    CHECK_FALSE(decodeRelayAnswer(204, {}));
  }
}
