#ifndef ANVIL_SERVING_SERVINGPLAN_H
#define ANVIL_SERVING_SERVINGPLAN_H

#include "Kernel/Clock.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace anvil {

/// Whether a route's requests may be repeated, must run at most once, or are
/// streams.
enum class RequestKind { Repeatable, AtMostOnce, Stream };

inline constexpr std::pair<RequestKind, std::string_view> RequestKindNames[] = {
    {RequestKind::Repeatable, "repeatable"},
    {RequestKind::AtMostOnce, "at_most_once"},
    {RequestKind::Stream, "stream"},
};

/// The stable name of a route's request kind, for logs.
std::string_view requestKindName(RequestKind Kind);

/// A service and its share of a route's requests.
struct RouteSplit {
  std::string Service_;
  double Weight_ = 1;
};

/// The requests to a host and path prefix, and how they are served.
struct RoutePlan {
  std::string Name_;
  std::string Host_;
  /// Begins and ends with a slash.
  std::string PathPrefix_;
  RequestKind Kind_ = RequestKind::AtMostOnce;
  /// The time limit for the complete response.
  Duration Timeout_{};
  /// The time within which a response, or a stream's first event, is on time.
  Duration LatencyTarget_{};
  /// The longest on-time pause between a stream's events; zero if the route
  /// does not specify one.
  Duration PauseTarget_{};
  /// Zero is the most urgent.
  int Rank_ = 0;
  std::vector<RouteSplit> Splits_;
  /// The maximum number of targets on which one request may run.
  int MaxTargets_ = 1;
  /// Whether requests need no API key.
  bool KeyOptional_ = false;
  /// Whether a stream may be resumed at another target after its last event.
  bool Resumable_ = false;
};

/// A base model and the load times of its weights.
struct ModelPlan {
  std::string Name_;
  /// Time to load the weights from the weight store.
  Duration StoreLoadTime_{};
  /// Time to load the weights from the target's own disk.
  Duration DiskLoadTime_{};
};

/// The properties that all engines of a service share.
struct EnginePlan {
  int Slots_ = 1;
  double KvTokens_ = 0;
  /// The maximum number of adapters on an engine, those being loaded included.
  int MaxAdapters_ = 0;
  /// The loads per second that the weight store allows for all engines
  /// together.
  double LoadsPerSecond_ = 0;
  std::vector<ModelPlan> Models_;

  const ModelPlan *findModel(std::string_view Name) const;

  /// The number of recently held adapters that load fast on an engine, those
  /// now held included. The configuration does not specify it.
  std::size_t warmAdapters() const;
};

/// How long targets of a service are cold after a start, and the requests per
/// second that a cold one takes from all VMs together.
struct ColdStartPlan {
  Duration Time_{};
  double RequestsPerSecond_ = 0;
};

/// A set of targets that routes refer to by name.
struct ServicePlan {
  std::string Name_;
  /// How many connections each target accepts from all callers; nothing if
  /// that isn't stated.
  std::optional<int> MaxConnections_;
  /// Set for services of model engines.
  std::optional<EnginePlan> Engine_;
  /// Set for services whose targets are cold after a start.
  std::optional<ColdStartPlan> ColdStart_;
};

/// A customer with its keys and its token rate over all VMs.
struct CustomerPlan {
  std::string Name_;
  std::vector<std::string> Keys_;
  /// Overrides the route's rank; zero is the most urgent.
  std::optional<int> Rank_;
  /// Zero means no limit.
  double TokensPerSecond_ = 0;
  double BurstTokens_ = 0;
  /// Charged for a request without a token count.
  double DefaultRequestTokens_ = 0;
};

/// Limits on the size and duration of callers' requests.
struct CallerLimits {
  std::uint32_t HeadBytes_ = 16 * 1024;
  std::uint64_t BodyBytes_ = 4 * 1024 * 1024;
  Duration HeadTime_ = std::chrono::seconds(15);
  Duration IdleTime_ = std::chrono::seconds(15);
};

/// One revision of the routes, services, customers and limits by which requests
/// are served. Immutable; a request keeps the plan with which it was admitted.
class ServingPlan {
public:
  ServingPlan(std::uint64_t Revision, std::vector<RoutePlan> Routes,
              std::vector<ServicePlan> Services,
              std::vector<CustomerPlan> Customers, CallerLimits Limits);

  std::uint64_t revision() const { return Revision_; }
  const CallerLimits &limits() const { return Limits_; }
  const std::vector<RoutePlan> &routes() const { return Routes_; }
  const std::vector<CustomerPlan> &customers() const { return Customers_; }

  /// The route of the host with the longest prefix of the path, or null.
  const RoutePlan *findRoute(std::string_view Host,
                             std::string_view Path) const;

  /// The customer with that key, or null.
  const CustomerPlan *findCustomerOfKey(const std::string &Key) const;

  /// The service of that name, or null.
  const ServicePlan *findService(const std::string &Name) const;

  const std::map<std::string, ServicePlan> &services() const {
    return Services_;
  }

  /// Whether the plan has any customers; without customers no request needs a
  /// key.
  bool hasCustomers() const { return !Customers_.empty(); }

private:
  std::uint64_t Revision_;
  std::vector<RoutePlan> Routes_;
  std::map<std::string, ServicePlan> Services_;
  std::vector<CustomerPlan> Customers_;
  CallerLimits Limits_;
  /// Indexes into `Routes_` by host, longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> ByHost_;
  std::unordered_map<std::string, std::size_t> ByKey_;
};

using ServingPlanPtr = std::shared_ptr<const ServingPlan>;

/// Chooses the service for a request of the route by the splits' weights.
/// `Point` is in [0, 1).
const std::string &chooseService(const RoutePlan &Route, double Point);

} // namespace anvil

#endif // ANVIL_SERVING_SERVINGPLAN_H
