#ifndef ANVIL_ADMIN_STATUSENDPOINTS_H
#define ANVIL_ADMIN_STATUSENDPOINTS_H

#include "Admin/AdminServer.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace anvil {

/// Assembles `GET /admin/status` from sections that other components provide.
class StatusPage : public Service {
public:
  static constexpr std::string_view Name = "status_page";

  using Section = std::function<nlohmann::json()>;

  std::string_view serviceName() const override { return Name; }

  /// Adds a section; `Fill` is called for each request of the page.
  void addSection(std::string SectionName, Section Fill);

  /// Returns the page as JSON.
  std::string text() const;

private:
  std::vector<std::pair<std::string, Section>> Sections_;
};

/// Adds the page `GET /admin/status`.
void addStatusEndpoint(AdminServer &Server, std::shared_ptr<StatusPage> Page);

} // namespace anvil

#endif // ANVIL_ADMIN_STATUSENDPOINTS_H
