#ifndef ANVIL_TESTS_STANDINS_ENGINESTANDIN_H
#define ANVIL_TESTS_STANDINS_ENGINESTANDIN_H

#include "Http/HttpServer.h"
#include "Placement/EngineCodec.h"
#include "Standins/RequestRecord.h"

#include <map>
#include <string>
#include <vector>

namespace anvil {

/// Settings and faults of a stand-in engine; `POST /control` changes them at
/// run time.
struct EngineBehaviour {
  std::int64_t AdapterSlots_ = 4;
  std::int64_t RequestSlots_ = 8;
  /// Time per token of a request that runs alone.
  std::int64_t TokenMs_ = 1;
  /// Additional time per token, in percent, for each further request in the
  /// batch.
  std::int64_t BatchPercent_ = 0;
  /// Time per adapter load without a weight store.
  std::int64_t LoadMs_ = 20;
  /// `address:port` of the weight store; if set, its transfers determine the
  /// load time.
  std::string Store_;
  bool ChecksFencing_ = true;
  /// Number of following loads that fail.
  std::int64_t FailLoads_ = 0;
  /// Maximum age of the reported status.
  std::int64_t StatusLagMs_ = 0;
  /// Delay before an arriving order is processed.
  std::int64_t OrderDelayMs_ = 0;
  /// Number of following replies that wait until the next request has started.
  std::int64_t HoldReplies_ = 0;
  /// Number of following replies whose header names another request.
  std::int64_t CrossedIds_ = 0;
  /// Number of following replies that name another adapter, in header and body.
  std::int64_t CrossedModels_ = 0;
  /// Number of following streams that carry the events of another request.
  std::int64_t CrossedEvents_ = 0;
  /// Delay of published cache events; every `CacheGap_`th event is dropped.
  std::int64_t CacheLagMs_ = 0;
  std::int64_t CacheGap_ = 0;
};

/// Stand-in for an inference engine, without a model. Loads adapters, runs a
/// limited number of requests at once and replies with text that names adapter
/// and version. A prompt that contains `crash-engine` aborts all connections
/// and restarts the engine with no adapter loaded. A request with
/// `X-Resume-Request` and `X-Resume-Offset` gets the remaining events of a run
/// since the last restart, else status 409.
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
    /// Tokens that the caller has already received.
    std::int64_t Offset_ = 0;
  };

  /// Reports that a prompt prefix was cached.
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
  boost::asio::awaitable<void> delayResponse();
  std::int64_t tokenTime();
  Run misdirect(const Run &Work);
  void recordCacheEvent(const Run &Work);
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
  /// Number of running requests by resident model.
  std::map<std::string, std::int64_t> Resident_;
  std::int64_t Running_ = 0;
  std::int64_t Waiting_ = 0;
  std::int64_t StartedRuns_ = 0;
  /// The runs that can be resumed, by request id.
  std::map<std::string, Run> ResumableRuns_;
  /// Generated tokens by batch size.
  std::map<std::int64_t, std::int64_t> Batches_;
  std::vector<CacheEvent> CacheEvents_;
  HttpReply Status_;
  TimePoint StatusAt_{};
  RequestRecords Records_;
  HttpServer Server_;
};

} // namespace anvil

#endif // ANVIL_TESTS_STANDINS_ENGINESTANDIN_H
