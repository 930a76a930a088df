#include "Config/ConfigDelta.h"
#include "Objects/ObjectCodec.h"
#include "Objects/SetDigest.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace anvil;

/// One of a few names, so that several changes affect the same object.
static std::string randomName() {
  return "n" + std::to_string(*rc::gen::inRange(0, 5));
}

static ChangeSet randomChange(const ObjectSet &Base) {
  ChangeSet Change;
  for (int Count = *rc::gen::inRange(0, 4); Count > 0; --Count) {
    Customer Created;
    Created.Name_ = randomName();
    Created.RateTokensPerSecond_ = 1;
    Created.BurstTokens_ = *rc::gen::inRange(1, 100);
    Change.Put_.push_back(Created);
  }
  std::string Removed = randomName();
  if (Base.find<Customer>(Removed))
    Change.Removals_.push_back({ObjectKind::Customer, Removed});
  return Change;
}

TEST_CASE("the digest of a set") {
  rc::prop("updated incrementally equals the digest of the resulting set", [] {
    ObjectSet Objects;
    SetDigest Updated;
    for (int Step = *rc::gen::inRange(1, 8); Step > 0; --Step) {
      ChangeSet Change = randomChange(Objects);
      Updated.applyDelta(Objects, Change);
      for (const ObjectRemoval &Removal : Change.Removals_)
        Objects.remove(Removal.Kind_, Removal.Name_);
      for (const AnyObject &Object : Change.Put_)
        Objects.put(Object);
      RC_ASSERT(Updated == SetDigest::compute(Objects));
      RC_ASSERT(Updated.hexText() == SetDigest::compute(Objects).hexText());
    }
  });

  rc::prop("differs when one field differs", [](std::uint16_t Weight) {
    ObjectSet Left;
    Left.put(DataCentre{"a"});
    ObjectSet Right = Left;
    Customer Created;
    Created.Name_ = "c";
    Left.put(Created);
    Created.Weight_ = 2 + Weight;
    Right.put(Created);
    RC_ASSERT(SetDigest::compute(Left).hexText() !=
              SetDigest::compute(Right).hexText());
  });
}

TEST_CASE("changes pulled from a peer") {
  rc::prop(
      "produce its set, or are rejected when the digest does not match", [] {
        ConfigSnapshot Base{4, {}};
        for (const AnyObject &Object : randomChange({}).Put_)
          Base.Objects_.put(Object);
        ConfigSnapshot Peer = Base;
        ConfigPullReply Reply;
        int Steps = *rc::gen::inRange(1, 5);
        for (int Step = 0; Step < Steps; ++Step) {
          ChangeSet Change = randomChange(Peer.Objects_);
          for (const ObjectRemoval &Removal : Change.Removals_)
            Peer.Objects_.remove(Removal.Kind_, Removal.Name_);
          for (const AnyObject &Object : Change.Put_)
            Peer.Objects_.put(Object);
          Reply.Changes_.push_back(encodeChangeSet(Change));
        }
        Reply.Revision_ = Base.Revision_ + static_cast<std::uint64_t>(Steps);
        Reply.Digest_ = SetDigest::compute(Peer.Objects_).hexText();
        auto BaseDigest =
            SetDigest::parse(SetDigest::compute(Base.Objects_).hexText());
        RC_ASSERT(BaseDigest.has_value());
        auto Next = applyPulledChanges(Base, *BaseDigest, Reply);
        bool IsApplied = Next != nullptr;
        RC_ASSERT(IsApplied);
        Peer.Revision_ = Reply.Revision_;
        RC_ASSERT(encodeSnapshot(*Next) == encodeSnapshot(Peer));
        Reply.Changes_.push_back(
            R"({"put": [{"kind": "data_centre", "name": "other"}]})");
        bool IsRejected = !applyPulledChanges(Base, *BaseDigest, Reply);
        RC_ASSERT(IsRejected);
      });
}
