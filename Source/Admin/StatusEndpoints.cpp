#include "Admin/StatusEndpoints.h"

#include <nlohmann/json.hpp>

namespace anvil {

namespace asio = boost::asio;
using nlohmann::json;

void StatusPage::addSection(std::string SectionName, Section Fill) {
  Sections_.emplace_back(std::move(SectionName), std::move(Fill));
}

std::string StatusPage::text() const {
  json Whole = json::object();
  for (const auto &[SectionName, Fill] : Sections_)
    Whole[SectionName] = Fill();
  return Whole.dump(-1, ' ', false, json::error_handler_t::replace);
}

void addStatusEndpoint(AdminServer &Server, std::shared_ptr<StatusPage> Page) {
  Server.addPage("GET", "/admin/status",
                 [Page](const HttpRequest &) -> asio::awaitable<HttpReply> {
                   co_return jsonReply(200, Page->text());
                 });
}

} // namespace anvil
