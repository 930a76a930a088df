#ifndef ANVIL_TESTS_STANDINS_ENGINESTANDIN_H
#define ANVIL_TESTS_STANDINS_ENGINESTANDIN_H

#include "Http/HttpServer.h"
#include "Placement/EngineCodec.h"
#include "Standins/RequestRecord.h"

#include <map>
#include <string>

namespace anvil {

/// How a stand-in engine behaves; `POST /control` changes it while it runs.
struct EngineBehaviour {
  std::int64_t AdapterSlots_ = 4;
  std::int64_t RequestSlots_ = 8;
  /// Time of one token, whatever the batch.
  std::int64_t TokenMs_ = 1;
  /// Time of a load.
  std::int64_t LoadMs_ = 20;
  bool ChecksFencing_ = true;
  /// Loads that fail from now on.
  std::int64_t FailLoads_ = 0;
};

/// A model engine without a model: keeps adapters, runs requests slot by slot
/// and answers with words that name adapter and version. A prompt that contains
/// `crash-engine` ends all its connections and restarts it cold.
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
  };

  boost::asio::awaitable<void> handle(HttpExchange &Exchange);
  boost::asio::awaitable<void> load(HttpExchange &Exchange);
  boost::asio::awaitable<void> unload(HttpExchange &Exchange);
  boost::asio::awaitable<void> complete(HttpExchange &Exchange);
  boost::asio::awaitable<void> generate(HttpExchange &Exchange,
                                        const Run &Work);
  bool acceptFencing(const HttpRequest &Request, const std::string &Order,
                     const std::string &Model);
  void control(const HttpRequest &Request);
  void crash();
  HttpReply status() const;

  boost::asio::any_io_executor Executor_;
  EngineBehaviour Behaviour_;
  std::string Incarnation_;
  std::uint64_t HighestFencing_ = 0;
  /// Running requests by resident model.
  std::map<std::string, std::int64_t> Resident_;
  std::int64_t Running_ = 0;
  std::int64_t Waiting_ = 0;
  RequestRecords Records_;
  HttpServer Server_;
};

} // namespace anvil

#endif // ANVIL_TESTS_STANDINS_ENGINESTANDIN_H
