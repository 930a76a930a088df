#ifndef ANVIL_TESTS_STANDINS_REGISTEREDTARGETSTANDIN_H
#define ANVIL_TESTS_STANDINS_REGISTEREDTARGETSTANDIN_H

#include "Http/HttpServer.h"
#include "Standins/RequestRecord.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace anvil {

/// What a registered target says of its process; empty and zero if nothing.
struct TargetProcess {
  /// The version of its software, which its events then name.
  std::string Software_;
  /// The time of its start, in milliseconds.
  std::int64_t Born_ = 0;
  /// Whether streams name their length for a `FramingProxy`.
  bool NamesLength_ = false;
};

/// Stand-in for a target that speaks the platform's protocol: an engine that
/// accepts orders, or a plain service. Requests to paths below `/stream/` get
/// an event stream. Records requests with their headers. `POST /control` sets:
///  - `fail`, `refuse`, `unsealed`, `drop`: the number of following requests
///    that fail with status 500, are refused without being run, run and get a
///    status 503 without the target's seal, or run and get no reply;
///  - `cut_after`: the next stream breaks off after this number of events;
///  - `event_ms`, `hold_ms`: the pause between events and before a reply, or
///    in the middle of its body with `hold_body`;
///  - `slots`: streams that run at once; others wait in order of arrival, also
///    after their caller has left unless `drop_waiting` is set, and are refused
///    if their adapter is replaced meanwhile. Each that begins is recorded with
///    the adapter's version;
///  - `busy`: orders are rejected as if another one were running;
///  - `headers`: a list of names and values that are added to all replies, and
///    to refusals unless `bare_refusals` is set;
///  - `deadly_part`: the process ends as soon as it begins to answer a request
///    whose prompt has this part;
///  - `endless`: bodies continue until the caller closes the connection.
class RegisteredTargetStandin {
public:
  RegisteredTargetStandin(boost::asio::any_io_executor Executor, std::string Id,
                          TargetProcess Process = {});

  Status listen(const Endpoint &Address) { return Server_.listen(Address); }
  std::uint16_t port() const { return Server_.port(); }

  /// Keeps the records in a file as well.
  void keepRecords(const std::string &Path) { Records_.keepIn(Path); }

private:
  boost::asio::awaitable<void> handle(HttpExchange &Exchange);
  boost::asio::awaitable<void> stream(HttpExchange &Exchange);
  /// Waits for a slot, if their number is limited, and runs the stream.
  boost::asio::awaitable<void> streamInSlot(HttpExchange &Exchange,
                                            std::string Adapter);
  boost::asio::awaitable<void> respondInParts(HttpExchange &Exchange);
  boost::asio::awaitable<void> respondEndlessly(HttpExchange &Exchange);
  HttpReply order(const HttpRequest &Request);
  HttpReply report() const;
  HttpReply control(const HttpRequest &Request);
  /// An event of a stream, as it is sent.
  std::string eventText(int Number) const;
  HttpReplyHead streamHead(const HttpRequest &Request,
                           std::string_view ContentType) const;
  /// Adds the headers by which a target marks a reply as its own.
  HttpReply seal(HttpReply Reply, const HttpRequest &Request) const;
  HttpReply sealed(int Status, const std::string &Body,
                   const HttpRequest &Request) const;
  HttpReply withExtraHeaders(HttpReply Reply) const;

  std::string Id_;
  TargetProcess Process_;
  std::map<std::string, std::uint64_t> Adapters_;
  std::uint64_t Orders_ = 0;
  std::string DeadlyPart_;
  std::int64_t Fail_ = 0;
  std::int64_t Refuse_ = 0;
  std::int64_t Unsealed_ = 0;
  std::int64_t Drop_ = 0;
  std::int64_t CutAfter_ = -1;
  std::int64_t EventMs_ = 5;
  std::int64_t HoldMs_ = 0;
  std::int64_t Slots_ = 0;
  std::int64_t UsedSlots_ = 0;
  /// The tickets of the waiting streams, in order.
  std::set<std::uint64_t> Waiting_;
  std::uint64_t LastTicket_ = 0;
  bool DropWaiting_ = false;
  bool HoldBody_ = false;
  bool Busy_ = false;
  bool Endless_ = false;
  bool BareRefusals_ = false;
  HttpHeaders ExtraHeaders_;
  RequestRecords Records_;
  HttpServer Server_;
};

} // namespace anvil

#endif // ANVIL_TESTS_STANDINS_REGISTEREDTARGETSTANDIN_H
