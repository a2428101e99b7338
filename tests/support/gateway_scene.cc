#include "support/gateway_scene.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "net/message_parser.h"
#include "platform/request_format.h"
#include "support/free_port.h"

namespace coltsfootvane::testing {
namespace {

using BoostError = boost::system::error_code;
using net::tcp;

constexpr Milliseconds kPatience{5000};
constexpr int kQueueFillers = 3;

gateway::Route MakeRoute(const char* prefix, gateway::RouteKind kind) {
  gateway::Route route;
  route.name = prefix;
  route.host = "h";
  route.path_prefix = prefix;
  route.kind = kind;
  route.timeout = Milliseconds(600);
  route.target_latency = Milliseconds(300);
  route.services = {{"s", 1}};
  return route;
}

}  // namespace

struct GatewayScene::Endpoint {
  Endpoint(GatewayScene* owner, const tcp::endpoint& address)
      : scene(owner), acceptor(owner->io, address) {}

  void Accept() {
    this->acceptor.async_accept([this](const BoostError& ec, tcp::socket peer) {
      if (ec)
        return;
      auto stream = std::make_shared<net::TcpStream>(std::move(peer));
      auto parser = std::make_shared<net::MessageParser>(
          net::MessageParser::Kind::kRequest, net::ParseLimits());
      auto input = std::make_shared<std::string>();
      net::StreamEvents events;
      events.on_data = [this, parser, input,
                        raw = stream.get()](std::string_view bytes) {
        input->append(bytes);
        std::string rest = *input;
        *parser = net::MessageParser(net::MessageParser::Kind::kRequest,
                                     net::ParseLimits());
        parser->Feed(rest);
        if (!parser->Done())
          return;
        this->scene->received.push_back(std::exchange(*input, {}));
        this->Answer(raw);
      };
      events.on_end = [this](net::StreamEnd end) {
        ++this->scene->closed_by_gateway;
        if (end == net::StreamEnd::kFailed)
          ++this->scene->reset_by_gateway;
      };
      events.on_drained = [this, raw = stream.get()] {
        this->SendEndless(raw);
      };
      stream->Start(std::move(events));
      this->streams.push_back(stream);
      this->Accept();
    });
  }

  void Answer(net::TcpStream* stream) {
    const std::size_t index = this->scene->received.size() - 1;
    if (index >= this->scene->answers.size()) {
      this->scene->unanswered = stream->weak_from_this();
      return;
    }
    const ScriptedAnswer& answer = this->scene->answers[index];
    stream->Write(answer.bytes);
    if (answer.then == ScriptedAnswer::Then::kClose)
      stream->CloseAfterWrite();
    else if (answer.then == ScriptedAnswer::Then::kReset)
      stream->Reset();
    else if (answer.then == ScriptedAnswer::Then::kCrash)
      this->Crash();
    else if (answer.then == ScriptedAnswer::Then::kDark)
      this->GoDark();
    else
      this->SendEndless(stream);
    this->SendLater(stream->shared_from_this(), index, 0);
  }

  void SendLater(const std::shared_ptr<net::TcpStream>& stream,
                 std::size_t index,
                 std::size_t piece) {
    const ScriptedAnswer& answer = this->scene->answers[index];
    if (piece >= answer.later.size())
      return;
    auto timer = std::make_shared<boost::asio::steady_timer>(this->scene->io,
                                                             answer.interval);
    timer->async_wait([this, timer, stream, index, piece](const BoostError&) {
      stream->Write(this->scene->answers[index].later[piece]);
      this->SendLater(stream, index, piece + 1);
    });
  }

  /// The kernel drops new connections to a listener whose queue is full.
  void GoDark() {
    BoostError ignored;
    this->acceptor.cancel(ignored);
    ::listen(this->acceptor.native_handle(), 0);
    for (int i = 0; i < kQueueFillers; ++i) {
      this->fillers.emplace_back(this->scene->io);
      this->fillers.back().async_connect(this->acceptor.local_endpoint(),
                                         [](const BoostError&) {});
    }
  }

  void Crash() {
    BoostError ignored;
    this->acceptor.close(ignored);
    for (const auto& stream : this->streams)
      stream->CloseAfterWrite();
  }

  void SendEndless(net::TcpStream* stream) {
    const std::size_t index = this->scene->received.size() - 1;
    if (this->scene->received.empty() || index >= this->scene->answers.size() ||
        !stream->IsOpen())
      return;
    const std::string& endless = this->scene->answers[index].endless;
    if (endless.empty())
      return;
    this->scene->endless_bytes += endless.size();
    stream->Write(endless);
    // The stream reports that it is drained only if the kernel did not take all
    // bytes at once.
    if (stream->UnsentBytes() == 0)
      boost::asio::post(this->scene->io,
                        [this, stream] { this->SendEndless(stream); });
  }

