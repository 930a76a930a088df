#include "Config/ConfigDelta.h"
#include "Objects/ObjectCodec.h"
#include "Objects/SetDigest.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace anvil;

/// One of few names, so that changes meet the same objects again.
static std::string anyName() {
  return "n" + std::to_string(*rc::gen::inRange(0, 5));
}

static ChangeSet anyChange(const ObjectSet &Base) {
  ChangeSet Change;
  for (int Count = *rc::gen::inRange(0, 4); Count > 0; --Count) {
    Customer Put;
    Put.Name_ = anyName();
    Put.RateTokensPerSecond_ = 1;
    Put.BurstTokens_ = *rc::gen::inRange(1, 100);
    Change.Put_.push_back(Put);
  }
  std::string Removed = anyName();
  if (Base.find<Customer>(Removed))
    Change.Removals_.push_back({ObjectKind::Customer, Removed});
  return Change;
}

TEST_CASE("the digest of a set") {
  rc::prop("follows any changes to where the whole set's digest is", [] {
    ObjectSet Objects;
    SetDigest Followed;
    for (int Step = *rc::gen::inRange(1, 8); Step > 0; --Step) {
      ChangeSet Change = anyChange(Objects);
      Followed.follow(Objects, Change);
      for (const ObjectRemoval &Removal : Change.Removals_)
        Objects.remove(Removal.Kind_, Removal.Name_);
      for (const AnyObject &Object : Change.Put_)
        Objects.put(Object);
      RC_ASSERT(Followed == SetDigest::of(Objects));
      RC_ASSERT(Followed.text() == SetDigest::of(Objects).text());
    }
  });

  rc::prop("differs when one field differs", [](std::uint16_t Weight) {
    ObjectSet Left;
    Left.put(DataCentre{"a"});
    ObjectSet Right = Left;
    Customer Put;
    Put.Name_ = "c";
    Left.put(Put);
    Put.Weight_ = 2 + Weight;
    Right.put(Put);
    RC_ASSERT(SetDigest::of(Left).text() != SetDigest::of(Right).text());
  });
}

TEST_CASE("changes that a peer sends") {
  rc::prop("lead to its set, or to nothing when one of them is damaged", [] {
    ConfigSnapshot Base{4, {}};
    for (const AnyObject &Object : anyChange({}).Put_)
      Base.Objects_.put(Object);
    ConfigSnapshot Peer = Base;
    ConfigPullReply Reply;
    int Steps = *rc::gen::inRange(1, 5);
    for (int Step = 0; Step < Steps; ++Step) {
      ChangeSet Change = anyChange(Peer.Objects_);
      for (const ObjectRemoval &Removal : Change.Removals_)
        Peer.Objects_.remove(Removal.Kind_, Removal.Name_);
      for (const AnyObject &Object : Change.Put_)
        Peer.Objects_.put(Object);
      Reply.Changes_.push_back(encodeChangeSet(Change));
    }
    Reply.Revision_ = Base.Revision_ + static_cast<std::uint64_t>(Steps);
    Reply.Digest_ = SetDigest::of(Peer.Objects_).text();
    auto Read = SetDigest::parse(SetDigest::of(Base.Objects_).text());
    RC_ASSERT(Read.has_value());
    auto Next = applyPulledChanges(Base, *Read, Reply);
    bool IsTaken = Next != nullptr;
    RC_ASSERT(IsTaken);
    Peer.Revision_ = Reply.Revision_;
    RC_ASSERT(encodeSnapshot(*Next) == encodeSnapshot(Peer));
    Reply.Changes_.push_back(
        R"({"put": [{"kind": "data_centre", "name": "other"}]})");
    bool IsRefused = !applyPulledChanges(Base, *Read, Reply);
    RC_ASSERT(IsRefused);
  });
}
