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

/// Timeout of a request to one VM of another data centre.
static constexpr Duration RequestTimeout = std::chrono::milliseconds(500);

/// The confirmations of one data centre.
struct DataCentreConfirmation {
  bool Reachable_ = false;
  ConfirmationReply Vms_;
};

/// Collects the replies of all data centres for one page.
struct ConfirmationQuery {
  explicit ConfirmationQuery(const asio::any_io_executor &Executor)
      : Done_(Executor, asio::steady_timer::time_point::max()) {}

  void finishOne() {
    if (--Pending_ == 0)
      Done_.cancel();
  }

  std::map<std::string, DataCentreConfirmation> DataCentres_;
  std::size_t Pending_ = 0;
  asio::steady_timer Done_;
};

static asio::awaitable<void>
queryDataCentre(std::shared_ptr<ConfirmationQuery> Query,
                std::shared_ptr<PeerNetwork> Network, std::string DataCentre,
                std::vector<std::string> Candidates, std::uint64_t Revision) {
  ConfirmationRequest Message;
  Message.Revision_ = Revision;
  for (const std::string &Vm : Candidates) {
    auto Reply = co_await callPeer<ConfirmationReply>(*Network, Vm, Message,
                                                      RequestTimeout);
    if (!isOk(Reply))
      continue;
    DataCentreConfirmation &Confirmation = Query->DataCentres_[DataCentre];
    Confirmation.Reachable_ = true;
    Confirmation.Vms_ = std::move(valueOf(Reply));
    break;
  }
  Query->finishOne();
}

/// Adds the VMs of the platform's list that are missing from their data
/// centre's reply as unconfirmed.
static void addMissingVms(ConfirmationQuery &Query,
                          const MembershipService &Members) {
  for (const auto &[VmName, Member] : Members.members()) {
    ConfirmationReply &Vms = Query.DataCentres_[Member.DataCentre_].Vms_;
    bool IsListed = std::ranges::count(Vms.Confirmed_, VmName) > 0 ||
                    std::ranges::count(Vms.Unconfirmed_, VmName) > 0;
    if (!IsListed)
      Vms.Unconfirmed_.push_back(VmName);
  }
}

static HttpReply pageOf(const ConfirmationQuery &Query,
                        std::uint64_t Revision) {
  bool InForce = true;
  json List = json::array();
  for (const auto &[DataCentre, Confirmation] : Query.DataCentres_) {
    InForce &=
        Confirmation.Reachable_ && Confirmation.Vms_.Unconfirmed_.empty();
    List.push_back({{"name", DataCentre},
                    {"reachable", Confirmation.Reachable_},
                    {"confirmed", Confirmation.Vms_.Confirmed_},
                    {"unconfirmed", Confirmation.Vms_.Unconfirmed_}});
  }
  json Whole{
      {"revision", Revision}, {"in_force", InForce}, {"data_centres", List}};
  return jsonReply(200,
                   Whole.dump(-1, ' ', false, json::error_handler_t::replace));
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
                         std::shared_ptr<ConfigSyncService> ConfigSync,
                         std::shared_ptr<MembershipService> Members,
                         std::shared_ptr<PeerNetwork> Network) {
  std::string OwnDataCentre = Settings.DataCentre_;
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
        auto Query = std::make_shared<ConfirmationQuery>(Executor);
        Query->DataCentres_[OwnDataCentre] = {
            true, ConfigSync->localConfirmation(*Revision)};
        std::set<std::string> RemoteDataCentres;
        for (const auto &[VmName, Member] : Members->members())
          if (Member.DataCentre_ != OwnDataCentre)
            RemoteDataCentres.insert(Member.DataCentre_);
        Query->Pending_ = RemoteDataCentres.size();
        for (const std::string &Remote : RemoteDataCentres)
          spawn(Executor,
                queryDataCentre(Query, Network, Remote,
                                Members->representativesOf(Remote), *Revision));
        boost::system::error_code Ignored;
        if (Query->Pending_ > 0)
          co_await Query->Done_.async_wait(
              asio::redirect_error(asio::use_awaitable, Ignored));
        addMissingVms(*Query, *Members);
        co_return pageOf(*Query, *Revision);
      });
}

} // namespace anvil
