#include "Http/MessageFraming.h"
#include "Http/HttpConnection.h"
#include "Http/HttpServer.h"

#include "Unit/PersistentCaller.h"
#include "Unit/SimpleResponses.h"

#include <boost/asio/executor_work_guard.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace anvil;
namespace asio = boost::asio;

using Fields = std::vector<HttpHeader>;

static MessageFraming framingOf(const Fields &Given, bool IsHttp11 = true) {
  MessageFraming Framing(IsHttp11);
  for (const HttpHeader &Field : Given)
    Framing.addField(Field.Name_, Field.Value_);
  return Framing;
}

static std::optional<FramingFault> faultOf(const FramingOutcome &Outcome) {
  const auto *Fault = std::get_if<FramingFault>(&Outcome);
  return Fault ? std::optional(*Fault) : std::nullopt;
}

static const std::string Coding = "Transfer-Encoding";
static const std::string Length = "Content-Length";

// Guards against a body that is read as the next request, and against an answer
// that passes for a whole one.
TEST_CASE("a head shows where its message ends") {
  SECTION("or has a fault, in requests and in responses") {
    using Row = std::pair<Fields, FramingFault>;
    for (const auto &[Given, Fault] : std::vector<Row>{
             {{{Coding, "xchunked"}}, FramingFault::ChunksNotLast},
             {{{Coding, "gzip"}}, FramingFault::ChunksNotLast},
             {{{Coding, "identity"}}, FramingFault::ChunksNotLast},
             {{{Coding, "chunked, identity"}}, FramingFault::ChunksNotLast},
             {{{Coding, "chunked;q=1"}}, FramingFault::ChunksNotLast},
             {{{Coding, "chunked x"}}, FramingFault::ChunksNotLast},
             {{{Coding, "\"chunked\""}}, FramingFault::ChunksNotLast},
             {{{Coding, "\vchunked"}}, FramingFault::ChunksNotLast},
             {{{Coding, ""}}, FramingFault::ChunksNotLast},
             {{{Coding, "chunked, chunked"}}, FramingFault::ChunksRepeated},
             {{{Coding, "chunked"}, {Coding, "Chunked"}},
              FramingFault::ChunksRepeated},
             {{{Coding, "gzip, chunked"}}, FramingFault::UnknownCoding},
             {{{Coding, "identity"}, {Coding, "chunked"}},
              FramingFault::UnknownCoding},
             {{{Coding, "chunked"}, {Length, "4"}},
              FramingFault::LengthAndCoding},
             {{{Length, "0"}, {Coding, "gzip"}}, FramingFault::LengthAndCoding},
             {{{Length, "4"}, {Length, "5"}}, FramingFault::DifferentLengths},
             {{{Length, "4, 5"}}, FramingFault::DifferentLengths},
             {{{Length, "+4"}}, FramingFault::BadLength},
             {{{Length, "-4"}}, FramingFault::BadLength},
             {{{Length, "4 4"}}, FramingFault::BadLength},
             {{{Length, "4,"}}, FramingFault::BadLength},
             {{{Length, "0x4"}}, FramingFault::BadLength},
             {{{Length, "4.0"}}, FramingFault::BadLength},
             {{{Length, ""}}, FramingFault::BadLength},
             {{{Length, "18446744073709551616"}}, FramingFault::BadLength}}) {
      INFO(Given.front().Value_);
      CHECK(faultOf(framingOf(Given).request()) == Fault);
      CHECK(faultOf(framingOf(Given).response(200, true)) == Fault);
      // There is no body that the fields could describe.
      for (unsigned Status : {100U, 204U, 304U})
        CHECK_FALSE(faultOf(framingOf(Given).response(Status, true)));
      CHECK_FALSE(faultOf(framingOf(Given).response(200, false)));
      CHECK(statusFor(Fault) ==
            (Fault == FramingFault::UnknownCoding ? 501 : 400));
    }
    CHECK(faultOf(framingOf({{Coding, "chunked"}}, false).request()) ==
          FramingFault::CodingInOldVersion);
  }
  SECTION("or is sound") {
    auto Read = [](const Fields &Given) {
      return std::get<StatedBody>(framingOf(Given).request());
    };
    for (const char *Value : {"chunked", "Chunked", "CHUNKED", "\tchunked "})
      CHECK(Read({{Coding, Value}}).Framing_ == BodyFraming::Chunks);
    for (const char *Value : {"4", "4, 4", "004"})
      CHECK(Read({{"content-length", Value}}).Length_ == 4);
    CHECK(Read({{Length, "4"}, {Length, "4"}}).Framing_ == BodyFraming::Length);
    CHECK(Read({{Length, "0"}}).Framing_ == BodyFraming::None);
    CHECK(Read({}).Framing_ == BodyFraming::None);
    auto Response = framingOf({}, false).response(200, true);
    CHECK(std::get<StatedBody>(Response).Framing_ == BodyFraming::UntilClose);
  }
  SECTION("which the parser must have read alike") {
    StatedBody Chunks{BodyFraming::Chunks, 0};
    StatedBody Four{BodyFraming::Length, 4};
    CHECK_FALSE(faultOf(confirm(Chunks, true, std::nullopt)));
    CHECK(faultOf(confirm(Chunks, false, std::nullopt)));
    CHECK_FALSE(faultOf(confirm(Four, false, 4)));
    CHECK(faultOf(confirm(Four, false, 5)));
    CHECK(faultOf(confirm(Four, false, std::nullopt)));
    CHECK(faultOf(confirm(StatedBody{}, true, std::nullopt)));
  }
}

