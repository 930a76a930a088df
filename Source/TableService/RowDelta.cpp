#include "TableService/RowDelta.h"

#include "Membership/Rendezvous.h"

#include <algorithm>
#include <string_view>
#include <unordered_map>

namespace anvil {

/// Values are compared in segments, which end with this character or at the
/// maximum length. In JSON that is the end of an object, such as a route.
static constexpr char SegmentEnd = '}';
static constexpr std::size_t MaxSegmentBytes = 512;

/// What a piece takes in a message besides its bytes.
static constexpr std::size_t PieceBytes = 24;

/// What a delta takes in a message besides its key and its pieces.
static constexpr std::size_t DeltaBytes = 48;

/// Takes the first segment of a text.
static std::string_view firstSegment(std::string_view Text) {
  std::string_view Window = Text.substr(0, MaxSegmentBytes);
  auto End = Window.find(SegmentEnd);
  return End == std::string_view::npos ? Window : Window.substr(0, End + 1);
}

/// Adds pieces to a delta. Bytes of the base that follow each other become one
/// piece, and so do new bytes.
static void addCopy(std::vector<RowDelta::Piece> &Pieces, std::size_t Offset,
                    std::size_t Length) {
  bool Continues = !Pieces.empty() && Pieces.back().Length_ > 0 &&
                   Pieces.back().Offset_ + Pieces.back().Length_ == Offset;
  if (Continues)
    Pieces.back().Length_ += Length;
  else
    Pieces.push_back({Offset, Length, ""});
}

static void addBytes(std::vector<RowDelta::Piece> &Pieces,
                     std::string_view Bytes) {
  if (Pieces.empty() || Pieces.back().Length_ > 0)
    Pieces.push_back({});
  Pieces.back().Bytes_ += Bytes;
}

RowDelta makeRowDelta(const TableRow &Base, const TableRow &New) {
  RowDelta Delta{
      New.Key_, Base.Version_, New.Version_, stableHash(New.Value_), {}};
  std::string_view Old = Base.Value_;
  std::unordered_map<std::string_view, std::size_t> Segments;
  for (std::size_t Offset = 0; Offset < Old.size();) {
    std::string_view Segment = firstSegment(Old.substr(Offset));
    Segments.try_emplace(Segment, Offset);
    Offset += Segment.size();
  }
  // Segments that occur more than once are looked for first where the last
  // copied piece ends.
  std::size_t Expected = 0;
  for (std::string_view Rest = New.Value_; !Rest.empty();) {
    std::string_view Segment = firstSegment(Rest);
    Rest.remove_prefix(Segment.size());
    std::size_t Offset = Expected;
    if (Old.substr(Expected, Segment.size()) != Segment) {
      auto Found = Segments.find(Segment);
      if (Found == Segments.end()) {
        addBytes(Delta.Pieces_, Segment);
        // A changed segment usually takes the place of one of its kind.
        Expected += firstSegment(Old.substr(Expected)).size();
        continue;
      }
      Offset = Found->second;
    }
    addCopy(Delta.Pieces_, Offset, Segment.size());
    Expected = Offset + Segment.size();
  }
  return Delta;
}

std::size_t encodedSize(const RowDelta &Delta) {
  std::size_t Size = DeltaBytes + Delta.Key_.size();
  for (const RowDelta::Piece &Piece : Delta.Pieces_)
    Size += PieceBytes + Piece.Bytes_.size();
  return Size;
}

std::optional<TableRow> applyRowDelta(const TableRow &Base,
                                      const RowDelta &Delta) {
  if (Base.Key_ != Delta.Key_ || Base.Version_ != Delta.BaseVersion_ ||
      Delta.Version_ <= Base.Version_ || Base.Deleted_)
    return std::nullopt;
  TableRow New{Delta.Key_, "", Delta.Version_};
  std::string_view Old = Base.Value_;
  for (const RowDelta::Piece &Piece : Delta.Pieces_) {
    bool IsCopy = Piece.Length_ > 0;
    bool IsInside = !IsCopy || (Piece.Offset_ <= Old.size() &&
                                Piece.Length_ <= Old.size() - Piece.Offset_);
    if (!IsInside)
      return std::nullopt;
    std::string_view Bytes = IsCopy ? Old.substr(Piece.Offset_, Piece.Length_)
                                    : std::string_view(Piece.Bytes_);
    if (New.Value_.size() + Bytes.size() > MaxDeltaRowBytes)
      return std::nullopt;
    New.Value_ += Bytes;
  }
  if (stableHash(New.Value_) != Delta.Digest_)
    return std::nullopt;
  return New;
}

} // namespace anvil
