#include "Admin/QuarantineEndpoints.h"

#include <nlohmann/json.hpp>

namespace anvil {

namespace asio = boost::asio;
using nlohmann::json;

static HttpReply listReply(const FleetPoisonGuard &Guard) {
  json List = json::array();
  for (const auto &Entry : Guard.list(BootClock::now()))
    List.push_back({{"digest", Entry.Digest_},
                    {"seconds_left", toSeconds(Entry.RemainingTime_)}});
  return jsonReply(200, json{{"quarantined", List}}.dump(
                            -1, ' ', false, json::error_handler_t::replace));
}

static HttpReply clearReply(FleetPoisonGuard &Guard,
                            const HttpRequest &Request) {
  std::string Digest(Request.query("digest"));
  if (Digest.empty()) {
    Error Problem{ErrorCode::InvalidInput, "digest", "is missing",
                  "name a digest that /admin/quarantine lists"};
    return errorReply(400, {Problem});
  }
  bool WasKnown = Guard.clear(Digest);
  return jsonReply(200, json{{"known_here", WasKnown}}.dump(
                            -1, ' ', false, json::error_handler_t::replace));
}

void addQuarantineEndpoints(AdminServer &Server,
                            std::shared_ptr<FleetPoisonGuard> Guard) {
  Server.addPage("GET", "/admin/quarantine",
                 [Guard](const HttpRequest &) -> asio::awaitable<HttpReply> {
                   co_return listReply(*Guard);
                 });
  Server.addPage(
      "POST", "/admin/quarantine/clear",
      [Guard](const HttpRequest &Request) -> asio::awaitable<HttpReply> {
        co_return clearReply(*Guard, Request);
      });
}

} // namespace anvil
