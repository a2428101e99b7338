#include "daemon/peer_fetch.h"

#include <utility>

namespace coltsfootvane::daemon {

void FetchFromDaemon(net::HttpClient* client,
                     std::uint32_t address,
                     unsigned short port,
                     const char* path,
                     Milliseconds timeout,
                     std::function<void(const std::string* body)> done) {
  net::RequestHead head;
  head.method = "GET";
  head.target = path;
  head.fields.push_back({"Connection", "close"});
  client->Call(
      {boost::asio::ip::address_v4(address), port}, std::move(head), {},
      timeout, net::ConnectionUse::kOwn,
      [done = std::move(done)](const Result<net::WholeResponse>& response) {
        const bool ok = response && response.value().head.status == 200;
        done(ok ? &response.value().body : nullptr);
      });
}

}  // namespace coltsfootvane::daemon
