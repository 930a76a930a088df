#include "Admin/ConfirmationPage.h"

#include "Http/Spawn.h"

#include "Peer/PeerMessage.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <map>
#include <set>

namespace anvil {

namespace asio = boost::asio;
using nlohmann::json;

/// How long one VM of another data centre may take to answer.
static constexpr Duration AskTimeout = std::chrono::milliseconds(500);

/// What one data centre has confirmed.
struct DataCentreConfirmation {
  bool Reachable_ = false;
  ConfirmationReply Vms_;
};

/// The answers that are still awaited for one page.
struct ConfirmationRound {
  explicit ConfirmationRound(const asio::any_io_executor &Executor)
      : Done_(Executor, asio::steady_timer::time_point::max()) {}

  void finishOne() {
    if (--Waiting_ == 0)
      Done_.cancel();
  }

  std::map<std::string, DataCentreConfirmation> DataCentres_;
  std::size_t Waiting_ = 0;
  asio::steady_timer Done_;
};

static asio::awaitable<void> ask(std::shared_ptr<ConfirmationRound> Round,
                                 std::shared_ptr<PeerNetwork> Network,
                                 std::string DataCentre,
                                 std::vector<std::string> Candidates,
                                 std::uint64_t Revision) {
  ConfirmationMessage Question;
  Question.Revision_ = Revision;
  for (const std::string &Vm : Candidates) {
    auto Reply = co_await callPeer<ConfirmationReply>(*Network, Vm, Question,
                                                      AskTimeout);
    if (!isOk(Reply))
      continue;
    DataCentreConfirmation &Told = Round->DataCentres_[DataCentre];
    Told.Reachable_ = true;
    Told.Vms_ = std::move(valueOf(Reply));
    break;
  }
  Round->finishOne();
}

/// Adds the VMs of the platform's list that a data centre's answer leaves out.
static void addUnmentioned(ConfirmationRound &Round,
                           const MembershipService &Members) {
  for (const auto &[VmName, Known] : Members.members()) {
    ConfirmationReply &Vms = Round.DataCentres_[Known.DataCentre_].Vms_;
    bool IsMentioned = std::ranges::count(Vms.Confirmed_, VmName) > 0 ||
                       std::ranges::count(Vms.Unconfirmed_, VmName) > 0;
    if (!IsMentioned)
      Vms.Unconfirmed_.push_back(VmName);
  }
}

static HttpReply pageOf(const ConfirmationRound &Round,
                        std::uint64_t Revision) {
  bool InForce = true;
  json List = json::array();
  for (const auto &[DataCentre, Told] : Round.DataCentres_) {
    InForce &= Told.Reachable_ && Told.Vms_.Unconfirmed_.empty();
    List.push_back({{"name", DataCentre},
                    {"reachable", Told.Reachable_},
                    {"confirmed", Told.Vms_.Confirmed_},
                    {"unconfirmed", Told.Vms_.Unconfirmed_}});
  }
  json Whole{
      {"revision", Revision}, {"in_force", InForce}, {"data_centres", List}};
  return jsonReply(200, Whole.dump());
}

static std::optional<std::uint64_t> revisionOf(const HttpRequest &Request) {
  std::string Text(Request.query("revision"));
  std::uint64_t Revision = 0;
  auto Read = std::from_chars(Text.data(), Text.data() + Text.size(), Revision);
  if (Text.empty() || Read.ec != std::errc() ||
      Read.ptr != Text.data() + Text.size())
    return std::nullopt;
  return Revision;
}

void addConfirmationPage(AdminServer &Server, asio::any_io_executor Executor,
                         const DaemonSettings &Settings,
                         std::shared_ptr<ConfigSpread> Spread,
                         std::shared_ptr<MembershipService> Members,
                         std::shared_ptr<PeerNetwork> Network) {
  std::string Own = Settings.DataCentre_;
  Server.addPage(
      "GET", "/admin/config/confirmation",
      [=](const HttpRequest &Request) -> asio::awaitable<HttpReply> {
        auto Revision = revisionOf(Request);
        if (!Revision) {
          std::vector<Error> Problems;
          Problems.push_back({ErrorCode::InvalidInput, "revision",
                              "is not a whole number", "add ?revision=N"});
          co_return errorReply(422, Problems);
        }
        auto Round = std::make_shared<ConfirmationRound>(Executor);
        Round->DataCentres_[Own] = {true, Spread->confirmationHere(*Revision)};
        std::set<std::string> Others;
        for (const auto &[VmName, Known] : Members->members())
          if (Known.DataCentre_ != Own)
            Others.insert(Known.DataCentre_);
        Round->Waiting_ = Others.size();
        for (const std::string &Other : Others)
          spawn(Executor, ask(Round, Network, Other,
                              Members->representativesOf(Other), *Revision));
        boost::system::error_code Ignored;
        if (Round->Waiting_ > 0)
          co_await Round->Done_.async_wait(
              asio::redirect_error(asio::use_awaitable, Ignored));
        addUnmentioned(*Round, *Members);
        co_return pageOf(*Round, *Revision);
      });
}

} // namespace anvil
