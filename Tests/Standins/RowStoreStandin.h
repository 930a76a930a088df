#ifndef ANVIL_TESTS_STANDINS_ROWSTORESTANDIN_H
#define ANVIL_TESTS_STANDINS_ROWSTORESTANDIN_H

#include "Http/HttpServer.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace anvil {

/// In-memory stand-in for the platform's row store: rows with one version
/// counter, a change feed and transactions. `PUT /row` with `{"Table", "Key",
/// "Value"}` writes a row with a text value, as the operator or a target does;
/// `DELETE /row` drops one. `POST /control` with `{"down", "lose_answers"}`
/// makes it unreachable, or applies that many transactions without replying.
/// With `{"forget": true}` it discards its history.
/// With `{"era": N}` its answers name that era, with `{"copy": true}` it takes
/// a copy, and with `{"restore": true}` it goes back to that copy: the era
/// rises by one, and versions are given out again.
class RowStoreStandin {
public:
  explicit RowStoreStandin(boost::asio::any_io_executor Executor);

  Status listen(const Endpoint &Address) { return Server_.listen(Address); }
  std::uint16_t port() const { return Server_.port(); }

private:
  struct Row {
    std::string Value_;
    std::uint64_t Version_ = 0;
    bool Deleted_ = false;
  };
  using Table = std::map<std::string, Row>;

  boost::asio::awaitable<void> handle(HttpExchange &Exchange);
  boost::asio::awaitable<void> feed(HttpExchange &Exchange);
  HttpReply get(const HttpRequest &Request) const;
  HttpReply transact(const HttpRequest &Request);
  HttpReply control(const HttpRequest &Request);
  HttpReply writeRow(const HttpRequest &Request);
  nlohmann::json rowJson(const std::string &TableName, const std::string &Key,
                         const Row &Item) const;
  HttpReply rowsReply(nlohmann::json Rows, bool HasMore) const;

  /// Adds the era, if there is one.
  HttpReply withEra(HttpReply Reply) const;

  std::map<std::string, Table> Tables_;
  std::uint64_t Version_ = 0;
  std::map<std::string, Table> CopiedTables_;
  std::uint64_t CopiedVersion_ = 0;
  std::uint64_t Era_ = 0;
  /// The version from which on it has its history.
  std::uint64_t HistoryFrom_ = 0;
  bool Down_ = false;
  std::int64_t LoseReplies_ = 0;
  HttpServer Server_;
};

} // namespace anvil

#endif // ANVIL_TESTS_STANDINS_ROWSTORESTANDIN_H
