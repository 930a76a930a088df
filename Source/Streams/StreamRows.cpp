#include "Streams/StreamRows.h"

#include "Kernel/BoundedJson.h"
#include "Kernel/EnumNames.h"
#include "Peer/BoundedUnpack.h"

#include <msgpack.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <tuple>

namespace anvil {

using nlohmann::json;

/// Callers wait for hours at most; it keeps sums of times far from overflow.
static constexpr std::int64_t MaxKeepMs = 24LL * 3600 * 1000;

static constexpr std::string_view RecordPrefix = "record/";

std::string recordPart(std::size_t Index) {
  return "records-" + std::to_string(Index);
}

static std::string eraPrefix(std::uint64_t Era) {
  return "baseline/" + std::to_string(Era) + "/";
}

std::string baselineRowKey(const std::string &Service, std::uint64_t Era) {
  return eraPrefix(Era) + Service;
}

std::string recordRowPrefix(const std::string &Part,
                            const std::string &Writer) {
  return std::string(RecordPrefix) + Part + "/" + Writer + "/";
}

std::optional<std::string> partOfRecordRow(const std::string &Key) {
  if (!Key.starts_with(RecordPrefix))
    return std::nullopt;
  auto End = Key.find('/', RecordPrefix.size());
  if (End == std::string::npos)
    return std::nullopt;
  return Key.substr(RecordPrefix.size(), End - RecordPrefix.size());
}

std::string encodeBaseline(const StreamBaseline &Baseline) {
  json Encoded = {{"stage", enumName(Baseline.Stage_, BaselineStageNames)}};
  if (Baseline.Version_)
    Encoded["version"] = *Baseline.Version_;
  return Encoded.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<StreamBaseline> decodeBaseline(const std::string &Key,
                                             const std::string &Value,
                                             std::uint64_t RowVersion,
                                             std::uint64_t Era) {
  std::string Prefix = eraPrefix(Era);
  if (!Key.starts_with(Prefix))
    return std::nullopt;
  json Encoded = parseOrDiscard(Value);
  if (!Encoded.is_object())
    return std::nullopt;
  // A row that can't be read allows nothing.
  StreamBaseline Baseline{Key.substr(Prefix.size()), std::nullopt,
                          BaselineStage::Closing, RowVersion};
  auto Version = Encoded.find("version");
  if (Version == Encoded.end() || !Version->is_string())
    return Baseline;
  Baseline.Version_ = Version->get<std::string>();
  if (Encoded.value("stage", json()) ==
      enumName(BaselineStage::Open, BaselineStageNames))
    Baseline.Stage_ = BaselineStage::Open;
  return Baseline;
}

/// Service, version and the streams' keys.
using EncodedGroup =
    std::tuple<std::string, std::string, std::vector<StreamKey>>;
using EncodedRecords = std::tuple<std::int64_t, std::vector<EncodedGroup>>;

std::string encodeStreamRecords(const std::vector<StreamRecord> &Records) {
  std::map<std::pair<std::string, std::string>, std::vector<StreamKey>> Groups;
  std::int64_t KeepMs = 0;
  for (const StreamRecord &Record : Records) {
    Groups[{Record.Origin_.Service_, Record.Origin_.Version_}].push_back(
        Record.Key_);
    KeepMs = std::max(KeepMs, toMillis(Record.KeepFor_) + 1);
  }
  EncodedRecords Encoded{KeepMs, {}};
  for (auto &[Origin, Keys] : Groups)
    std::get<1>(Encoded).emplace_back(Origin.first, Origin.second,
                                      std::move(Keys));
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Encoded);
  return {Buffer.data(), Buffer.size()};
}

std::vector<StreamRecord> decodeStreamRecords(const std::string &Bytes) {
  std::vector<StreamRecord> Records;
  try {
    msgpack::object_handle Handle = unpackBounded(Bytes);
    auto Encoded = Handle.get().as<EncodedRecords>();
    Duration KeepFor = std::chrono::milliseconds(
        std::clamp<std::int64_t>(std::get<0>(Encoded), 0, MaxKeepMs));
    for (const auto &[Service, Version, Keys] : std::get<1>(Encoded))
      for (StreamKey Key : Keys)
        Records.push_back({Key, {Service, Version}, KeepFor});
  } catch (const std::exception &) {
    Records.clear();
  }
  return Records;
}

} // namespace anvil
