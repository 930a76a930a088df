#ifndef ANVIL_HTTP_MESSAGEFRAMING_H
#define ANVIL_HTTP_MESSAGEFRAMING_H

#include "Http/BodyFraming.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace anvil {

/// Why a head doesn't show where its message ends.
enum class FramingFault {
  BadLength,
  DifferentLengths,
  LengthAndCoding,
  CodingInOldVersion,
  ChunksNotLast,
  ChunksRepeated,
  UnknownCoding,
  ParserDisagrees,
};

inline constexpr std::pair<FramingFault, std::string_view> FramingFaultNames[] =
    {
        {FramingFault::BadLength, "bad Content-Length"},
        {FramingFault::DifferentLengths, "more than one Content-Length"},
        {FramingFault::LengthAndCoding,
         "both Content-Length and Transfer-Encoding"},
        {FramingFault::CodingInOldVersion, "Transfer-Encoding in HTTP/1.0"},
        {FramingFault::ChunksNotLast,
         "the last transfer coding is not chunked"},
        {FramingFault::ChunksRepeated, "chunked more than once"},
        {FramingFault::UnknownCoding, "unknown transfer coding"},
        {FramingFault::ParserDisagrees, "unclear framing"},
};

/// The status of the response to a request with such a head.
int statusFor(FramingFault Fault);

/// The body that a head states.
struct StatedBody {
  BodyFraming Framing_ = BodyFraming::None;
  /// The length in bytes, if the head gives one.
  std::uint64_t Length_ = 0;
};

using FramingOutcome = std::variant<StatedBody, FramingFault>;

/// The size of the shortest body in chunks. Beast's parser stops the process if
/// it is given fewer bytes of a body that consists of the last chunk alone.
inline constexpr std::size_t MinChunkedBytes = 5;

/// Decides where a message ends by the header fields of its head (RFC 9112,
/// section 6). Used for requests and for responses, so that both are read the
/// same way.
class MessageFraming {
public:
  explicit MessageFraming(bool IsHttp11) : IsHttp11_(IsHttp11) {}

  /// The framing of a head as a Beast parser has read it.
  template <class Parser> static MessageFraming of(const Parser &Head) {
    constexpr unsigned Http11 = 11;
    MessageFraming Framing(Head.get().version() >= Http11);
    for (const auto &Field : Head.get()) {
      auto Name = Field.name_string();
      auto Value = Field.value();
      Framing.addField({Name.data(), Name.size()},
                       {Value.data(), Value.size()});
    }
    return Framing;
  }

  void addField(std::string_view Name, std::string_view Value);

  /// The body of a request with these fields.
  FramingOutcome request() const;

  /// The body of a response. `MayHaveBody` is false for responses to HEAD.
  FramingOutcome response(unsigned Status, bool MayHaveBody) const;

private:
  FramingOutcome stated(BodyFraming Otherwise) const;
  std::optional<FramingFault> codingFault() const;

  bool IsHttp11_;
  bool HasCoding_ = false;
  /// The fault of the lengths, if they have one.
  std::optional<FramingFault> LengthFault_;
  std::optional<std::uint64_t> Length_;
  /// Whether each transfer coding is `chunked`, in order.
  std::vector<bool> AreChunks_;
};

/// The outcome, or a fault if a parser that reads the body takes its framing
/// for another one.
FramingOutcome confirm(FramingOutcome Outcome, bool ParsesChunks,
                       std::optional<std::uint64_t> ParsedLength);

/// The same by the parser that has read the head.
template <class Parser>
FramingOutcome confirm(const FramingOutcome &Outcome, const Parser &Head) {
  std::optional<std::uint64_t> Length;
  if (auto Parsed = Head.content_length())
    Length = *Parsed;
  return confirm(Outcome, Head.chunked(), Length);
}

/// Whether a line in this part of a head goes on after a line end (obsolete
/// line folding).
bool hasFoldedLine(std::string_view Lines);

/// Whether the extensions of a chunk contain control characters, such as a line
/// feed, which other readers may take for the end of the line.
bool hasControl(std::string_view Extensions);

} // namespace anvil

#endif // ANVIL_HTTP_MESSAGEFRAMING_H
