#include "Config/ConfigDelta.h"

#include "Objects/ChangeSet.h"
#include "Objects/ObjectCodec.h"

namespace anvil {

SnapshotPtr applyPulledChanges(const ConfigSnapshot &Base, SetDigest BaseDigest,
                               const ConfigPullReply &Reply) {
  if (Reply.Changes_.empty())
    return nullptr;
  auto Next = std::make_shared<ConfigSnapshot>();
  Next->Revision_ = Reply.Revision_;
  Next->Objects_ = Base.Objects_;
  for (const std::string &Text : Reply.Changes_) {
    auto Decoded = decodeChangeSet(Text);
    if (!std::holds_alternative<ChangeSet>(Decoded))
      return nullptr;
    const auto &Change = std::get<ChangeSet>(Decoded);
    BaseDigest.applyDelta(Next->Objects_, Change);
    for (const ObjectRemoval &Removal : Change.Removals_)
      Next->Objects_.remove(Removal.Kind_, Removal.Name_);
    for (const AnyObject &Object : Change.Put_)
      Next->Objects_.put(Object);
  }
  if (BaseDigest.hexText() != Reply.Digest_)
    return nullptr;
  return Next;
}

SnapshotPtr readPulledSnapshot(const ConfigPullReply &Reply) {
  if (Reply.Snapshot_.empty())
    return nullptr;
  auto Decoded = decodeSnapshot(Reply.Snapshot_);
  if (!isOk(Decoded) ||
      SetDigest::compute(valueOf(Decoded).Objects_).hexText() != Reply.Digest_)
    return nullptr;
  return std::make_shared<const ConfigSnapshot>(std::move(valueOf(Decoded)));
}

} // namespace anvil
