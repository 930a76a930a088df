#ifndef ANVIL_OBJECTS_OBJECTTYPES_H
#define ANVIL_OBJECTS_OBJECTTYPES_H

#include "Kernel/Clock.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace anvil {

/// The kinds of object that operators define.
enum class ObjectKind {
  DataCentre,
  Customer,
  Key,
  BaseModel,
  Adapter,
  Service,
  Target,
  RequestClass,
  Route,
  WeightStore,
};

inline constexpr std::pair<ObjectKind, std::string_view> ObjectKindNames[] = {
    {ObjectKind::DataCentre, "data_centre"},
    {ObjectKind::Customer, "customer"},
    {ObjectKind::Key, "key"},
    {ObjectKind::BaseModel, "base_model"},
    {ObjectKind::Adapter, "adapter"},
    {ObjectKind::Service, "service"},
    {ObjectKind::Target, "target"},
    {ObjectKind::RequestClass, "request_class"},
    {ObjectKind::Route, "route"},
    {ObjectKind::WeightStore, "weight_store"},
};

/// A data centre with its own VMs and targets.
struct DataCentre {
  static constexpr ObjectKind Kind = ObjectKind::DataCentre;
  std::string Name_;
};

/// A paying customer; its rate and burst limits, in tokens, apply to all VMs
/// together.
struct Customer {
  static constexpr ObjectKind Kind = ObjectKind::Customer;
  std::string Name_;
  double RateTokensPerSecond_ = 0;
  double BurstTokens_ = 0;
  /// The customer's share of a contended queue, relative to other customers.
  double Weight_ = 1;
  /// How long keys are accepted in a data centre without evidence that its
  /// configuration is current, in seconds. Zero refuses them at once.
  std::int64_t OfflineKeySeconds_ = 600;
};

/// An API key of a caller. Only the digest of its secret is stored.
struct Key {
  static constexpr ObjectKind Kind = ObjectKind::Key;
  std::string Name_;
  std::string Customer_;
  /// SHA-256 of the secret in lower-case hexadecimal.
  std::string Sha256_;
  bool Withdrawn_ = false;
};

/// A base model that adapters are trained for.
struct BaseModel {
  static constexpr ObjectKind Kind = ObjectKind::BaseModel;
  std::string Name_;
  /// Minimum bytes of prompt per token; an upper bound of a prompt's cost in
  /// tokens follows from it.
  double MinBytesPerToken_ = 1;
  std::int64_t MaxOutputTokens_ = 4096;
};

/// One published version of an adapter.
struct AdapterVersion {
  std::string Name_;
  /// The path of the weights in the weight store.
  std::string Weights_;
};

/// A LoRA adapter with its versions.
struct Adapter {
  static constexpr ObjectKind Kind = ObjectKind::Adapter;
  std::string Name_;
  std::string BaseModel_;
  std::vector<AdapterVersion> Versions_;
  /// The version used for requests that name none.
  std::string CurrentVersion_;
  /// The customers that may use it; empty means all.
  std::vector<std::string> Customers_;
};

/// A service other than a model engine.
struct PlainService {
  static constexpr ObjectKind Kind = ObjectKind::Service;
  std::string Name_;
};

enum class TargetKind { Engine, Service };

inline constexpr std::pair<TargetKind, std::string_view> TargetKindNames[] = {
    {TargetKind::Engine, "engine"},
    {TargetKind::Service, "service"},
};

/// A back end: a model engine or an instance of a plain service.
struct Target {
  static constexpr ObjectKind Kind = ObjectKind::Target;
  std::string Name_;
  std::string DataCentre_;
  TargetKind TargetKind_ = TargetKind::Engine;
  std::string Address_;
  std::int64_t Port_ = 0;
  /// The service it runs; plain services only.
  std::string Service_;
  /// The base model it runs; engines only.
  std::string BaseModel_;
  /// The group of engines that routes refer to, such as briefing or app.
  std::string Pool_ = "default";
  /// Maximum number of concurrent requests.
  std::int64_t Slots_ = 8;
  /// Maximum number of resident adapter versions; engines only.
  std::int64_t AdapterSlots_ = 4;
  /// Whether it rejects orders with an outdated fencing token.
  bool ChecksFencing_ = true;
  /// Whether it is being drained: it receives no new requests.
  bool Leaving_ = false;
};

/// The scheduling class of queued requests.
struct RequestClass {
  static constexpr ObjectKind Kind = ObjectKind::RequestClass;
  std::string Name_;
  /// Requests of higher priority are served first.
  std::int64_t Priority_ = 0;
  /// After this waiting time a request is served before requests of higher
  /// classes, which prevents starvation.
  std::int64_t AgeingMs_ = 5000;
};

/// What serves the requests of a route.
enum class RouteKind { Adapter, Service };

inline constexpr std::pair<RouteKind, std::string_view> RouteKindNames[] = {
    {RouteKind::Adapter, "adapter"},
    {RouteKind::Service, "service"},
};

/// A path prefix that callers use and how its requests are served.
struct Route {
  static constexpr ObjectKind Kind = ObjectKind::Route;
  std::string Name_;
  /// Requests whose path begins with this match the route; the longest
  /// matching prefix wins.
  std::string PathPrefix_;
  RouteKind RouteKind_ = RouteKind::Adapter;
  /// The service that serves it; service routes only.
  std::string Service_;
  /// The pool of engines that serves it; adapter routes only.
  std::string Pool_ = "default";
  /// Whether requests are accepted without a key.
  bool Open_ = false;
  std::string RequestClass_;
  /// Whether a request may be executed more than once (is idempotent).
  bool Repeatable_ = true;
  std::int64_t DeadlineMs_ = 30000;
  /// The cost charged to the customer per request; service routes only.
  double CostTokens_ = 1;
};

/// The limits of the store that engines load weights from.
struct WeightStore {
  static constexpr ObjectKind Kind = ObjectKind::WeightStore;
  std::string Name_;
  double LoadsPerSecond_ = 5;
  std::int64_t ConcurrentLoads_ = 2;
  /// Maximum number of adapters being loaded, over all targets.
  std::int64_t InTransit_ = 16;
};

} // namespace anvil

#endif // ANVIL_OBJECTS_OBJECTTYPES_H
