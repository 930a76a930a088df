#ifndef ANVIL_TESTS_INTEGRATION_REQUESTLOAD_H
#define ANVIL_TESTS_INTEGRATION_REQUESTLOAD_H

#include "Integration/EntryFleet.h"

#include <atomic>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace anvil {

/// A closed-loop load on an entry fleet: each caller sends one request after
/// the other, alternating between the VMs, with a short pause, until `finish`.
class RequestLoad {
public:
  /// Starts the callers. Every request has `Headers` and an id.
  RequestLoad(EntryFleet &System, std::string Path,
              std::vector<std::pair<std::string, std::string>> Headers,
              std::size_t Callers);
  ~RequestLoad();
  RequestLoad(const RequestLoad &) = delete;
  RequestLoad &operator=(const RequestLoad &) = delete;

  /// Stops the callers and returns their replies by request id.
  std::map<std::string, CallerReply> finish();

private:
  std::atomic<bool> Stopping_ = false;
  std::vector<std::map<std::string, CallerReply>> Replies_;
  std::vector<std::thread> Callers_;
};

/// The sorted times at which a target received requests, in microseconds of the
/// boot clock. Includes requests that it refused.
std::vector<std::int64_t> arrivalTimes(EntryFleet &System,
                                       const std::string &Target);

/// The largest number of arrivals in any window of length `Span` that begins at
/// `From` or later.
std::size_t maxArrivalsWithin(const std::vector<std::int64_t> &Arrivals,
                              Millis Span, std::int64_t From);

} // namespace anvil

#endif // ANVIL_TESTS_INTEGRATION_REQUESTLOAD_H