  GatewayScene* scene;
  tcp::acceptor acceptor;
  std::vector<std::shared_ptr<net::TcpStream>> streams;
  std::vector<tcp::socket> fillers;  ///< Of the queue, if it is dark.
};

std::shared_ptr<gateway::RoutingTable> SceneRoutes() {
  using gateway::RouteKind;
  auto table = std::make_shared<gateway::RoutingTable>();
  table->version = 1;
  gateway::Route safe = MakeRoute("/safe/", RouteKind::kSafe);
  safe.max_attempts = 2;
  gateway::Route resumable = MakeRoute("/resume/", RouteKind::kStreaming);
  resumable.max_attempts = 2;
  resumable.resumable = true;
  table->routes = {safe, MakeRoute("/unsafe/", RouteKind::kUnsafe),
                   MakeRoute("/stream/", RouteKind::kStreaming), resumable};
  gateway::Service service;
  service.name = "s";
  table->services = {service};
  table->limits.header_bytes = 2000;
  table->limits.body_bytes = 1000;
  table->limits.header_timeout = Milliseconds(150);
  table->limits.idle_timeout = Milliseconds(300);
  return table;
}

void ChangeRoutes(gateway::RoutingTable* table,
                  const std::function<void(gateway::Route*)>& change) {
  std::vector<gateway::Route> routes;
  VisitRoutes(table->routes, [&routes](const gateway::Route& route) {
    routes.push_back(route);
  });
  for (gateway::Route& route : routes) {
    change(&route);
    PutRoute(std::move(route), &table->routes);
  }
}

GatewayScene::GatewayScene()
    : log(open("/dev/null", O_WRONLY), "test"),
      gateway(&this->io),
      host(OwnLoopbackHost()),
      callers(&this->io) {
  this->gateway.wire = &platform::RequestFormat();
  this->gateway.log = &this->log;
  this->gateway.data_centre = "dc";
  this->gateway.routes = SceneRoutes();
  this->gateway.random.seed(7);
  this->callers_address = {boost::asio::ip::make_address(this->host),
                           static_cast<unsigned short>(FreePort(this->host))};
  const Result<bool> opened = this->callers.Open(
      this->callers_address, [this](std::shared_ptr<net::TcpStream> stream) {
        std::make_shared<gateway::CallerConnection>(&this->gateway,
                                                    std::move(stream))
            ->Start();
      });
  if (!opened)
    std::abort();
}

void GatewayScene::AnswerLate(const std::string& bytes) {
  if (const auto stream = this->unanswered.lock())
    stream->Write(std::string_view(bytes));
}

void GatewayScene::AnswerLateAndClose(const std::string& bytes) {
  const auto stream = this->unanswered.lock();
  if (!stream)
    return;
  stream->Write(std::string_view(bytes));
  stream->CloseAfterWrite();
}

void GatewayScene::AddEndpoint(const std::string& id) {
  const tcp::endpoint address(
      boost::asio::ip::make_address(this->host),
      static_cast<unsigned short>(FreePort(this->host)));
  auto endpoint = std::make_shared<Endpoint>(this, address);
  endpoint->Accept();
  this->endpoints.push_back(endpoint);
  gateway::EndpointEntry entry;
  entry.id = id;
  entry.service = "s";
  entry.address = address;
  entry.data_centre = "dc";
  entry.slots = 4;
  UpsertEndpoint(&this->gateway.endpoints, std::move(entry));
  UpdateEndpointList(&this->gateway);
}

void GatewayScene::MakeEngines() {
  gateway::EngineSpec engine;
  engine.slots = 8;
  engine.models.resize(1);
  engine.models[0].name = "m";
  auto table = std::make_shared<gateway::RoutingTable>(*this->gateway.routes);
  table->services[0].Edit().engine = engine;
  this->gateway.routes = table;
  for (const gateway::EndpointPtr& endpoint : this->gateway.endpoint_list)
    endpoint->entry.models = {{"m", {}}};
}

std::string GatewayScene::Call(const std::string& request,
                               Milliseconds leave_after) {
  tcp::socket socket(this->io);
  socket.connect(this->callers_address);
  boost::asio::write(socket, boost::asio::buffer(request));
  std::string answer;
  bool ended = false;
  boost::asio::async_read(
      socket, boost::asio::dynamic_buffer(answer),
      [&ended](const BoostError&, std::size_t) { ended = true; });
  boost::asio::steady_timer leave(this->io);
  if (leave_after.count() > 0) {
    leave.expires_after(leave_after);
    leave.async_wait([&socket](const BoostError& ec) {
      if (!ec)
        socket.close();
    });
  }
  this->RunUntil([&ended] { return ended; });
  leave.cancel();
  BoostError ignored;
  socket.close(ignored);
  this->RunUntil([&ended] { return ended; });
  return answer;
}

void GatewayScene::CallAndLeave(const std::string& request) {
  tcp::socket socket(this->io);
  socket.connect(this->callers_address);
  boost::asio::write(socket, boost::asio::buffer(request));
  socket.close();
}

bool GatewayScene::RunUntil(const std::function<bool()>& condition) {
  const auto deadline = Clock::now() + kPatience;
  while (!condition()) {
    if (Clock::now() >= deadline)
      return false;
    this->io.run_one_for(Milliseconds(20));
  }
  return true;
}

std::string CallerRequest(const std::string& path, const std::string& more) {
  return "POST " + path +
         "x HTTP/1.1\r\nHost: h\r\nRequest-Id: id1\r\nDeadline-Ms: 2000\r\n"
         "Connection: close\r\nContent-Length: 2\r\n" +
         more + "\r\nhi";
}

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace coltsfootvane::testing
