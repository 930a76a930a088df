#ifndef ANVIL_TESTS_STANDINS_ENGINESTANDIN_H
#define ANVIL_TESTS_STANDINS_ENGINESTANDIN_H

#include "Http/HttpServer.h"
#include "Placement/EngineCodec.h"
#include "Standins/RequestRecord.h"

#include <map>
#include <string>
#include <vector>

namespace anvil {

/// How a stand-in engine behaves; `POST /control` changes it while it runs.
struct EngineBehaviour {
  std::int64_t AdapterSlots_ = 4;
  std::int64_t RequestSlots_ = 8;
  /// Time of one token when a request runs alone.
  std::int64_t TokenMs_ = 1;
  /// How much longer a token takes for each further request of the batch.
  std::int64_t BatchPercent_ = 0;
  /// Time of a load without a weight store.
  std::int64_t LoadMs_ = 20;
  /// The weight store's `address:port`; its transfers set the time of loads.
  std::string Store_;
  bool ChecksFencing_ = true;
  /// Loads that fail from now on.
  std::int64_t FailLoads_ = 0;
  /// How old the reported status may be.
  std::int64_t StatusLagMs_ = 0;
  /// How long an order that comes now waits before it is looked at.
  std::int64_t OrderDelayMs_ = 0;
  /// Answers from now on that wait until the next request has begun.
  std::int64_t HoldAnswers_ = 0;
  /// Answers from now on whose head names another request.
  std::int64_t CrossedIds_ = 0;
  /// Answers from now on that name another adapter, in head and body.
  std::int64_t CrossedModels_ = 0;
  /// Streams from now on that carry the events of another request.
  std::int64_t CrossedEvents_ = 0;
  /// How late cache events are published; each `CacheGap_`th gets lost.
  std::int64_t CacheLagMs_ = 0;
  std::int64_t CacheGap_ = 0;
};

/// A model engine without a model: keeps adapters, runs requests slot by slot
/// and answers with words that name adapter and version. A prompt that contains
/// `crash-engine` ends all its connections and restarts it cold. A request with
/// `X-Resume-Request` and `X-Resume-Offset` gets the remaining events of a run
/// that the engine remembers, else status 409.
class EngineStandin {
public:
  EngineStandin(boost::asio::any_io_executor Executor,
                EngineBehaviour Behaviour);

  Status listen(const Endpoint &Address) { return Server_.listen(Address); }
  std::uint16_t port() const { return Server_.port(); }

private:
  struct Run {
    std::string Id_;
    std::string Model_;
    std::string Prompt_;
    std::int64_t MaxTokens_ = 0;
    bool Stream_ = false;
    bool IsChat_ = false;
    /// Tokens that the caller already has.
    std::int64_t Offset_ = 0;
  };

  /// A prompt prefix that was cached.
  struct CacheEvent {
    std::int64_t Sequence_ = 0;
    std::string Model_;
    std::string PrefixSha256_;
    TimePoint At_{};
  };

  boost::asio::awaitable<void> handle(HttpExchange &Exchange);
  boost::asio::awaitable<void> load(HttpExchange &Exchange);
  boost::asio::awaitable<void> unload(HttpExchange &Exchange);
  boost::asio::awaitable<void> transfer(const std::string &Model);
  boost::asio::awaitable<void> complete(HttpExchange &Exchange);
  boost::asio::awaitable<void> generate(HttpExchange &Exchange,
                                        const Run &Work);
  boost::asio::awaitable<bool> waitForSlot(HttpExchange &Exchange);
  boost::asio::awaitable<void> holdAnswer();
  std::int64_t tokenTime();
  Run misdirect(const Run &Work);
  void noteCached(const Run &Work);
  bool acceptFencing(const HttpRequest &Request, const std::string &Order,
                     const std::string &Model);
  void control(const HttpRequest &Request);
  void crash();
  HttpReply status();
  HttpReply cacheEvents(const HttpRequest &Request) const;

  boost::asio::any_io_executor Executor_;
  EngineBehaviour Behaviour_;
  std::string Incarnation_;
  std::uint64_t HighestFencing_ = 0;
  /// Running requests by resident model.
  std::map<std::string, std::int64_t> Resident_;
  std::int64_t Running_ = 0;
  std::int64_t Waiting_ = 0;
  std::int64_t Begun_ = 0;
  /// The runs that can be resumed, by request id.
  std::map<std::string, Run> Remembered_;
  /// Tokens made, by the number of requests in the batch.
  std::map<std::int64_t, std::int64_t> Batches_;
  std::vector<CacheEvent> CacheEvents_;
  HttpReply Status_;
  TimePoint StatusAt_{};
  RequestRecords Records_;
  HttpServer Server_;
};

} // namespace anvil

#endif // ANVIL_TESTS_STANDINS_ENGINESTANDIN_H
