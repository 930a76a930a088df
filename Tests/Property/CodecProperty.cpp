#include "Gateway/OpenAiCodec.h"
#include "Gateway/SseParser.h"
#include "Ledger/ClaimCodec.h"
#include "Objects/ChangeSet.h"
#include "Objects/Digest.h"
#include "Objects/ObjectCodec.h"
#include "Peer/FrameCodec.h"
#include "Placement/EngineCodec.h"
#include "TableService/PlatformCodec.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace anvil;

/// Texts near to what a codec expects: a good one with some bytes changed, cut
/// off or doubled.
static rc::Gen<std::string> damaged(std::string Good) {
  return rc::gen::exec([Good] {
    std::string Text = Good;
    int Changes = *rc::gen::inRange(1, 6);
    for (int Change = 0; Change < Changes && !Text.empty(); ++Change) {
      auto Place = *rc::gen::inRange<std::size_t>(0, Text.size());
      switch (*rc::gen::inRange(0, 3)) {
      case 0:
        Text[Place] = *rc::gen::arbitrary<char>();
        break;
      case 1:
        Text.resize(Place);
        break;
      default:
        Text.insert(Place, Text.substr(Place / 2, 7));
      }
    }
    return Text;
  });
}

TEST_CASE("frames") {
  rc::prop("come back whole from any pieces",
           [](std::vector<std::string> Bodies, std::uint64_t Correlation) {
             std::string Bytes;
             for (const std::string &Body : Bodies)
               Bytes += encodeFrame({FrameKind::Request, MessageType::Heartbeat,
                                     Correlation, Body});
             std::string Arrived;
             std::vector<std::string> Got;
             while (!Bytes.empty()) {
               auto Size = *rc::gen::inRange<std::size_t>(1, Bytes.size() + 1);
               Arrived += Bytes.substr(0, Size);
               Bytes.erase(0, Size);
               for (auto Taken = takeFrame(Arrived); valueOf(Taken);
                    Taken = takeFrame(Arrived)) {
                 RC_ASSERT(valueOf(Taken)->Correlation_ == Correlation);
                 Got.push_back(valueOf(Taken)->Payload_);
               }
             }
             RC_ASSERT(Got == Bodies);
           });

  rc::prop("that are torn or damaged give a frame, a wait or an error", [] {
    auto Bytes = *damaged(
        encodeFrame({FrameKind::Notice, MessageType::Heartbeat, 7, "payload"}));
    auto Before = Bytes.size();
    auto Taken = takeFrame(Bytes);
    RC_ASSERT(Bytes.size() <= Before);
    if (!isOk(Taken))
      RC_ASSERT(!errorOf(Taken).Message_.empty());
  });
}

TEST_CASE("event streams") {
  rc::prop("give the same events however they are cut",
           [](std::vector<std::string> Words) {
             std::string Stream;
             std::vector<std::string> Sent;
             for (std::string Word : Words) {
               std::erase_if(Word, [](char Letter) {
                 return Letter == '\n' || Letter == '\r';
               });
               Sent.push_back("x" + Word);
               Stream += "data: x" + Word + "\n\n";
             }
             SseParser Parser;
             std::vector<std::string> Got;
             while (!Stream.empty()) {
               auto Size = *rc::gen::inRange<std::size_t>(1, Stream.size() + 1);
               auto Events = Parser.feed(Stream.substr(0, Size));
               Stream.erase(0, Size);
               RC_ASSERT(isOk(Events));
               for (const std::string &Event : valueOf(Events))
                 Got.push_back(Event);
             }
             RC_ASSERT(Got == Sent);
             RC_ASSERT(Parser.betweenEvents());
           });
}

TEST_CASE("damaged input never gets past a codec as a crash") {
  rc::prop("completions", [] {
    auto Text = *damaged(R"({"model":"a@1","prompt":"hi","max_tokens":5,)"
                         R"("messages":[{"content":"x"}],"stream":true})");
    auto Decoded = decodeCompletion(Text);
    if (!isOk(Decoded))
      RC_ASSERT(!errorOf(Decoded).Action_.empty());
    decodeUsage(Text);
  });
  rc::prop("snapshots", [] {
    ConfigSnapshot Snapshot{3, {}};
    Snapshot.Objects_.put(Target{});
    Snapshot.Objects_.put(Customer{});
    decodeSnapshot(*damaged(encodeSnapshot(Snapshot)));
  });
  rc::prop("change sets", [] {
    decodeChangeSet(*damaged(R"({"submit_id":"s","base_revision":2,"put":[)"
                             R"({"kind":"customer","name":"a"}],"remove":[)"
                             R"({"kind":"key","name":"k"}]})"));
  });
  rc::prop("table answers", [] {
    auto Rows = *damaged(encodeRows({{"a", "b", 3}}));
    decodeRows(Rows);
    decodeOutcome({*rc::gen::element(200, 409, 500), {}, Rows});
    decodeTransaction(*damaged(encodeTransaction({{{"a", 1}}, {{"a", "b"}}})));
    decodeVms(*damaged(encodeVms({{"v", "d", "127.0.0.1:1", VmState::Live}})));
  });
  rc::prop("claims", [] {
    ClaimRow Row;
    Row.Answer_ = {200, {{"A", "b"}}, std::string("\0\xff", 2)};
    decodeClaim(*damaged(encodeClaim(Row)));
  });
  rc::prop("engine status", [] {
    decodeEngineStatus(*damaged(encodeEngineStatus({"i", 1, 2, {{"a@1", 1}}})));
  });
}

TEST_CASE("a claim is text that the table's codec can hold") {
  rc::prop("whatever the answer's bytes are", [](std::string Body) {
    ClaimRow Row;
    Row.Answer_.Body_ = Body;
    std::string Value = encodeClaim(Row);
    auto Rows = decodeRows(encodeRows({{"claim/a", Value, 1}}));
    RC_ASSERT(isOk(Rows));
    RC_ASSERT(valueOf(Rows).front().Value_ == Value);
  });
}

TEST_CASE("base64") {
  rc::prop("gives the bytes back", [](std::string Bytes) {
    RC_ASSERT(base64Decode(base64Encode(Bytes)) == Bytes);
  });
  rc::prop("never crashes on other text",
           [](std::string Text) { base64Decode(Text); });
}

TEST_CASE("claims hold any answer") {
  rc::prop("bytes and headers", [](std::string Body, std::string Value) {
    ClaimRow Row;
    Row.State_ = ClaimState::Answered;
    Row.Answer_.Body_ = Body;
    std::erase_if(Value, [](char Letter) {
      return static_cast<unsigned char>(Letter) >= 128;
    });
    Row.Answer_.Headers_.add("X-Name", Value);
    auto Again = decodeClaim(encodeClaim(Row));
    RC_ASSERT(isOk(Again));
    RC_ASSERT(valueOf(Again).Answer_.Body_ == Body);
    RC_ASSERT(valueOf(Again).Answer_.Headers_.find("X-Name") == Value);
  });
}
