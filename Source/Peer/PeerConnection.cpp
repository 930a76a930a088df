#include "Peer/PeerConnection.h"

#include "Http/Spawn.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace anvil {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// Size limit of the frames waiting to be written, in bytes.
static constexpr std::size_t QueueLimitBytes = 32 * 1024 * 1024;

PeerConnection::PeerConnection(tcp::socket Socket)
    : Socket_(std::move(Socket)) {
  error_code Ignored;
  Socket_.set_option(tcp::no_delay(true), Ignored);
}

void PeerConnection::run(FrameHandler OnFrame, CloseHandler OnClose) {
  spawn(Socket_.get_executor(),
        readFrames(shared_from_this(), std::move(OnFrame), std::move(OnClose)));
}

asio::awaitable<void>
PeerConnection::readFrames(std::shared_ptr<PeerConnection>,
                           FrameHandler OnFrame, CloseHandler OnClose) {
  std::string Bytes;
  Error Cause{ErrorCode::ConnectionClosed, PeerName_, "closed", ""};
  while (Open_) {
    std::array<char, 16 * 1024> Chunk;
    error_code Problem;
    std::size_t Read = co_await Socket_.async_read_some(
        asio::buffer(Chunk),
        asio::redirect_error(asio::use_awaitable, Problem));
    if (Problem)
      break;
    Bytes.append(Chunk.data(), Read);
    bool Complete = true;
    while (Complete && Open_) {
      auto Decoded = extractFrame(Bytes);
      if (!isOk(Decoded)) {
        Cause = errorOf(Decoded);
        close();
        break;
      }
      Complete = valueOf(Decoded).has_value();
      if (Complete)
        OnFrame(*this, std::move(*valueOf(Decoded)));
    }
  }
  close();
  OnClose(*this, Cause);
}

void PeerConnection::send(const Frame &Message) {
  if (!Open_)
    return;
  WriteQueue_.push_back(encodeFrame(Message));
  QueuedBytes_ += WriteQueue_.back().size();
  if (QueuedBytes_ > QueueLimitBytes)
    return close();
  if (Writing_)
    return;
  Writing_ = true;
  spawn(Socket_.get_executor(), writeQueue(shared_from_this()));
}

asio::awaitable<void>
PeerConnection::writeQueue(std::shared_ptr<PeerConnection>) {
  while (Open_ && !WriteQueue_.empty()) {
    // All queued frames are sent in one write.
    std::string Batch;
    Batch.reserve(QueuedBytes_);
    for (const std::string &Bytes : WriteQueue_)
      Batch += Bytes;
    WriteQueue_.clear();
    QueuedBytes_ = 0;
    error_code Problem;
    co_await asio::async_write(
        Socket_, asio::buffer(Batch),
        asio::redirect_error(asio::use_awaitable, Problem));
    if (Problem)
      close();
  }
  Writing_ = false;
}

void PeerConnection::close() {
  Open_ = false;
  error_code Ignored;
  Socket_.close(Ignored);
}

asio::awaitable<Result<std::shared_ptr<PeerConnection>>>
connectPeer(Endpoint Server, Duration Timeout) {
  auto Executor = co_await asio::this_coro::executor;
  tcp::socket Socket(Executor);
  error_code Cause;
  auto Address = asio::ip::make_address(Server.Address_, Cause);
  bool TimedOut = false;
  if (!Cause) {
    asio::steady_timer Timer(Executor, Timeout);
    Timer.async_wait([&](error_code Cancelled) {
      if (Cancelled)
        return;
      TimedOut = true;
      error_code Ignored;
      Socket.close(Ignored);
    });
    co_await Socket.async_connect(
        tcp::endpoint(Address, Server.Port_),
        asio::redirect_error(asio::use_awaitable, Cause));
    // The handler refers to this coroutine frame, so it must have run before
    // the coroutine returns.
    Timer.cancel();
    co_await asio::post(Executor, asio::use_awaitable);
  }
  if (TimedOut)
    co_return Error{ErrorCode::Timeout, Server.text(),
                    "connection attempt timed out", ""};
  if (Cause)
    co_return Error{ErrorCode::Unavailable, Server.text(), Cause.message(), ""};
  co_return std::make_shared<PeerConnection>(std::move(Socket));
}

} // namespace anvil
