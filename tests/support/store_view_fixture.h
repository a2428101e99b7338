#ifndef COLTSFOOTVANE_TESTS_SUPPORT_STORE_VIEW_FIXTURE_H_
#define COLTSFOOTVANE_TESTS_SUPPORT_STORE_VIEW_FIXTURE_H_

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "daemon/store_view.h"
#include "fleet/codec.h"
#include "support/free_port.h"

#include <CppUTest/TestHarness.h>

namespace coltsfootvane::testing {

using boost::asio::ip::tcp;
using boost::asio::ip::udp;

inline constexpr Milliseconds kLimit{3000};
inline constexpr char kOwn[] = "127.0.0.1";
inline constexpr char kPeer[] = "127.0.0.2";

inline store::Object MakeObject(const std::string& name,
                                std::int64_t revision,
                                bool draining = false) {
  store::Object object;
  object.name = name;
  object.place = store::Place(revision);
  object.spec = {{"draining", draining}};
  return object;
}

inline Result<gateway::EndpointEntry> ReadEndpoint(const std::string& id,
                                                   const nlohmann::json& spec) {
  gateway::EndpointEntry entry;
  entry.id = id;
  entry.service = "service";
  entry.address = {boost::asio::ip::make_address("127.0.0.9"), 80};
  entry.slots = 1;
  entry.draining = spec.value("draining", false);
  entry.incarnation = spec.value("born", std::int64_t{0});
  return entry;
}

/// Accepts connections of daemons that fetch, and answers them or is silent for
/// good.
struct PeerServer {
  PeerServer(boost::asio::io_context* io,
             const char* host,
             unsigned short port,
             std::string response)
      : acceptor(*io, tcp::endpoint(boost::asio::ip::make_address(host), port)),
        response(std::move(response)) {
    this->Accept();
  }

  void Accept() {
    auto socket = std::make_shared<tcp::socket>(this->acceptor.get_executor());
    this->acceptor.async_accept(
        *socket, [this, socket](const boost::system::error_code& ec) {
          if (ec)
            return;
          this->held.push_back(socket);
          this->Accept();
          if (this->response.empty())
            return;
          boost::asio::async_read_until(
              *socket, boost::asio::dynamic_buffer(this->request), "\r\n\r\n",
              [this, socket](const boost::system::error_code&, std::size_t) {
                boost::asio::write(*socket,
                                   boost::asio::buffer(this->response));
              });
        });
  }

  tcp::acceptor acceptor;
  std::string response;
  std::string request;
  std::vector<std::shared_ptr<tcp::socket>> held;
};

inline std::string MakeResponse(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\nConnection: close\r\n\r\n" + body;
}

/// Returns a response whose snapshot has one endpoint, "a", at a revision.
inline std::string SnapshotResponse(std::int64_t revision) {
  fleet::gen::EndpointNews one;
  one.id = "a";
  one.revision = revision;
  one.__set_fields(
      fleet::ToWire(ReadEndpoint("a", nlohmann::json::object()).value()));
  fleet::gen::StoreBatch all;
  all.to_revision = revision;
  all.changes = {one};
  fleet::gen::StoreNews news;
  news.batches = {all};
  fleet::gen::Datagram datagram;
  datagram.__set_store_news(news);
  return MakeResponse(fleet::Encode(datagram));
}

/// A view of a daemon in a large fleet, and one other daemon.
struct StoreViewFixture {
  boost::asio::io_context io;
  unsigned short port = FreePort(kOwn);
  DecisionLog log{open("/dev/null", O_WRONLY), "test"};
  gateway::Gateway gateway{&this->io};
  fleet::Fleet fleet{&this->io, &this->gateway};
  net::HttpClient client{&this->io};
  daemon::Deployment deployment;
  store::ObjectStore store;
  std::vector<store::Handler<store::Listing>> lists;    ///< Of endpoints.
  std::vector<store::Handler<store::Changes>> watches;  ///< Of endpoints.
  /// Of endpoints, for what listings that fail have shown.
  std::vector<std::function<void(const store::Listing&)>> partial_lists;
  std::vector<store::Handler<store::Listing>> config_lists;
  std::vector<store::Handler<store::Changes>> config_watches;
  std::string own;
  udp::socket peer{this->io,
                   {boost::asio::ip::make_address(kPeer), this->port}};
  std::int64_t sequence = 0;
  daemon::StoreView view;