namespace {

/// A server and what it took for requests.
struct ReadingServer {
  ReadingServer()
      : Server_(Loop_.get_executor(), {},
                [this](HttpExchange &Exchange) -> asio::awaitable<void> {
                  Paths_.push_back(Exchange.request().Target_);
                  Bodies_.push_back(Exchange.request().Body_);
                  co_await respondNoContent(Exchange);
                }) {
    Server_.setMalformedHook(respondStatusOnly);
    CHECK(isOk(Server_.listen({"127.0.0.1", 0})));
  }

  /// Sends these bytes, ends its side and returns the answers.
  std::string send(const std::string &Bytes) {
    PersistentCaller Caller(Loop_, Server_.port());
    asio::write(Caller.Socket_, asio::buffer(Bytes));
    Caller.Socket_.shutdown(asio::ip::tcp::socket::shutdown_send);
    return Caller.readToEnd();
  }

  asio::io_context Loop_{1};
  asio::executor_work_guard<asio::io_context::executor_type> Work_ =
      asio::make_work_guard(Loop_);
  std::vector<std::string> Paths_;
  std::vector<std::string> Bodies_;
  HttpServer Server_;
};

} // namespace

static const std::string Hidden = "GET /hidden HTTP/1.1\r\nHost: x\r\n\r\n";

static std::string requestWith(const std::string &Lines,
                               const std::string &Body) {
  return "POST /shown HTTP/1.1\r\nHost: x\r\n" + Lines + "\r\n" + Body;
}

TEST_CASE("no bytes of a body are read as a request") {
  ReadingServer Place;
  SECTION("if the head doesn't show where it ends") {
    std::string Chunk = "21\r\n" + Hidden + "\r\n0\r\n\r\n";
    auto [Lines, Status] = GENERATE(table<std::string, std::string>({
        {"Transfer-Encoding: xchunked\r\n", " 400 "},
        {"Transfer-Encoding: gzip\r\n", " 400 "},
        {"Transfer-Encoding: identity\r\n", " 400 "},
        {"Transfer-Encoding: chunked, identity\r\n", " 400 "},
        {"Transfer-Encoding: chunked, chunked\r\n", " 400 "},
        {"Transfer-Encoding:\r\n", " 400 "},
        {"Transfer-Encoding: gzip, chunked\r\n", " 501 "},
        {"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", " 501 "},
        {"Transfer-Encoding: gzip\r\nContent-Length: 0\r\n", " 400 "},
        {"Content-Length: 0\r\nTransfer-Encoding: chunked\r\n", " 400 "},
        {"Content-Length: 0\r\nContent-Length: 33\r\n", " 400 "},
        {"Content-Length: +33\r\n", " 400 "},
        {"Content-Length : 33\r\n", " 400 "},
        {"Content-Length: 3 3\r\n", " 400 "},
        {"Content-Length: 33\n", " 400 "},
        {"Transfer-Encoding:\r\n chunked\r\n", " 400 "},
        {"X-Folded: a\r\n\tContent-Length: 33\r\n", " 400 "},
    }));
    INFO(Lines);
    for (const std::string &Body : {Hidden, Chunk}) {
      std::string Answers = Place.send(requestWith(Lines, Body));
      CHECK(Place.Paths_.empty());
      CHECK(Answers.find(Status) != std::string::npos);
      CHECK(Answers.find("HTTP/1.1", 1) == std::string::npos);
      CHECK(Answers.find("close") != std::string::npos);
    }
  }
  SECTION("under the earlier version") {
    std::string Answers =
        Place.send("POST /shown HTTP/1.0\r\nConnection: keep-alive\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
                   Hidden);
    CHECK(Place.Paths_.empty());
    CHECK(Answers.find(" 400 ") != std::string::npos);
  }
  SECTION("if the trailer has a folded line") {
    std::string Answers = Place.send(
        requestWith("Transfer-Encoding: chunked\r\n",
                    "0\r\nX-Sum: a\r\n Content-Length: 5\r\n\r\n" + Hidden));
    CHECK(Place.Paths_.empty());
    CHECK(Answers.find(" 400 ") != std::string::npos);
  }
  SECTION("if its chunks are malformed") {
    std::string Chunks = GENERATE(
        as<std::string>(), "5 \r\nabcde", "+5\r\nabcde", "5\nabcde",
        "5;x=\"\n\"\r\nabcde", "5;x=\"\\\n\"\r\nabcde", "5;x=a\rb\r\nabcde",
        "5\r\nabcdefg", "10000000000000005\r\nabcde", "0x5\r\nabcde");
    INFO(Chunks);
    std::string Answers = Place.send(requestWith(
        "Transfer-Encoding: chunked\r\n", Chunks + "\r\n0\r\n\r\n" + Hidden));
    CHECK(Place.Paths_.empty());
    CHECK(Answers.find(" 400 ") != std::string::npos);
  }
}

