#ifndef ANVIL_HTTP_SERVERCONNECTION_H
#define ANVIL_HTTP_SERVERCONNECTION_H

#include "Http/HttpServerLimits.h"
#include "Kernel/BufferBudget.h"
#include "Kernel/Clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/system/error_code.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>

namespace anvil {

/// The processing phase of a connection.
enum class ConnectionPhase { Idle, Reading, Handling, Lingering };

/// When the server closes a connection that its caller would keep open; later
/// values are stricter.
enum class ConnectionEnding { None, AfterResponse, WhenIdle };

class ServerConnection;

/// Connections in the order in which they came into a phase.
using ConnectionList = std::list<ServerConnection *>;

/// A caller's connection to a server. Only the coroutine that serves it, or the
/// handler that it calls, closes it: otherwise a request that was already read
/// from the socket could be lost.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
  /// What arrives counts in the budget if there is one.
  ServerConnection(boost::asio::ip::tcp::socket Socket,
                   const HttpServerLimits &Limits);

  void close();
  bool isOpen() const { return Stream_.socket().is_open(); }

  /// Requests the close; an idle connection stops waiting for a request.
  void end(ConnectionEnding When);

  /// Waits for the first bytes of a request. False if none arrived by the idle
  /// limit, or before the connection was closed.
  boost::asio::awaitable<bool> awaitRequest(Duration IdleTime);

  /// Detects that the caller closes the connection while its request runs.
  /// Input that arrives meanwhile is a pipelined request and stays in the
  /// socket.
  void watchForDisconnect();

  /// Decides, when the head of a response is sent, whether another request may
  /// follow.
  bool decideKeepAlive();

  /// Shuts down the sending side and reads until the caller has closed its own.
  /// Closing a socket with unread bytes resets the connection, and the caller
  /// may lose the last response.
  boost::asio::awaitable<void> linger();

  /// Cancels reads that are pending or start after `Time` has passed, until
  /// `clearReadTimeout`. The timeouts of Beast's streams are not used because
  /// they close the socket.
  void setReadTimeout(Duration Time);
  void clearReadTimeout();

  /// Cancels the write that starts now once the caller has read nothing for too
  /// long.
  void beginWrite();

  /// Ends the supervision of a write, and closes the connection if it was
  /// cancelled.
  void endWrite();

  /// Cancels the current write if the caller doesn't read, or as soon as it
  /// doesn't.
  void giveWayIfUnread();

  /// Sets the maximum size of what has arrived and can't be parsed yet.
  void limitBuffer(std::size_t HeadBytes);

  /// Reads further bytes of a request into the buffer. Errors: buffer overflow,
  /// no memory, timeout, end of file or those of the socket.
  boost::asio::awaitable<boost::system::error_code> receive();

  /// Counts the head of the request that is being read. False if there is no
  /// memory for it.
  bool countHead(std::size_t Bytes);

  /// Ends the reading of a request in favour of those of other callers.
  void giveWay();

  /// Keeps the share of the body until `releaseRequest`.
  void keepBodyShare(std::unique_ptr<BufferShare> Share);

  /// Counts the request until `releaseRequest`, also if others need memory.
  /// False if there is none for it.
  bool retainRequest();

  /// Ends the counting of a request, and frees a large buffer.
  void releaseRequest();

  boost::beast::tcp_stream Stream_;
  boost::beast::flat_buffer Buffer_;
  ConnectionPhase Phase_ = ConnectionPhase::Idle;
  bool KeepAlive_ = true;
  bool CallerDisconnected_ = false;
  std::string Tag_;
  /// The server's list that the connection is in, and its place there.
  ConnectionList *List_ = nullptr;
  ConnectionList::iterator Place_;
  /// Whether it ends to make room for another connection.
  bool Displaced_ = false;
  std::function<void()> DisconnectHandler_;
  /// Called when the caller stops to read a response.
  std::function<void()> UnreadHandler_;

private:
  void cancelReadsAfter(Duration Time);
  void superviseWrites();
  void checkProgress();
  bool countBuffers();
  /// Whether bytes of the next request have arrived.
  bool hasInput();

  boost::asio::steady_timer ReadTimer_;
  /// The id of the latest timeout, since the handler of an earlier one may
  /// still be called.
  std::uint64_t ReadTimeoutId_ = 0;
  bool ReadTimedOut_ = false;
  Duration UnreadTime_;
  boost::asio::steady_timer WriteTimer_;
  /// Whether the timer runs, and whether a write does.
  bool IsSupervised_ = false;
  bool IsWriting_ = false;
  TimePoint WriteBeganAt_{};
  /// What the caller had acknowledged when it last made progress, and when.
  std::uint64_t Acknowledged_ = 0;
  TimePoint ProgressAt_{};
  bool IsUnread_ = false;
  bool MustBeRead_ = false;
  bool WriteCancelled_ = false;
  ConnectionEnding Ending_ = ConnectionEnding::None;
  std::size_t ResponsesSinceEnd_ = 0;
  BufferShare Share_;
  std::unique_ptr<BufferShare> BodyShare_;
  /// The memory of the parsed head.
  std::size_t HeadBytes_ = 0;
  /// Whether `giveWay` was called for the request that is being read.
  bool GaveWay_ = false;
};

} // namespace anvil

#endif // ANVIL_HTTP_SERVERCONNECTION_H