  explicit StoreViewFixture(std::string own_address = kOwn)
      : own(std::move(own_address)),
        view(&this->io,
             this->Prepare(),
             &this->store,
             &this->gateway,
             &this->fleet,
             &this->log,
             kLimit,
             &this->client,
             this->port) {
    this->fleet.on_seen = [this](const fleet::SeenChanges& seen) {
      this->view.CatchUp(seen);
    };
    CHECK(static_cast<bool>(this->fleet.Open(this->Own())));
    for (unsigned char i = 1; i < 40; ++i) {
      const boost::asio::ip::address_v4 peer_address({127, 0, 0, i});
      if (peer_address.to_string() != this->own)
        this->fleet.AddPeer(peer_address);
    }
    this->view.Start();
  }

  const daemon::Deployment* Prepare() {
    this->gateway.log = &this->log;
    this->deployment.endpoint_kind = "endpoints";
    this->deployment.config_kind = "configs";
    this->deployment.read_endpoint = ReadEndpoint;
    this->store.list = [this](const std::string& kind,
                              const store::ListRequest& request,
                              store::Handler<store::Listing> handler) {
      if (kind == this->deployment.endpoint_kind)
        this->partial_lists.push_back(request.on_partial);
      (kind == this->deployment.endpoint_kind ? this->lists
                                              : this->config_lists)
          .push_back(std::move(handler));
    };
    this->store.watch = [this](const std::string& kind, const store::Place&,
                               Milliseconds, store::Freshness,
                               store::Handler<store::Changes> handler) {
      (kind == this->deployment.endpoint_kind ? this->watches
                                              : this->config_watches)
          .push_back(std::move(handler));
    };
    return &this->deployment;
  }

  /// Another daemon reports that it has seen a departure.
  void Report(const char* from, std::int64_t revision) {
    fleet::gen::Report report;
    report.endpoints_revision = revision;
    this->Send(from, report);
  }

  void Send(const std::string& from, fleet::gen::Report report) {
    report.incarnation = 1;
    report.sequence = ++this->sequence;
    fleet::gen::Datagram datagram;
    datagram.__set_report(report);
    udp::socket socket(this->io, {boost::asio::ip::make_address(from), 0});
    socket.send_to(boost::asio::buffer(fleet::Encode(datagram)), this->Own());
  }

  udp::endpoint Own() const {
    return {boost::asio::ip::make_address(this->own), this->port};
  }

  /// Runs for that time, in which the store answers all watches without a
  /// change. Returns how many there were of endpoints.
  std::size_t AnswerWatches(Milliseconds time) {
    constexpr Milliseconds kStep{20};
    std::size_t answered = 0;
    store::Changes none;
    none.place = this->view.Endpoints().At();
    const TimePoint end = BootNow() + time;
    while (BootNow() < end) {
      this->view.Tick();
      for (const auto& handler : std::exchange(this->config_watches, {}))
        handler(none);
      for (const auto& handler : std::exchange(this->watches, {})) {
        ++answered;
        handler(none);
      }
      this->io.run_for(kStep);
    }
    return answered;
  }

  /// Returns the batches that the view sends a daemon that knows `revision`.
  std::vector<fleet::gen::StoreBatch> BatchesSince(std::int64_t revision) {
    this->fleet.on_store_news_request(
        store::Place(revision),
        boost::asio::ip::make_address_v4(kPeer).to_uint());
    std::vector<fleet::gen::StoreBatch> batches;
    std::array<char, 2048> buffer{};
    while (this->peer.available() > 0) {
      const std::size_t length =
          this->peer.receive(boost::asio::buffer(buffer));
      const auto datagram =
          fleet::Decode(std::string_view(buffer.data(), length));
      if (!datagram || !datagram.value().__isset.store_news)
        continue;
      const fleet::gen::StoreNews& news = datagram.value().store_news;
      batches.insert(batches.end(), news.batches.begin(), news.batches.end());
    }
    return batches;
  }
};

}  // namespace coltsfootvane::testing

#endif  // COLTSFOOTVANE_TESTS_SUPPORT_STORE_VIEW_FIXTURE_H_
