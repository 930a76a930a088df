#ifndef ANVIL_HTTP_SERVERCONNECTION_H
#define ANVIL_HTTP_SERVERCONNECTION_H

#include "Kernel/Clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace anvil {

/// How far a connection is with a request.
enum class ConnectionPhase { Idle, Reading, Handling, Lingering };

/// When a connection ends that its caller would keep; later values go further.
enum class ConnectionEnding { None, AfterAnswer, WhenIdle };

/// A caller's connection to a server. Only the coroutine that serves it closes
/// it, or the handler in it: a connection that another party closed could hold
/// a request that was taken from the socket before.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
  explicit ServerConnection(boost::asio::ip::tcp::socket Socket);

  void close();
  bool isOpen() const { return Stream_.socket().is_open(); }

  /// Asks for the end; an idle connection stops waiting for a request.
  void end(ConnectionEnding When);

  /// Waits for the first bytes of a request. False when there will be none.
  boost::asio::awaitable<bool> awaitRequest(Duration IdleTime);

  /// Notices that the caller closes the connection while its request runs. More
  /// input is a pipelined request, which waits in the socket for its turn.
  void watchCaller();

  /// Settles with an answer's head whether another request may follow it.
  bool settleKeepAlive();

  /// Ends the sending side and reads on until the caller has closed its own. A
  /// socket that is closed with unread bytes resets the connection, which can
  /// take the last answer from the caller.
  boost::asio::awaitable<void> linger();

  /// Stops the reads that follow once `Time` is over, until `clearReadLimit`.
  /// The limits of Beast's streams would close the socket.
  void limitRead(Duration Time);
  void clearReadLimit();
  bool readTimedOut() const { return ReadTimedOut_; }

  boost::beast::tcp_stream Stream_;
  boost::beast::flat_buffer Buffer_;
  ConnectionPhase Phase_ = ConnectionPhase::Idle;
  bool KeepAlive_ = true;
  bool CallerGone_ = false;
  std::string Tag_;
  std::function<void()> GoneCall_;

private:
  void cancelReadsAfter(Duration Time);
  /// Whether bytes of a next request are here.
  bool hasInput();

  boost::asio::steady_timer ReadTimer_;
  /// The number of the latest limit, as an earlier one may still call.
  std::uint64_t ReadLimit_ = 0;
  bool ReadTimedOut_ = false;
  ConnectionEnding Ending_ = ConnectionEnding::None;
  std::size_t AnswersSinceEnd_ = 0;
};

} // namespace anvil

#endif // ANVIL_HTTP_SERVERCONNECTION_H