TEST_CASE("a sound body is read to its end and no further") {
  ReadingServer Place;
  auto [Lines, Body] = GENERATE(table<std::string, std::string>({
      {"Content-Length: 5\r\n", "abcde"},
      {"Content-Length: 5\r\nContent-Length: 5\r\n", "abcde"},
      {"Content-Length: 5, 5\r\n", "abcde"},
      {"transfer-encoding: ChunkeD\r\n", "5\r\nabcde\r\n0\r\n\r\n"},
      {"Transfer-Encoding:\tchunked\r\n",
       "2;x=\"y\"\r\nab\r\n3\r\ncde\r\n0\r\nX-Sum: 1\r\n\r\n"},
  }));
  INFO(Lines);
  Place.send(requestWith(Lines, Body) + Hidden);
  CHECK(Place.Paths_ == std::vector<std::string>{"/shown", "/hidden"});
  CHECK(Place.Bodies_ == std::vector<std::string>{"abcde", ""});
}

// Two readings of one message: the decision's, and the server's with the parser
// behind it.
TEST_CASE("two readings of a message agree on where it ends") {
  rc::prop("for any fields that frame it", [] {
    Fields Given;
    std::string Lines;
    int Count = *rc::gen::inRange(0, 4);
    for (int Index = 0; Index < Count; ++Index) {
      bool IsCoding = *rc::gen::arbitrary<bool>();
      std::string Value =
          IsCoding
              ? *rc::gen::elementOf(std::vector<std::string>{
                    "chunked", "CHUNKED", "chunked,", ",chunked", "gzip",
                    "identity", "chunked;a", "chunked, chunked", "xchunked",
                    "x,chunked", "chunked x", "\"chunked\"", ", ,chunked"})
              : *rc::gen::elementOf(std::vector<std::string>{
                    "0", "5", "05", "5,5", "5, 5", "5,", ",5", "33", "5 5",
                    "-5", "5;a", "5,0"});
      Given.push_back({IsCoding ? Coding : Length, Value});
      Lines += Given.back().Name_ + ": " + Value + "\r\n";
    }
    bool IsChunked = *rc::gen::arbitrary<bool>();
    std::string Body =
        IsChunked ? std::string("5\r\n@bcde\r\n0\r\n\r\n") : "@bcde";
    ReadingServer Place;
    Place.send(requestWith(Lines, Body) + Hidden);
    auto Outcome = framingOf(Given).request();
    const auto *Stated = std::get_if<StatedBody>(&Outcome);
    bool IsRead = !Place.Paths_.empty();
    RC_ASSERT(!IsRead || Stated);
    if (!IsRead)
      return;
    // What is left after the stated body isn't read as part of it.
    std::size_t Size = Stated->Framing_ == BodyFraming::Chunks
                           ? 5
                           : static_cast<std::size_t>(Stated->Length_);
    RC_ASSERT(Place.Bodies_.front().size() == Size);
    bool IsHiddenRead = Place.Paths_.size() > 1;
    bool EndsThere = Stated->Framing_ == BodyFraming::Chunks
                         ? IsChunked
                         : !IsChunked && Size == 5;
    RC_ASSERT(IsHiddenRead == EndsThere);
  });
}

// Guards against LOST: the parser ends the process over a last chunk in pieces.
TEST_CASE("a body may arrive in any pieces") {
  ReadingServer Place;
  auto [Body, Read] = GENERATE(table<std::string, std::string>({
      {"0\r\n\r\n", ""},
      {"0\r\nX-Sum: 1\r\n\r\n", ""},
      {"00;x=y\r\n\r\n", ""},
      {"1\r\na\r\n0\r\n\r\n", "a"},
      {"2;x=y\r\nab\r\n1\r\nc\r\n0\r\nX-Sum: 1\r\n\r\n", "abc"},
  }));
  std::string Chunks = Body;
  for (std::size_t First = 0; First <= Chunks.size(); ++First)
    for (std::size_t Second = First; Second <= Chunks.size(); ++Second) {
      PersistentCaller Caller(Place.Loop_, Place.Server_.port());
      Caller.Socket_.set_option(asio::ip::tcp::no_delay(true));
      for (const std::string &Piece :
           {requestWith("Transfer-Encoding: chunked\r\n", ""),
            Chunks.substr(0, First), Chunks.substr(First, Second - First),
            Chunks.substr(Second)}) {
        asio::write(Caller.Socket_, asio::buffer(Piece));
        Place.Loop_.run_for(std::chrono::milliseconds(2));
      }
      Caller.Socket_.shutdown(asio::ip::tcp::socket::shutdown_send);
      CHECK(Caller.readToEnd().find(" 204 ") != std::string::npos);
      CHECK(Place.Bodies_.back() == Read);
    }
}
