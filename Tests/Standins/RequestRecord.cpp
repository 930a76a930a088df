#include "Standins/RequestRecord.h"

#include "Kernel/Clock.h"

#include <algorithm>

namespace anvil {

using nlohmann::json;

void RequestRecords::keepIn(const std::string &Path) {
  File_.open(Path, std::ios::app);
}

void RequestRecords::add(std::string Event, json Fields) {
  Fields["event"] = std::move(Event);
  Fields["at_us"] = BootClock::now().time_since_epoch().count();
  if (File_.is_open())
    File_ << Fields.dump(-1, ' ', false, json::error_handler_t::replace)
          << std::endl;
  Events_.push_back(std::move(Fields));
}

std::string RequestRecords::text() const {
  return Events_.dump(-1, ' ', false, json::error_handler_t::replace);
}

json headersToJson(const HttpRequest &Request) {
  json Headers = json::object();
  for (const HttpHeader &Header : Request.Headers_) {
    std::string Name = Header.Name_;
    std::ranges::transform(Name, Name.begin(), [](unsigned char Letter) {
      return static_cast<char>(std::tolower(Letter));
    });
    Headers[Name] = Header.Value_;
  }
  return Headers;
}

} // namespace anvil
