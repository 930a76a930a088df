#include "Integration/EntryFleet.h"
#include "Objects/Digest.h"
#include "Standins/EndlessTarget.h"

#include <catch2/catch.hpp>

#include <thread>
#include <vector>

using namespace anvil;

/// The memory of the smallest machines that `anvild` has to run on, in MB.
static constexpr double MemoryMb = 160;

/// How long a VM reads from a faulty store, while it starts and while it
/// serves.
static constexpr Millis FaultyTime{1000};

static std::string repeat(const std::string &Text, std::size_t Count) {
  std::string Whole;
  while (Count-- > 0)
    Whole += Text;
  return Whole;
}

static std::string row(const std::string &Key, const std::string &Value,
                       const std::string &Version = "1") {
  return R"({"Key":")" + Key + R"(","RowVersion":)" + Version +
         R"(,"Value":")" + base64Encode(Value) + "\"}";
}

static std::string page(const std::string &Rows,
                        const std::string &More = "false",
                        const std::string &Version = "1") {
  return R"({"RowVersion":)" + Version + R"(,"HasMore":)" + More +
         R"(,"NowMs":1e300,"Rows":[)" + Rows + "]}";
}

static EndlessReply whole(const std::string &Body) {
  return {"Content-Length: " + std::to_string(Body.size()) + "\r\n", true, Body,
          ""};
}

/// A reply that ends with its connection.
static EndlessReply
composed(std::function<std::string(const std::string &)> Compose) {
  EndlessReply Reply{"Connection: close\r\n", true, "", ""};
  Reply.Compose_ = std::move(Compose);
  return Reply;
}

static std::string manyTargets() {
  std::string Rows;
  for (int Index = 0; Index < 30000; ++Index)
    Rows += (Index ? "," : "") +
            row("t-" + std::to_string(Index),
                R"({"Service":"plain","Address":"127.0.0.1:9","Slots":1,)"
                R"("State":"ready","Seq":0})");
  return page(Rows);
}

static std::vector<std::pair<std::string, EndlessReply>> faultyReplies() {
  std::string Piece(64 * 1024, 'x');
  auto NextPage = [Key = 1000000](const std::string &) mutable {
    return page(row("k" + std::to_string(++Key), std::string(1024 * 1024, 'v')),
                "true");
  };
  auto NextChanges = [](const std::string &Target) {
    constexpr std::string_view Feed = "rows-feed?Table=anvil-streams&after=";
    auto Found = Target.find(Feed);
    if (Found == std::string::npos)
      return page("");
    std::string Version =
        std::to_string(std::stoull(Target.substr(Found + Feed.size())) + 1);
    std::string Row =
        row("record/records-1/x/" + Version, std::string(2000, 'v'), Version);
    return page(Row + repeat("," + Row, 200), "false", Version);
  };
  return {
      {"body without end", {"", true, "", Piece}},
      {"nested lists", whole(repeat("[", 3000000))},
      {"nested objects", whole(repeat(R"({"":)", 1000000))},
      {"many small values", whole(page("[]" + repeat(",[]", 3000000)))},
      {"a page that is repeated", whole(page(row("a", "v"), "true"))},
      {"pages without end", composed(NextPage)},
      {"changes without end", composed(NextChanges)},
      {"one huge row", whole(page(row("config", std::string(9000000, '{'))))},
      {"versions at the end of their range",
       whole(page(row("config", R"({"Version":18446744073709551615})",
                      "18446744073709551615"),
                  "false", "18446744073709551615"))},
      {"one key in all rows",
       whole(page(row("a", "v") + repeat("," + row("a", "v"), 40000)))},
      {"many targets", whole(manyTargets())},
      {"bytes that aren't text", whole(page(R"({"Key":")"
                                            "\xff\xfe\"}"))},
  };
}

// Guards against FAULT: what answers in the store's place sends more than a VM
// can keep, and the VM runs out of memory.
TEST_CASE("a store that sends without end or reason ends no VM",
          "[endless-store]") {
  EntryFleetPlan Plan;
  Plan.VmLimits_ = MachineLimits;
  EntryFleet System(Plan);
  EndlessTarget Faulty("store");
  auto Serves = [&] { return System.call("vm-1", "/safe/x").Complete_; };
  auto ServesAgain = [&] {
    System.replaceStore("vm-1");
    return eventually(
        [&] { return System.call("vm-1", "/safe/x").Status_ == 200; },
        Millis(8000));
  };
  for (const auto &[Way, Reply] : faultyReplies()) {
    INFO(Way);
    Faulty.script(Reply);
    int RequestsBefore = Faulty.requestCount();
    System.replaceStore("vm-1", Faulty.port());
    System.restart("vm-1");
    std::this_thread::sleep_for(FaultyTime);
    REQUIRE_FALSE(System.at("vm-1").exitedUnexpectedly());
    CHECK(Faulty.requestCount() > RequestsBefore);
    REQUIRE(ServesAgain());

    System.replaceStore("vm-1", Faulty.port());
    std::this_thread::sleep_for(FaultyTime);
    REQUIRE_FALSE(System.at("vm-1").exitedUnexpectedly());
    CHECK(Serves());
    REQUIRE(ServesAgain());
    CHECK(System.at("vm-1").peakMemoryMb() < MemoryMb);
  }
}
