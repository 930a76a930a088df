// Guards against LOST: in a planned stop a VM takes requests late in its grace
// period, passes them on, and ends before their targets have answered.

#include "Integration/EntryFleet.h"

#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <thread>

using namespace anvil;
using Moment = std::chrono::steady_clock::time_point;

/// The VM's grace period.
static constexpr Millis Grace{8000};

/// For how long targets work on a request.
static constexpr Millis WorkTime{900};

namespace {

/// A request of a stopping VM's caller, and the connection on which it came.
struct LateRequest {
  std::string Id_;
  std::string Path_;
  std::unique_ptr<CallerConnection> Caller_;
};

/// The callers of a VM that stops. Request ids name the kind of connection, the
/// route and when the request was sent.
class LateCallers {
public:
  LateCallers(EntryFleet &System, std::string Vm)
      : System_(System), Vm_(std::move(Vm)) {}

  std::unique_ptr<CallerConnection> connect() const {
    return std::make_unique<CallerConnection>(System_.callerPort(Vm_));
  }

  void send(std::unique_ptr<CallerConnection> Caller, const std::string &Path,
            const std::string &Id, const std::string &TimeLeft) {
    Caller->send(request(Path, Id, TimeLeft));
    Sent_.push_back({Id, Path, std::move(Caller)});
  }

  /// Sends all but the last byte of a request on a connection of its own, and
  /// returns what sends that byte.
  std::function<void()> sendPart(const std::string &Path, const std::string &Id,
                                 const std::string &TimeLeft) {
    auto Caller = connect();
    std::string Text = "POST " + Path + " HTTP/1.1\r\nHost: anvil\r\n";
    for (const auto &[Name, Value] : request(Path, Id, TimeLeft).Headers_)
      Text += Name + ": " + Value + "\r\n";
    Caller->sendRaw(Text + "Content-Length: 2\r\n\r\n{");
    Sent_.push_back({Id, Path, std::move(Caller)});
    return [Part = Sent_.back().Caller_.get()] { Part->sendRaw("}"); };
  }

  /// Checks that each request has a whole answer, or was not run.
  void checkAnswers() {
    for (LateRequest &Sent : Sent_) {
      CallerReply Reply = Sent.Caller_->finish(Millis(1000));
      int Runs = System_.runCount(Sent.Id_);
      INFO(Sent.Id_ << " on " << Sent.Path_ << ": status " << Reply.Status_
                    << ", complete " << Reply.Complete_ << ", ran " << Runs
                    << " times\n"
                    << System_.explain(Sent.Id_));
      bool IsTrueRefusal = Reply.Status_ == 503 && Reply.Complete_ && Runs == 0;
      bool IsWhole = Reply.Status_ == 200 && Reply.Complete_ && Runs == 1;
      bool IsUnread = Reply.Status_ == 0 && Runs == 0;
      CHECK((IsTrueRefusal || IsWhole || IsUnread));
      Served_ += IsWhole ? 1 : 0;
      Refused_ += IsTrueRefusal ? 1 : 0;
    }
  }

  int served() const { return Served_; }
  int refused() const { return Refused_; }

private:
  CallerRequest request(const std::string &Path, const std::string &Id,
                        const std::string &TimeLeft) const {
    return System_.request(Path, {{"X-Model", "base"},
                                  {"X-Request-Id", Id},
                                  {"X-Request-Deadline", TimeLeft}});
  }

  EntryFleet &System_;
  std::string Vm_;
  std::vector<LateRequest> Sent_;
  int Served_ = 0;
  int Refused_ = 0;
};

/// The part of a request's id that names its time and route.
std::string nameOf(Millis At, const std::string &Path) {
  return "-" + std::to_string(At.count()) + Path.substr(0, Path.rfind('/'));
}

EntryFleetPlan longRequests() {
  EntryFleetPlan Plan;
  Plan.StopSeconds_ = std::chrono::duration<double>(Grace).count();
  Plan.Timeout_ = Millis(20000);
  Plan.LatencyTarget_ = Millis(20000);
  return Plan;
}

} // namespace

TEST_CASE("requests that come late in a planned stop are answered whole or "
          "refused truly",
          "[late-request]") {
  EntryFleet System(longRequests());
  LateCallers Callers(System, "vm-1");
  const std::vector<std::string> Paths{"/safe/x", "/once/x", "/stream/x",
                                       "/stream/resumable/x"};
  const std::vector<std::string> TimesLeft{"1500", "20000"};
  const std::vector<Millis> SendTimes{Millis(3200), Millis(4500), Millis(5700),
                                      Millis(6500), Millis(7300)};
  // Connections that are idle when the stop begins, and others with a request
  // of which the last byte is missing.
  std::vector<std::unique_ptr<CallerConnection>> Kept;
  for (std::size_t Index = 0; Index < SendTimes.size() * Paths.size(); ++Index)
    Kept.push_back(Callers.connect());
  for (const auto &Connection : Kept) {
    Connection->send(System.request("/safe/x", {{"X-Request-Id", "first"}}));
    REQUIRE(Connection->finish(Millis(10000)).Status_ == 200);
  }
  // Streams work as long as other requests before their first event.
  for (const std::string &Target : EntryTargets)
    System.control(Target, {{"hold_ms", WorkTime.count()}, {"event_ms", 5}});
  std::vector<std::function<void()>> Parts;
  for (Millis At : SendTimes)
    for (const std::string &Path : Paths)
      for (const std::string &TimeLeft : TimesLeft)
        Parts.push_back(Callers.sendPart(
            Path, "part-" + TimeLeft + nameOf(At, Path), TimeLeft));
  System.at("vm-1").signal(SIGTERM);
  Moment StoppedAt = std::chrono::steady_clock::now();

  auto NextKept = Kept.begin();
  auto NextPart = Parts.begin();
  for (Millis At : SendTimes) {
    std::this_thread::sleep_until(StoppedAt + At);
    for (const std::string &Path : Paths) {
      for (const std::string &TimeLeft : TimesLeft) {
        Callers.send(Callers.connect(), Path,
                     "new-" + TimeLeft + nameOf(At, Path), TimeLeft);
        (*NextPart++)();
      }
      Callers.send(std::move(*NextKept++), Path, "kept" + nameOf(At, Path),
                   "20000");
    }
  }
  CHECK(System.at("vm-1").exitStatus(Millis(20000)) == 0);
  std::string Log = System.at("vm-1").log();
  CHECK(Log.find("\"requests_cut\":0") != std::string::npos);
  Callers.checkAnswers();
  // Both kinds of answers are among them.
  CHECK(Callers.served() > 0);
  CHECK(Callers.refused() > 0);
}

TEST_CASE("a stopping VM takes no request that may outlast it, already before "
          "it closes idle connections",
          "[late-request]") {
  EntryFleet System(longRequests());
  for (const std::string &Target : EntryTargets)
    System.control(Target, {{"hold_ms", 10000}});
  LateCallers Callers(System, "vm-1");
  System.at("vm-1").signal(SIGTERM);
  REQUIRE(eventually(
      [&] {
        return System.at("vm-1").log().find("long_requests_refused") !=
               std::string::npos;
      },
      Grace));
  for (const char *Path : {"/safe/x", "/once/x", "/stream/x"})
    Callers.send(Callers.connect(), Path, std::string("late") + Path, "20000");
  CHECK(System.at("vm-1").exitStatus(Millis(20000)) == 0);
  Callers.checkAnswers();
}
