#ifndef ANVIL_TESTS_STANDINS_BRITTLETARGET_H
#define ANVIL_TESTS_STANDINS_BRITTLETARGET_H

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <thread>

namespace anvil {

/// What a `BrittleTarget` bears.
struct BrittleTargetPlan {
  int Slots_ = 4;
  /// Requests that may wait, usually and while it is brittle.
  int UsualWaiting_ = 24;
  int BrittleWaiting_ = 1;
  /// The rejections per second that it survives.
  int Rejections_ = 2;
  std::chrono::milliseconds Work_{100};
  /// From when on, after the first statement, fewer may wait.
  std::chrono::milliseconds Notice_{3000};
  std::chrono::milliseconds Down_{1500};
};

/// A target on a thread of the test that runs a number of requests at a time,
/// lets some wait and rejects the others. It states in all its answers that it
/// is brittle, once it has been told to be: if it has to reject too many in a
/// second, it closes all connections and is away for a while.
class BrittleTarget {
public:
  BrittleTarget(std::string Id, BrittleTargetPlan Plan);
  ~BrittleTarget();
  BrittleTarget(const BrittleTarget &) = delete;
  BrittleTarget &operator=(const BrittleTarget &) = delete;

  std::uint16_t port() const { return Port_; }
  void setBrittle(bool IsBrittle) { IsBrittle_ = IsBrittle; }
  int fallCount() const { return Falls_; }
  int servedCount() const { return Served_; }

private:
  using Clock = std::chrono::steady_clock;
  using Socket = boost::asio::ip::tcp::socket;

  boost::asio::awaitable<void> accept();
  boost::asio::awaitable<void> serve(std::shared_ptr<Socket> Caller);
  /// Waits for a slot and works. False if the target has fallen over.
  boost::asio::awaitable<bool> work();
  /// Whether the request must be rejected; the target may fall over by that.
  bool rejects();
  void fall();
  std::string reply(std::string_view Status, std::string_view Lines,
                    const std::string &RequestId) const;

  std::string Id_;
  BrittleTargetPlan Plan_;
  boost::asio::io_context Loop_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  std::uint16_t Port_;
  std::set<std::shared_ptr<Socket>> Callers_;
  std::deque<boost::asio::steady_timer *> Queue_;
  std::deque<Clock::time_point> Rejected_;
  Clock::time_point BrittleSince_{};
  Clock::time_point DownUntil_{};
  int Active_ = 0;
  int Lifetime_ = 0;
  std::atomic<bool> IsBrittle_ = false;
  std::atomic<int> Falls_ = 0;
  std::atomic<int> Served_ = 0;
  std::thread Thread_;
};

} // namespace anvil

#endif // ANVIL_TESTS_STANDINS_BRITTLETARGET_H
