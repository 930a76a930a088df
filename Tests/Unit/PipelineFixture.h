#ifndef ANVIL_TESTS_UNIT_PIPELINEFIXTURE_H
#define ANVIL_TESTS_UNIT_PIPELINEFIXTURE_H

#include "Gateway/RequestPipeline.h"
#include "Objects/Digest.h"
#include "Unit/PersistentCaller.h"
#include "Unit/SingleRequestTarget.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace anvil {

/// Admits every charge and records the last one and its settlement.
class UnlimitedQuota : public QuotaGate {
public:
  boost::asio::awaitable<Outcome<QuotaCharge>>
  charge(const RequestContext &Request) override {
    QuotaCharge Charge{Request.Customer_, Request.UpperBoundTokens_};
    Charged_ = Charge.Tokens_;
    co_return Charge;
  }
  void settle(const QuotaCharge &, double UsedTokens) override {
    Used_ = UsedTokens;
  }

  double Charged_ = 0;
  std::optional<double> Used_;
};

/// Grants permits for one target, at once or when the test releases them.
class OneTargetPermits : public PermitBroker {
public:
  OneTargetPermits(boost::asio::io_context &Loop, Endpoint Address)
      : Address_(std::move(Address)),
        GrantTimer_(Loop, boost::asio::steady_timer::time_point::max()) {}

  boost::asio::awaitable<Outcome<Permit>> acquire(const RequestContext &,
                                                  std::string Target) override {
    ++AcquireCalls_;
    boost::system::error_code Ignored;
    if (WaitsForRelease_)
      co_await GrantTimer_.async_wait(
          boost::asio::redirect_error(boost::asio::use_awaitable, Ignored));
    Permit Made;
    Made.Target_ = std::move(Target);
    Made.Address_ = Address_;
    co_return Made;
  }
  void release(const Permit &, PermitOutcome) override { ++ReleaseCalls_; }

  Endpoint Address_;
  boost::asio::steady_timer GrantTimer_;
  bool WaitsForRelease_ = false;
  int AcquireCalls_ = 0;
  int ReleaseCalls_ = 0;
};

/// Knows one target and records the result of attempts on it.
class OneTargetSelector : public TargetSelector {
public:
  std::vector<std::string> rank(const RequestContext &,
                                const std::set<std::string> &Excluded,
                                TimePoint) override {
    if (Excluded.empty())
      return {"desk-1"};
    return {};
  }
  void recordAttempt(const RequestContext &, const Permit &,
                     AttemptResult Result, Duration, TimePoint) override {
    Result_ = Result;
  }
  bool allowRetry(const RequestContext &, TimePoint) override { return false; }

  std::optional<AttemptResult> Result_;
};

/// Grants every claim and keeps the recorded outcome.
class RecordingLedger : public RequestLedger {
public:
  boost::asio::awaitable<Outcome<ClaimDecision>>
  claim(const RequestContext &) override {
    co_return ClaimDecision(ClaimToken{"claim/row", 1});
  }
  boost::asio::awaitable<void> record(ClaimToken Claim,
                                      ClaimOutcome End) override {
    if (!Claim.Row_.empty())
      Recorded_ = std::move(End);
    co_return;
  }

  std::optional<ClaimOutcome> Recorded_;
};

/// A request pipeline with one target. `/bookings` may not be repeated,
/// `/searches` may. `/orders` requires the key "gold" and may not be repeated.
/// `/completions` uses the adapter `a@1`.
struct PipelineFixture {
  PipelineFixture()
      : Target_(Loop_), State_(std::make_shared<ConfigState>()),
        Quota_(std::make_shared<UnlimitedQuota>()),
        Permits_(std::make_shared<OneTargetPermits>(Loop_, Target_.address())),
        Selector_(std::make_shared<OneTargetSelector>()),
        Ledger_(std::make_shared<RecordingLedger>()) {
    Settings_.Listen_.Address_ = "127.0.0.1";
    Settings_.Listen_.CallerPort_ = 0;
    Services_.add(State_);
    Services_.add(std::make_shared<Metrics>());
    Services_.add(Quota_);
    Services_.add(Permits_);
    Services_.add(Selector_);
    Services_.add(Ledger_);
    Pipeline_ = std::make_unique<RequestPipeline>(Loop_.get_executor(),
                                                  Settings_, Services_);
    State_->accept(objects());
    State_->markCurrent();
    IsListening_ = isOk(Pipeline_->start());
  }

  static Route routeOf(const std::string &Name, bool Open, bool Repeatable) {
    Route Made;
    Made.Name_ = Name;
    Made.PathPrefix_ = "/" + Name;
    Made.RouteKind_ = RouteKind::Service;
    Made.Service_ = "desk";
    Made.Open_ = Open;
    Made.Repeatable_ = Repeatable;
    Made.CostTokens_ = 40;
    return Made;
  }

  static SnapshotPtr objects() {
    auto Made = std::make_shared<ConfigSnapshot>();
    Made->Revision_ = 1;
    Made->Objects_.put(routeOf("bookings", true, false));
    Made->Objects_.put(routeOf("searches", true, true));
    Made->Objects_.put(routeOf("orders", false, false));
    Route Completions = routeOf("completions", true, true);
    Completions.RouteKind_ = RouteKind::Adapter;
    Completions.Service_.clear();
    Made->Objects_.put(Completions);
    BaseModel Base;
    Base.Name_ = "base";
    Made->Objects_.put(Base);
    Adapter Tuned;
    Tuned.Name_ = "a";
    Tuned.BaseModel_ = "base";
    Tuned.Versions_ = {{"1", "weights"}};
    Tuned.CurrentVersion_ = "1";
    Made->Objects_.put(Tuned);
    Customer Owner;
    Owner.Name_ = "acme";
    Made->Objects_.put(Owner);
    Key Known;
    Known.Name_ = "acme-1";
    Known.Customer_ = "acme";
    Known.Sha256_ = sha256Hex("gold");
    Made->Objects_.put(Known);
    return Made;
  }

  /// Runs the loop until a condition holds.
  template <class Condition> void runUntil(Condition IsMet) {
    while (!IsMet())
      Loop_.run_one();
  }

  boost::asio::io_context Loop_{1};
  SingleRequestTarget Target_;
  DaemonSettings Settings_;
  ServiceRegistry Services_;
  std::shared_ptr<ConfigState> State_;
  std::shared_ptr<UnlimitedQuota> Quota_;
  std::shared_ptr<OneTargetPermits> Permits_;
  std::shared_ptr<OneTargetSelector> Selector_;
  std::shared_ptr<RecordingLedger> Ledger_;
  std::unique_ptr<RequestPipeline> Pipeline_;
  bool IsListening_ = false;
};

} // namespace anvil

#endif // ANVIL_TESTS_UNIT_PIPELINEFIXTURE_H
