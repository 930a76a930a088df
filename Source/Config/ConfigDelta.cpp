#include "Config/ConfigDelta.h"

#include "Objects/ChangeSet.h"
#include "Objects/Digest.h"
#include "Objects/ObjectCodec.h"

namespace anvil {

SnapshotPtr applyPulledChanges(const ConfigSnapshot &Base,
                               const ConfigPullReply &Reply) {
  if (Reply.Changes_.empty())
    return nullptr;
  auto Next = std::make_shared<ConfigSnapshot>();
  Next->Revision_ = Reply.Revision_;
  Next->Objects_ = Base.Objects_;
  for (const std::string &Text : Reply.Changes_) {
    auto Change = decodeChangeSet(Text);
    if (!std::holds_alternative<ChangeSet>(Change))
      return nullptr;
    auto Applied = applyChange(Next->Objects_, std::get<ChangeSet>(Change));
    if (!std::holds_alternative<ObjectSet>(Applied))
      return nullptr;
    Next->Objects_ = std::move(std::get<ObjectSet>(Applied));
  }
  if (sha256Hex(encodeSnapshot(*Next)) != Reply.Digest_)
    return nullptr;
  return Next;
}

SnapshotPtr readPulledSnapshot(const ConfigPullReply &Reply) {
  if (Reply.Snapshot_.empty() || sha256Hex(Reply.Snapshot_) != Reply.Digest_)
    return nullptr;
  auto Decoded = decodeSnapshot(Reply.Snapshot_);
  if (!isOk(Decoded))
    return nullptr;
  return std::make_shared<const ConfigSnapshot>(std::move(valueOf(Decoded)));
}

} // namespace anvil
