#include "support/loopback_server.h"

#include <fcntl.h>

#include <utility>

#include "net/message_parser.h"
#include "support/free_port.h"

namespace coltsfootvane::testing {
namespace {

using BoostError = boost::system::error_code;

constexpr int kBadRequest = 400;

struct Session {
  net::MessageParser parser{net::MessageParser::Kind::kRequest,
                            net::ParseLimits()};
  std::string input;
  std::string body;
};

}  // namespace

LoopbackServer::LoopbackServer(boost::asio::io_context* io,
                               const std::string& host,
                               Handler on_request)
    : address(boost::asio::ip::make_address(host),
              static_cast<unsigned short>(FreePort(host))),
      acceptor(*io, this->address),
      handler(std::move(on_request)) {
  // Processes that the test starts would keep the address listening.
  fcntl(this->acceptor.native_handle(), F_SETFD, FD_CLOEXEC);
  this->Accept();
}

std::string LoopbackServer::AddressText() const {
  return this->address.address().to_string() + ":" +
         std::to_string(this->address.port());
}

void LoopbackServer::Stop() {
  BoostError ignored;
  this->acceptor.close(ignored);
  for (const auto& stream : this->streams)
    stream->CloseAfterWrite();
}

void LoopbackServer::Accept() {
  this->acceptor.async_accept(
      [this](const BoostError& ec, net::tcp::socket peer) {
        if (ec)
          return;
        auto stream = std::make_shared<net::TcpStream>(std::move(peer));
        auto session = std::make_shared<Session>();
        net::StreamEvents events;
        std::weak_ptr<net::TcpStream> weak = stream;
        events.on_data = [this, session, weak](std::string_view bytes) {
          session->input.append(bytes);
          while (!session->input.empty()) {
            const std::size_t used = session->parser.Feed(session->input);
            session->input.erase(0, used);
            session->body += session->parser.TakeBody();
            if (session->parser.Fault() != net::ParseFault::kNone) {
              Reply(weak.lock(), kBadRequest, "", {{"Connection", "close"}});
              weak.lock()->CloseAfterWrite();
              return;
            }
            if (!session->parser.Done())
              return;
            const ReceivedRequest request{session->parser.Request(),
                                          std::exchange(session->body, {})};
            session->parser = net::MessageParser(
                net::MessageParser::Kind::kRequest, net::ParseLimits());
            this->handler(request, weak.lock());
          }
        };
        stream->Start(std::move(events));
        this->streams.push_back(stream);
        this->Accept();
      });
}

void Reply(const std::shared_ptr<net::TcpStream>& stream,
           int status,
           const std::string& body,
           const net::Fields& fields) {
  net::ResponseHead head;
  head.status = status;
  head.fields = fields;
  head.fields.push_back({"Content-Length", std::to_string(body.size())});
  stream->Write(net::FormatHead(head) + body);
}

}  // namespace coltsfootvane::testing
