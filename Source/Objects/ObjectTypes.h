#ifndef ANVIL_OBJECTS_OBJECTTYPES_H
#define ANVIL_OBJECTS_OBJECTTYPES_H

#include "Kernel/Clock.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace anvil {

/// The kinds of object that operators name.
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

/// A place with its own VMs and targets.
struct DataCentre {
  static constexpr ObjectKind Kind = ObjectKind::DataCentre;
  std::string Name_;
};

/// Who pays: a rate and a burst in tokens over all VMs together.
struct Customer {
  static constexpr ObjectKind Kind = ObjectKind::Customer;
  std::string Name_;
  double RateTokensPerSecond_ = 0;
  double BurstTokens_ = 0;
  /// The customer's part of a contended queue, relative to others.
  double Weight_ = 1;
  /// How long keys are believed in a data centre without any evidence that
  /// its configuration is current, in seconds. Zero refuses at once.
  std::int64_t OfflineKeySeconds_ = 600;
};

/// A caller's key. Only the digest of its secret is stored.
struct Key {
  static constexpr ObjectKind Kind = ObjectKind::Key;
  std::string Name_;
  std::string Customer_;
  /// SHA-256 of the secret in lower-case hexadecimal.
  std::string Sha256_;
  bool Withdrawn_ = false;
};

/// The model that adapters are made for.
struct BaseModel {
  static constexpr ObjectKind Kind = ObjectKind::BaseModel;
  std::string Name_;
  /// The least bytes of prompt that make one token; it bounds a prompt's cost.
  double MinBytesPerToken_ = 1;
  std::int64_t MaxOutputTokens_ = 4096;
};

/// One published version of an adapter.
struct AdapterVersion {
  std::string Name_;
  /// Where the engine finds the weights in the weight store.
  std::string Weights_;
};

/// A LoRA adapter with its versions.
struct Adapter {
  static constexpr ObjectKind Kind = ObjectKind::Adapter;
  std::string Name_;
  std::string BaseModel_;
  std::vector<AdapterVersion> Versions_;
  /// The version that a request gets when it names none.
  std::string CurrentVersion_;
  /// The customers that may use it; empty means all.
  std::vector<std::string> Customers_;
};

/// A plain service beside the engines.
struct PlainService {
  static constexpr ObjectKind Kind = ObjectKind::Service;
  std::string Name_;
};

/// What a target is.
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
  /// Which service it runs; plain services only.
  std::string Service_;
  /// Which base model it runs; engines only.
  std::string BaseModel_;
  /// The group of engines that routes refer to, such as briefing or app.
  std::string Pool_ = "default";
  /// Requests that run at once.
  std::int64_t Slots_ = 8;
  /// Adapter versions that are resident at once; engines only.
  std::int64_t AdapterSlots_ = 4;
  /// Whether it refuses orders with an old fencing number.
  bool ChecksFencing_ = true;
  /// Whether it is leaving and gets no new work.
  bool Leaving_ = false;
};

/// The rank of requests while they wait.
struct RequestClass {
  static constexpr ObjectKind Kind = ObjectKind::RequestClass;
  std::string Name_;
  /// Higher goes first.
  std::int64_t Priority_ = 0;
  /// A request that waited this long goes before higher classes.
  std::int64_t AgeingMs_ = 5000;
};

/// What stands behind a route.
enum class RouteKind { Adapter, Service };

inline constexpr std::pair<RouteKind, std::string_view> RouteKindNames[] = {
    {RouteKind::Adapter, "adapter"},
    {RouteKind::Service, "service"},
};

/// A path that callers use and how its requests are served.
struct Route {
  static constexpr ObjectKind Kind = ObjectKind::Route;
  std::string Name_;
  /// Requests whose path begins with this take the route; longest first.
  std::string PathPrefix_;
  RouteKind RouteKind_ = RouteKind::Adapter;
  /// The service behind it; service routes only.
  std::string Service_;
  /// The engines behind it; adapter routes only.
  std::string Pool_ = "default";
  /// Whether a request needs no key.
  bool Open_ = false;
  std::string RequestClass_;
  /// Whether a request may be run again.
  bool Repeatable_ = true;
  std::int64_t DeadlineMs_ = 30000;
  /// What a request of a service route costs its customer.
  double CostTokens_ = 1;
};

/// The store that engines load weights from and its limits.
struct WeightStore {
  static constexpr ObjectKind Kind = ObjectKind::WeightStore;
  std::string Name_;
  double LoadsPerSecond_ = 5;
  std::int64_t ConcurrentLoads_ = 2;
  /// Adapters that may be in transit over all targets.
  std::int64_t InTransit_ = 16;
};

} // namespace anvil

#endif // ANVIL_OBJECTS_OBJECTTYPES_H
