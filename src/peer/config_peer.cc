#include "peer/config_peer.h"

#include <thrift/TConfiguration.h>
#include <thrift/TOutput.h>
#include <thrift/concurrency/ThreadFactory.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>
#include <thrift/transport/TSocket.h>
#include <thrift/transport/TVirtualTransport.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <thread>
#include <utility>

#include "log/event.h"
#include "peer/events.h"
#include "peer/gen/ConfigPeer.h"

namespace coltsfootvane::peer {
namespace {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::protocol::TCompactProtocolFactory;
using apache::thrift::server::TThreadedServer;
using apache::thrift::transport::TFramedTransport;
using apache::thrift::transport::TServerSocket;
using apache::thrift::transport::TSocket;
using apache::thrift::transport::TTransport;
using apache::thrift::transport::TTransportException;
using apache::thrift::transport::TTransportFactory;
using apache::thrift::transport::TVirtualTransport;

/// Limits the memory used by replies in progress.
constexpr int kMaxClients = 32;
constexpr int kSendTimeoutMs = 2000;
/// Time from accepting a connection to receiving the whole request, which fits
/// into one TCP segment. Without this limit, clients that send byte by byte
/// could occupy all connections.
constexpr Milliseconds kRequestTimeout{500};
/// A request contains one number; a reply contains a whole configuration.
constexpr int kMaxRequestFrameBytes = 4096;
constexpr int kMaxReplyFrameBytes = 8 * 1024 * 1024;
constexpr int kMaxParts = 256;

std::shared_ptr<TConfiguration> FrameLimits(int frame) {
  return std::make_shared<TConfiguration>(frame, frame);
}

/// A transport whose reads fail after `deadline`, even if data keeps arriving.
class DeadlineTransport : public TVirtualTransport<DeadlineTransport> {
 public:
  DeadlineTransport(std::shared_ptr<TTransport> transport, TimePoint deadline)
      : transport(std::move(transport)), deadline(deadline) {}

  bool isOpen() const override { return this->transport->isOpen(); }
  bool peek() override {
    return Clock::now() < this->deadline && this->transport->peek();
  }
  void open() override { this->transport->open(); }
  void close() override { this->transport->close(); }
  void flush() override { this->transport->flush(); }
  uint32_t read(uint8_t* buffer, uint32_t size) {
    if (Clock::now() >= this->deadline)
      throw TTransportException(TTransportException::TIMED_OUT,
                                "request not received before its deadline");
    return this->transport->read(buffer, size);
  }
  void write(const uint8_t* buffer, uint32_t size) {
    this->transport->write(buffer, size);
  }

 private:
  std::shared_ptr<TTransport> transport;
  TimePoint deadline;
};

class BoundedFrameFactory : public TTransportFactory {
 public:
  std::shared_ptr<TTransport> getTransport(
      std::shared_ptr<TTransport> transport) override {
    return std::make_shared<TFramedTransport>(
        std::make_shared<DeadlineTransport>(std::move(transport),
                                            Clock::now() + kRequestTimeout),
        FrameLimits(kMaxRequestFrameBytes));
  }
};

class Handler : public gen::ConfigPeerIf {
 public:
  explicit Handler(std::function<ConfigurationSnapshot()> snapshot)
      : snapshot(std::move(snapshot)) {}

  void Fetch(gen::FetchedConfiguration& result,
             const std::int64_t known_version) override {
    const ConfigurationSnapshot current = this->snapshot();
    result.placement = current.placement;
    result.newer = current.version > known_version;
    if (!result.newer)
      return;
    result.head = current.head;
    for (const BundlePart& part : current.parts) {
      gen::ConfigurationPart wire;
      wire.name = part.name;
      wire.text = part.text;
      wire.digest = part.digest;
      result.parts.push_back(std::move(wire));
    }
  }

 private:
  std::function<ConfigurationSnapshot()> snapshot;
};

/// Reports the result of starting to listen: empty on success, otherwise the
/// reason of the failure.
class ListenResult : public apache::thrift::server::TServerEventHandler {
 public:
  void preServe() override { this->Report({}); }

