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

/// Generates almost valid inputs: a valid text with some bytes changed, cut off
/// or duplicated.
static rc::Gen<std::string> corrupted(std::string Valid) {
  return rc::gen::exec([Valid] {
    std::string Text = Valid;
    int Changes = *rc::gen::inRange(1, 6);
    for (int Change = 0; Change < Changes && !Text.empty(); ++Change) {
      auto Position = *rc::gen::inRange<std::size_t>(0, Text.size());
      switch (*rc::gen::inRange(0, 3)) {
      case 0:
        Text[Position] = *rc::gen::arbitrary<char>();
        break;
      case 1:
        Text.resize(Position);
        break;
      default:
        Text.insert(Position, Text.substr(Position / 2, 7));
      }
    }
    return Text;
  });
}

TEST_CASE("frames") {
  rc::prop("are decoded the same however their bytes are split",
           [](std::vector<std::string> Bodies, std::uint64_t Correlation) {
             std::string Bytes;
             for (const std::string &Body : Bodies)
               Bytes += encodeFrame({FrameKind::Request, MessageType::Heartbeat,
                                     Correlation, Body});
             std::string Arrived;
             std::vector<std::string> Decoded;
             while (!Bytes.empty()) {
               auto Size = *rc::gen::inRange<std::size_t>(1, Bytes.size() + 1);
               Arrived += Bytes.substr(0, Size);
               Bytes.erase(0, Size);
               for (auto Frame = extractFrame(Arrived); valueOf(Frame);
                    Frame = extractFrame(Arrived)) {
                 RC_ASSERT(valueOf(Frame)->CorrelationId_ == Correlation);
                 Decoded.push_back(valueOf(Frame)->Payload_);
               }
             }
             RC_ASSERT(Decoded == Bodies);
           });

  rc::prop(
      "that are incomplete or corrupted give a frame, no frame yet or an error",
      [] {
        auto Bytes = *corrupted(encodeFrame(
            {FrameKind::Notice, MessageType::Heartbeat, 7, "payload"}));
        auto Before = Bytes.size();
        auto Frame = extractFrame(Bytes);
        RC_ASSERT(Bytes.size() <= Before);
        if (!isOk(Frame))
          RC_ASSERT(!errorOf(Frame).Message_.empty());
      });
}

TEST_CASE("event streams") {
  rc::prop("give the same events however their bytes are split",
           [](std::vector<std::string> Words) {
             std::string Stream;
             std::vector<std::string> Sent;
             for (std::string Word : Words) {
               std::erase_if(Word, [](char Character) {
                 return Character == '\n' || Character == '\r';
               });
               Sent.push_back("x" + Word);
               Stream += "data: x" + Word + "\n\n";
             }
             SseParser Parser;
             std::vector<std::string> Decoded;
             while (!Stream.empty()) {
               auto Size = *rc::gen::inRange<std::size_t>(1, Stream.size() + 1);
               auto Events = Parser.feed(Stream.substr(0, Size));
               Stream.erase(0, Size);
               RC_ASSERT(isOk(Events));
               for (const std::string &Event : valueOf(Events))
                 Decoded.push_back(Event);
             }
             RC_ASSERT(Decoded == Sent);
             RC_ASSERT(Parser.betweenEvents());
           });
}

TEST_CASE("codecs don't crash on corrupted input") {
  rc::prop("completions", [] {
    auto Text = *corrupted(R"({"model":"a@1","prompt":"hi","max_tokens":5,)"
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
    decodeSnapshot(*corrupted(encodeSnapshot(Snapshot)));
  });
  rc::prop("change sets", [] {
    decodeChangeSet(*corrupted(R"({"submit_id":"s","base_revision":2,"put":[)"
                               R"({"kind":"customer","name":"a"}],"remove":[)"
                               R"({"kind":"key","name":"k"}]})"));
  });
  rc::prop("table replies", [] {
    auto Rows = *corrupted(encodeRows({{"a", "b", 3}}));
    decodeRows(Rows);
    decodeOutcome({*rc::gen::element(200, 409, 500), {}, Rows});
    decodeTransaction(
        *corrupted(encodeTransaction({{{"a", 1}}, {{"a", "b"}}})));
    decodeVms(
        *corrupted(encodeVms({{"v", "d", "127.0.0.1:1", VmState::Live}})));
  });
  rc::prop("claims", [] {
    ClaimRow Row;
    Row.Reply_ = {200, {{"A", "b"}}, std::string("\0\xff", 2)};
    decodeClaim(*corrupted(encodeClaim(Row)));
  });
  rc::prop("engine status", [] {
    decodeEngineStatus(
        *corrupted(encodeEngineStatus({"i", 1, 2, {{"a@1", 1}}})));
  });
}

TEST_CASE("an encoded claim passes through the table's codec unchanged") {
  rc::prop("whatever bytes the body holds", [](std::string Body) {
    ClaimRow Row;
    Row.Reply_.Body_ = Body;
    std::string Value = encodeClaim(Row);
    auto Rows = decodeRows(encodeRows({{"claim/a", Value, 1}}));
    RC_ASSERT(isOk(Rows));
    RC_ASSERT(valueOf(Rows).front().Value_ == Value);
  });
}

TEST_CASE("base64") {
  rc::prop("decodes to the original bytes", [](std::string Bytes) {
    RC_ASSERT(base64Decode(base64Encode(Bytes)) == Bytes);
  });
  rc::prop("does not crash on invalid text",
           [](std::string Text) { base64Decode(Text); });
}

TEST_CASE("an encoded claim decodes to the same reply") {
  rc::prop(
      "with its body and headers", [](std::string Body, std::string Value) {
        ClaimRow Row;
        Row.State_ = ClaimState::Answered;
        Row.Reply_.Body_ = Body;
        std::erase_if(Value, [](char Character) {
          return static_cast<unsigned char>(Character) >= 128;
        });
        Row.Reply_.Headers_.add("X-Name", Value);
        auto Decoded = decodeClaim(encodeClaim(Row));
        RC_ASSERT(isOk(Decoded));
        RC_ASSERT(valueOf(Decoded).Reply_.Body_ == Body);
        RC_ASSERT(valueOf(Decoded).Reply_.Headers_.find("X-Name") == Value);
      });
}
