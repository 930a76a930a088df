#include "Objects/ObjectValidator.h"

#include "Objects/ObjectCodec.h"

#include <algorithm>
#include <map>

namespace anvil {

namespace {

/// Validates one set and collects its errors.
class Validator {
public:
  explicit Validator(const ObjectSet &Objects) : Objects_(Objects) {}

  std::vector<Error> run() {
    Objects_.forEach([this](const auto &Object) {
      checkName(Object);
      check(Object);
    });
    if (Objects_.all<WeightStore>().size() > 1)
      report("weight_store", "there are several weight stores", "keep one");
    return std::move(Errors_);
  }

private:
  void report(std::string Path, std::string Message, std::string Action) {
    Errors_.push_back({ErrorCode::InvalidInput, std::move(Path),
                       std::move(Message), std::move(Action)});
  }

  template <class Object> static std::string placeOf(const Object &Given) {
    return std::string(objectKindName(Object::Kind)) + " " + Given.Name_;
  }

  template <class Object> void checkName(const Object &Given) {
    bool IsValid = std::ranges::all_of(Given.Name_, [](char Character) {
      return std::isalnum(static_cast<unsigned char>(Character)) ||
             Character == '-' || Character == '_' || Character == '.';
    });
    if (Given.Name_.empty() || !IsValid)
      report(
          placeOf(Given),
          "has a name with characters other than letters, digits, '.', '_' and "
          "'-'",
          "rename it");
  }

  /// Reports a reference to an object that doesn't exist.
  template <class Referenced, class Object>
  void checkReference(const Object &From, std::string_view Field,
                      const std::string &Name) {
    if (Objects_.find<Referenced>(Name))
      return;
    std::string Kind(objectKindName(Referenced::Kind));
    report(placeOf(From) + "." + std::string(Field),
           "refers to the " + Kind + " \"" + Name + "\", which doesn't exist",
           "add that " + Kind + " or correct the name");
  }

  void check(const DataCentre &) {}
  void check(const Customer &) {}
  void check(const BaseModel &) {}
  void check(const PlainService &) {}
  void check(const RequestClass &) {}
  void check(const WeightStore &) {}

  void check(const Key &Given) {
    checkReference<Customer>(Given, "customer", Given.Customer_);
    bool IsDigest = Given.Sha256_.size() == 64 &&
                    Given.Sha256_.find_first_not_of("0123456789abcdef") ==
                        std::string::npos;
    if (!IsDigest)
      report(placeOf(Given) + ".sha256", "is not a SHA-256 digest",
             "give 64 lower-case hexadecimal digits");
    auto [Known, IsNew] = Digests_.emplace(Given.Sha256_, Given.Name_);
    if (!IsNew)
      report(placeOf(Given) + ".sha256",
             "is also the digest of the key " + Known->second,
             "issue a new key");
  }

  void check(const Adapter &Given) {
    checkReference<BaseModel>(Given, "base_model", Given.BaseModel_);
    for (const std::string &Name : Given.Customers_)
      checkReference<Customer>(Given, "customers", Name);
    std::map<std::string, int> Seen;
    for (const AdapterVersion &Version : Given.Versions_)
      if (Seen[Version.Name_]++ == 1)
        report(placeOf(Given) + ".versions",
               "has the version " + Version.Name_ + " twice", "remove one");
    if (!Seen.count(Given.CurrentVersion_))
      report(placeOf(Given) + ".current_version",
             "is \"" + Given.CurrentVersion_ + "\", which is not a version",
             "name one of its versions");
  }

  void check(const Target &Given) {
    checkReference<DataCentre>(Given, "data_centre", Given.DataCentre_);
    if (Given.TargetKind_ == TargetKind::Engine)
      checkReference<BaseModel>(Given, "base_model", Given.BaseModel_);
    else
      checkReference<PlainService>(Given, "service", Given.Service_);
  }

  void check(const Route &Given) {
    checkReference<RequestClass>(Given, "request_class", Given.RequestClass_);
    if (Given.RouteKind_ == RouteKind::Service)
      checkReference<PlainService>(Given, "service", Given.Service_);
    if (Given.PathPrefix_.empty() || Given.PathPrefix_.front() != '/')
      report(placeOf(Given) + ".path_prefix", "doesn't begin with /",
             "write it from the root");
    auto [Known, IsNew] = Prefixes_.emplace(Given.PathPrefix_, Given.Name_);
    if (!IsNew)
      report(placeOf(Given) + ".path_prefix",
             "is also the prefix of the route " + Known->second,
             "choose another");
  }

  const ObjectSet &Objects_;
  std::vector<Error> Errors_;
  std::map<std::string, std::string> Digests_;
  std::map<std::string, std::string> Prefixes_;
};

} // namespace

std::vector<Error> validateObjects(const ObjectSet &Objects) {
  return Validator(Objects).run();
}

} // namespace anvil
