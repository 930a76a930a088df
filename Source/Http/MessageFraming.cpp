#include "Http/MessageFraming.h"

#include "Http/HttpMessage.h"

#include <algorithm>
#include <charconv>

namespace anvil {

/// Statuses whose responses have no body, besides the interim ones.
static constexpr unsigned NoContent = 204;
static constexpr unsigned NotModified = 304;
static constexpr unsigned MinFinalStatus = 200;

int statusFor(FramingFault Fault) {
  constexpr int BadRequest = 400;
  constexpr int NotImplemented = 501;
  return Fault == FramingFault::UnknownCoding ? NotImplemented : BadRequest;
}

static std::string_view trim(std::string_view Text) {
  constexpr std::string_view Blanks = " \t";
  auto First = Text.find_first_not_of(Blanks);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Blanks) + 1 - First);
}

/// Calls `Use` with each element of a list that is separated by commas.
template <class UseElement>
static void forElements(std::string_view List, UseElement Use) {
  while (true) {
    auto Comma = List.find(',');
    Use(trim(List.substr(0, Comma)));
    if (Comma == std::string_view::npos)
      return;
    List.remove_prefix(Comma + 1);
  }
}

static std::optional<std::uint64_t> parseLength(std::string_view Text) {
  std::uint64_t Length = 0;
  const char *End = Text.data() + Text.size();
  auto [Rest, Cause] = std::from_chars(Text.data(), End, Length);
  if (Cause != std::errc() || Rest != End)
    return std::nullopt;
  return Length;
}

void MessageFraming::addField(std::string_view Name, std::string_view Value) {
  if (sameHeaderName(Name, "Transfer-Encoding")) {
    HasCoding_ = true;
    forElements(Value, [this](std::string_view Coding) {
      if (!Coding.empty())
        AreChunks_.push_back(sameHeaderName(Coding, "chunked"));
    });
  }
  if (!sameHeaderName(Name, "Content-Length"))
    return;
  forElements(Value, [this](std::string_view Text) {
    auto Length = parseLength(Text);
    if (!Length)
      LengthFault_ = FramingFault::BadLength;
    else if (Length_ && *Length_ != *Length && !LengthFault_)
      LengthFault_ = FramingFault::DifferentLengths;
    else
      Length_ = Length;
  });
}

std::optional<FramingFault> MessageFraming::codingFault() const {
  if (!IsHttp11_)
    return FramingFault::CodingInOldVersion;
  if (Length_ || LengthFault_)
    return FramingFault::LengthAndCoding;
  if (AreChunks_.empty() || !AreChunks_.back())
    return FramingFault::ChunksNotLast;
  if (std::ranges::count(AreChunks_, true) > 1)
    return FramingFault::ChunksRepeated;
  if (AreChunks_.size() > 1)
    return FramingFault::UnknownCoding;
  return std::nullopt;
}

FramingOutcome MessageFraming::stated(BodyFraming Otherwise) const {
  if (HasCoding_) {
    if (auto Fault = codingFault())
      return *Fault;
    return StatedBody{BodyFraming::Chunks, 0};
  }
  if (LengthFault_)
    return *LengthFault_;
  if (!Length_)
    return StatedBody{Otherwise, 0};
  return StatedBody{*Length_ > 0 ? BodyFraming::Length : BodyFraming::None,
                    *Length_};
}

FramingOutcome MessageFraming::request() const {
  return stated(BodyFraming::None);
}

FramingOutcome MessageFraming::response(unsigned Status,
                                        bool MayHaveBody) const {
  bool HasBody = MayHaveBody && Status >= MinFinalStatus &&
                 Status != NoContent && Status != NotModified;
  if (!HasBody)
    return StatedBody{};
  return stated(BodyFraming::UntilClose);
}

FramingOutcome confirm(FramingOutcome Outcome, bool ParsesChunks,
                       std::optional<std::uint64_t> ParsedLength) {
  const auto *Body = std::get_if<StatedBody>(&Outcome);
  if (!Body)
    return Outcome;
  bool Agrees = ParsesChunks == (Body->Framing_ == BodyFraming::Chunks) &&
                ParsedLength.value_or(0) == Body->Length_;
  if (!Agrees)
    return FramingFault::ParserDisagrees;
  return Outcome;
}

bool hasFoldedLine(std::string_view Lines) {
  return Lines.find("\r\n ") != std::string_view::npos ||
         Lines.find("\r\n\t") != std::string_view::npos;
}

bool hasControl(std::string_view Extensions) {
  constexpr unsigned char Delete = 0x7f;
  return std::ranges::any_of(Extensions, [](unsigned char Letter) {
    return (Letter < ' ' && Letter != '\t') || Letter == Delete;
  });
}

} // namespace anvil