  void Report(const std::string& reason) {
    if (!this->reported.exchange(true))
      this->failure.set_value(reason);
  }

  std::promise<std::string> failure;

 private:
  std::atomic<bool> reported{false};
};

/// By default, Thrift writes a line to standard error per failed connection.
void DisableThriftOutput() {
  apache::thrift::GlobalOutput.setOutputFunction([](const char*) {});
}

FetchedSnapshot FromWire(gen::FetchedConfiguration&& wire) {
  FetchedSnapshot fetched;
  fetched.newer = wire.newer;
  fetched.head = std::move(wire.head);
  fetched.placement = std::move(wire.placement);
  for (gen::ConfigurationPart& part : wire.parts)
    fetched.parts.push_back(
        {std::move(part.name), std::move(part.text), std::move(part.digest)});
  return fetched;
}

}  // namespace

struct ConfigPeerServer::Running {
  std::unique_ptr<TThreadedServer> server;
  std::thread thread;
};

ConfigPeerServer::ConfigPeerServer() = default;

ConfigPeerServer::~ConfigPeerServer() {
  this->Stop();
}

Result<bool> ConfigPeerServer::Start(
    const http::Address& address,
    std::function<ConfigurationSnapshot()> snapshot) {
  DisableThriftOutput();
  auto socket = std::make_shared<TServerSocket>(address.host, address.port);
  socket->setSendTimeout(kSendTimeoutMs);
  socket->setRecvTimeout(static_cast<int>(kRequestTimeout.count()));
  this->running = std::make_unique<Running>();
  this->running->server = std::make_unique<TThreadedServer>(
      std::make_shared<gen::ConfigPeerProcessor>(
          std::make_shared<Handler>(std::move(snapshot))),
      socket, std::make_shared<BoundedFrameFactory>(),
      std::make_shared<TCompactProtocolFactory>());
  this->running->server->setConcurrentClientLimit(kMaxClients);
  const auto listening = std::make_shared<ListenResult>();
  std::future<std::string> failure = listening->failure.get_future();
  this->running->server->setServerEventHandler(listening);
  this->running->thread =
      std::thread([server = this->running->server.get(), listening] {
        try {
          server->serve();
        } catch (const std::exception& error) {
          listening->Report(error.what());
          LogEvent(kConfigPeerStopped, std::string("error=") + error.what());
        }
      });
  const std::string reason = failure.get();
  if (reason.empty())
    return true;
  this->running->thread.join();
  this->running.reset();
  return Error{
      ErrorCode::kInvalid,
      "cannot listen on " + http::FormatAddress(address) + ": " + reason, 0};
}

void ConfigPeerServer::Stop() {
  if (!this->running)
    return;
  this->running->server->stop();
  this->running->thread.join();
  this->running.reset();
}

Result<FetchedSnapshot> FetchFromPeer(const http::Address& peer,
                                      std::int64_t known_version,
                                      TimePoint deadline) {
  DisableThriftOutput();
  const auto left = TimeLeft(deadline, Clock::now()).count();
  if (left <= 0)
    return Error{ErrorCode::kTimeout, "deadline passed", 0};
  const int timeout_ms =
      static_cast<int>(std::min<std::int64_t>(left, 24LL * 3600 * 1000));
  const auto socket = std::make_shared<TSocket>(peer.host, peer.port);
  socket->setConnTimeout(timeout_ms);
  socket->setRecvTimeout(timeout_ms);
  socket->setSendTimeout(timeout_ms);
  const auto framed = std::make_shared<TFramedTransport>(
      socket, FrameLimits(kMaxReplyFrameBytes));
  try {
    framed->open();
  } catch (const std::exception& error) {
    return Error{ErrorCode::kNotSent, error.what(), 0};
  }
  try {
    gen::ConfigPeerClient client(std::make_shared<TCompactProtocol>(
        framed, kMaxReplyFrameBytes, kMaxParts));
    gen::FetchedConfiguration wire;
    client.Fetch(wire, known_version);
    framed->close();
    return FromWire(std::move(wire));
  } catch (const std::exception& error) {
    return Error{ErrorCode::kUnknown, error.what(), 0};
  }
}

}  // namespace coltsfootvane::peer
