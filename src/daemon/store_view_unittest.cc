#include "daemon/store_view.h"

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

#include "fleet/codec.h"
#include "support/free_port.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using boost::asio::ip::tcp;
using boost::asio::ip::udp;
using store::Changes;
using store::Listing;

namespace {

constexpr Milliseconds kLimit{3000};
constexpr char kOwn[] = "127.0.0.1";
constexpr char kPeer[] = "127.0.0.2";

store::Object MakeObject(const std::string& name,
                         std::int64_t revision,
                         bool draining = false) {
  store::Object object;
  object.name = name;
  object.place = store::Place(revision);
  object.spec = {{"draining", draining}};
  return object;
}

Result<gateway::EndpointEntry> ReadEndpoint(const std::string& id,
                                            const nlohmann::json& spec) {
  gateway::EndpointEntry entry;
  entry.id = id;
  entry.service = "service";
  entry.address = {boost::asio::ip::make_address("127.0.0.9"), 80};
  entry.slots = 1;
  entry.draining = spec.value("draining", false);
  return entry;
}

/// Accepts connections of daemons that fetch all endpoints, and answers them or
/// is silent for good.
struct SnapshotServer {
  SnapshotServer(boost::asio::io_context* io,
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

/// Returns a response whose snapshot has one endpoint, "a", at a revision.
std::string SnapshotResponse(std::int64_t revision) {
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
  const std::string body = fleet::Encode(datagram);
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\nConnection: close\r\n\r\n" + body;
}

/// A view of a daemon in a large fleet, and one other daemon.
struct Fixture {
  boost::asio::io_context io;
  unsigned short port = testing::FreePort(kOwn);
  DecisionLog log{open("/dev/null", O_WRONLY), "test"};
  gateway::Gateway gateway{&this->io};
  fleet::Fleet fleet{&this->io, &this->gateway};
  net::HttpClient client{&this->io};
  daemon::Deployment deployment;
  store::ObjectStore store;
  std::vector<store::Handler<Listing>> lists;    ///< Of endpoints.
  std::vector<store::Handler<Changes>> watches;  ///< Of endpoints.
  std::vector<store::Handler<Listing>> config_lists;
  std::vector<store::Handler<Changes>> config_watches;
  std::string own;
  udp::socket peer{this->io,
                   {boost::asio::ip::make_address(kPeer), this->port}};
  std::int64_t sequence = 0;
  daemon::StoreView view;

  explicit Fixture(std::string own_address = kOwn)
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
    this->store.list = [this](const std::string& kind, store::Freshness,
                              store::Handler<Listing> handler) {
      (kind == this->deployment.endpoint_kind ? this->lists
                                              : this->config_lists)
          .push_back(std::move(handler));
    };
    this->store.watch = [this](const std::string& kind, const store::Place&,
                               Milliseconds, store::Freshness,
                               store::Handler<Changes> handler) {
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
    Changes none;
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

}  // namespace

TEST_GROUP(StoreView){};

// Guards against a batch that leads others past a departure without containing
// it: a later page of the reader's listing has shown it already, so that the
// watch that follows changes nothing in the reader. The others would count as
// complete without it.
TEST(StoreView, TellsWhatALaterPageOfAListingHasShown) {
  struct Row {
    const char* name;
    bool deleted;
  };
  const Row rows[] = {{"deleted", true}, {"draining", false}};
  for (const Row& row : rows) {
    Fixture fixture;
    fixture.lists[0](
        Listing{{MakeObject("a", 5), MakeObject("b", 6)}, store::Place(10)});
    fixture.view.Tick();
    fixture.lists.clear();
    fixture.view.Refresh();
    CHECK_TEXT(!fixture.lists.empty(), row.name);
    // The revision is that of the first page, "b" is on the second.
    Listing listing{{MakeObject("a", 5)}, store::Place(20)};
    if (!row.deleted)
      listing.objects.push_back(MakeObject("b", 21, true));
    fixture.lists[0](listing);
    while (fixture.watches.empty())
      fixture.io.run_one_for(kLimit);
    Changes changes;
    changes.place = store::Place(21);
    changes.changes = {{MakeObject("b", 21, true), row.deleted}};
    fixture.watches.back()(changes);
    // To a daemon whose own listing had the same revision, but not that entry.
    const auto batches = fixture.BatchesSince(20);
    LONGS_EQUAL_TEXT(1, batches.size(), row.name);
    LONGS_EQUAL_TEXT(21, batches[0].to_revision, row.name);
    LONGS_EQUAL_TEXT(1, batches[0].changes.size(), row.name);
    CHECK_EQUAL_TEXT(row.deleted, batches[0].changes[0].deleted, row.name);
  }
}

// Guards against requests at an endpoint that left before a drill, beyond the
// time allowed: the time in which endpoints may register again began with the
// daemon's own listing, up to a second after the return of the store (DRAIN,
// DrillSoak).
TEST(StoreView, TheTimeToRegisterAgainBeginsWithTheEra) {
  constexpr Milliseconds kListedAfter{900};
  constexpr Milliseconds kKnownAfter{2600};
  Fixture fixture;
  store::LearnEra(1, fixture.store.eras.get());
  fixture.lists[0](
      Listing{{MakeObject("a", 5), MakeObject("b", 6)}, store::Place(10, 1)});
  fixture.view.Tick();
  const TimePoint learned = BootNow();
  store::LearnEra(2, fixture.store.eras.get());
  fixture.io.run_for(kListedAfter);
  for (const Milliseconds after : {kListedAfter, kKnownAfter}) {
    fixture.lists.clear();
    while (BootNow() < learned + after)
      fixture.io.run_one_for(Milliseconds(20));
    if (after == kListedAfter)
      fixture.view.Refresh();
    fixture.view.Tick();
    CHECK_TEXT(!fixture.lists.empty(), "reads again by itself");
    store::Object a = MakeObject("a", 5);
    a.place.era = 2;
    fixture.lists.back()(Listing{{a}, store::Place(20, 2)});
    fixture.view.Tick();
    const bool has_b = fixture.gateway.endpoints.endpoints.count("b") > 0;
    CHECK_EQUAL(after == kListedAfter, has_b);
  }
  CHECK(fixture.gateway.endpoints.endpoints.count("a") > 0);
}

// Guards against standbys that read the store beside a reader that is back, as
// after each outage (DrillCalls).
TEST(StoreView, AStandbyReadsUntilAReaderBeforeItDoes) {
  constexpr Milliseconds kUntilItReads{1550};
  constexpr Milliseconds kOneWatch{10};
  constexpr Milliseconds kSinceItsRead{200};
  constexpr Milliseconds kReportOnItsWay{40};
  constexpr Milliseconds kSeveralWatches{400};
  const std::vector<std::uint32_t> readers = Fixture().fleet.Readers(3);
  const auto text = [](std::uint32_t address) {
    return boost::asio::ip::address_v4(address).to_string();
  };
  // The socket of the other daemon has one of the addresses.
  const std::size_t rank = text(readers[1]) == kPeer ? 2 : 1;
  struct Row {
    const char* name;
    std::string from;
    bool reachable;
    int age_ms;
    bool yields;
  };
  const Row rows[] = {
      {"reader", text(readers[0]), true, 0, true},
      {"reader without the store", text(readers[0]), false, 0, false},
      {"the own read comes back", text(readers[0]), true, 150, false},
      {"follower", "127.0.0.50", true, 0, false},
  };
  for (const Row& row : rows) {
    Fixture fixture(text(readers[rank]));
    const Listing listing{{MakeObject("a", 5)}, store::Place(10)};
    fixture.lists[0](listing);
    fixture.config_lists[0](Listing{{}, store::Place(10)});
    CHECK_TEXT(fixture.AnswerWatches(kUntilItReads) > 0, row.name);
    while (fixture.AnswerWatches(kOneWatch) == 0)
      continue;
    fixture.io.run_for(kSinceItsRead);
    fleet::gen::Report report;
    report.store_reachable = row.reachable;
    report.endpoints_revision = 10;
    report.config_revision = 10;
    report.__set_max_departure_revision(10);
    report.__set_confirmed_age_ms(row.age_ms);
    fixture.Send(row.from, report);
    fixture.io.run_for(kReportOnItsWay);
    fixture.AnswerWatches(kReportOnItsWay);
    const bool goes_on = fixture.AnswerWatches(kSeveralWatches) > 0;
    CHECK_EQUAL_TEXT(!row.yields, goes_on, row.name);
  }
}

// Guards against a departure that stays unknown for as long as a connection to
// one other daemon takes to time out, while the next daemon would answer.
TEST(StoreView, RecoversBesideASilentDaemon) {
  constexpr std::int64_t kDeparture = 30;
  constexpr Milliseconds kMost{1100};
  Fixture fixture;
  fixture.lists[0](
      Listing{{MakeObject("a", 5), MakeObject("b", 6)}, store::Place(10)});
  fixture.view.Tick();
  const SnapshotServer silent(&fixture.io, kPeer, fixture.port, "");
  const SnapshotServer other(&fixture.io, "127.0.0.3", fixture.port,
                             SnapshotResponse(kDeparture));
  // Nobody answers requests for single changes. The silent one is the only one
  // whose report shows the departure when the first fetch begins.
  const TimePoint start = BootNow();
  fixture.Report(kPeer, kDeparture);
  while (silent.held.empty() && BootNow() < start + kLimit)
    fixture.io.run_one_for(kLimit);
  CHECK(!silent.held.empty());
  const TimePoint silent_at = BootNow();
  while (fixture.view.Endpoints().At().revision < kDeparture &&
         BootNow() < start + kLimit) {
    fixture.Report("127.0.0.3", kDeparture);
    fixture.io.run_for(Milliseconds(20));
  }
  CHECK(fixture.view.Endpoints().At().revision >= kDeparture);
  CHECK(fixture.gateway.endpoints.endpoints.count("b") == 0);
  CHECK(BootNow() - silent_at < kMost);
  // Ends the call in progress, which owns its connection until then.
  for (const std::shared_ptr<tcp::socket>& socket : silent.held)
    socket->close();
  fixture.io.run_for(Milliseconds(20));
}
