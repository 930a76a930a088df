#ifndef ANVIL_TESTS_STANDINS_UNFRAMEDTARGET_H
#define ANVIL_TESTS_STANDINS_UNFRAMEDTARGET_H

#include "Standins/ConnectionListener.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <string>

namespace anvil {

/// What an `UnframedTarget` answers.
struct UnframedAnswers {
  std::string Id_ = "target-1";
  /// The start time in reports; zero for none.
  std::int64_t Born_ = 0;
  /// The number of events of a stream, or of parts of another body.
  int Parts_ = 20;
  int PartMs_ = 50;
  /// Whether the process ends right after an answer, as a target that leaves
  /// after its last one.
  bool EndsAfterAnswer_ = false;
  /// Whether the process stops itself right after an answer (SIGSTOP).
  bool StopsAfterAnswer_ = false;
};

/// A target whose answers have neither a length nor chunks: they end with the
/// connection. Paths that begin with /stream/ get events that begin after
/// `Last-Event-Id`, others plain text. Reports have a length. Paths that end
/// with /busy are turned away for four seconds.
class UnframedTarget {
public:
  UnframedTarget(const boost::asio::any_io_executor &Executor,
                 UnframedAnswers Answers);

  Status listen(const Endpoint &Address) { return Listener_.listen(Address); }
  std::uint16_t port() const { return Listener_.port(); }

private:
  boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket Caller);

  UnframedAnswers Answers_;
  ConnectionListener Listener_;
};

} // namespace anvil

#endif // ANVIL_TESTS_STANDINS_UNFRAMEDTARGET_H
