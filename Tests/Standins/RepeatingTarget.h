#ifndef ANVIL_TESTS_STANDINS_REPEATINGTARGET_H
#define ANVIL_TESTS_STANDINS_REPEATINGTARGET_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/streambuf.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace anvil {

/// An engine on threads of the test that keeps its connections open and, as
/// faulty engines do, may write a refusal once more at the point where the next
/// answer on its connection is expected. Requests that it doesn't refuse run
/// and get a stream of one event. Reports list the model `base`.
class RepeatingTarget {
public:
  explicit RepeatingTarget(std::string Id);
  ~RepeatingTarget();
  RepeatingTarget(const RepeatingTarget &) = delete;
  RepeatingTarget &operator=(const RepeatingTarget &) = delete;

  std::uint16_t port() const { return Acceptor_.local_endpoint().port(); }

  /// Refuses this number of following requests and writes each of these
  /// refusals twice. `HasId` says whether refusals name their request.
  void refuse(int Count, bool HasId);

  /// How often a request ran.
  int runCount(const std::string &RequestId) const;

  /// The number of refusals that were written once more.
  int repeatCount() const;

private:
  struct Caller;
  void accept();
  void serve(Caller &From);
  /// The bytes of the reply to a request; `Refusal` gets those of a refusal to
  /// be repeated.
  std::string replyTo(const std::string &Target, const std::string &RequestId,
                      std::string &Refusal);

  std::string Id_;
  boost::asio::io_context Loop_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  mutable std::mutex Mutex_;
  std::vector<std::unique_ptr<Caller>> Callers_;
  int Refusals_ = 0;
  bool RefusalsHaveId_ = true;
  int Repeats_ = 0;
  std::map<std::string, int> Runs_;
  bool Stopped_ = false;
  std::thread Thread_;
};

} // namespace anvil

#endif // ANVIL_TESTS_STANDINS_REPEATINGTARGET_H
