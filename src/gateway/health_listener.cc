#include "gateway/health_listener.h"

#include <utility>

namespace coltsfootvane::gateway {
namespace {

constexpr net::ParseLimits kLimits{8 * 1024, 1024};
/// A client that leaves more answer bytes unread is disconnected.
constexpr std::size_t kMaxUnsentBytes = 1024UL * 1024;

struct Session {
  net::MessageParser parser{net::MessageParser::Kind::kRequest, kLimits};
  std::string input;
};

std::string Format(const HealthAnswer& answer, bool keep_alive) {
  net::ResponseHead head;
  head.status = answer.status;
  head.fields.push_back({"Content-Type", "text/plain; version=0.0.4"});
  head.fields.push_back({"Content-Length", std::to_string(answer.body.size())});
  if (!keep_alive)
    head.fields.push_back({"Connection", "close"});
  return net::FormatHead(head) + answer.body;
}

}  // namespace

HealthListener::HealthListener(boost::asio::io_context* io,
                               Answer answer_function)
    : listener(io), answer(std::move(answer_function)) {}

Result<bool> HealthListener::Open(const net::tcp::endpoint& address) {
  return this->listener.Open(
      address, [this](const std::shared_ptr<net::TcpStream>& stream) {
        this->Serve(stream);
      });
}

void HealthListener::Serve(const std::shared_ptr<net::TcpStream>& stream) {
  auto session = std::make_shared<Session>();
  net::StreamEvents events;
  events.on_data =
      [this, session,
       weak = std::weak_ptr<net::TcpStream>(stream)](std::string_view bytes) {
        const auto connection = weak.lock();
        session->input.append(bytes);
        const std::size_t used = session->parser.Feed(session->input);
        session->input.erase(0, used);
        if (session->parser.Fault() != net::ParseFault::kNone) {
          connection->Close();
          return;
        }
        if (!session->parser.Done())
          return;
        if (connection->UnsentBytes() > kMaxUnsentBytes) {
          connection->Close();
          return;
        }
        const net::RequestHead& head = session->parser.Request();
        const std::string path = head.target.substr(0, head.target.find('?'));
        const bool keep_alive =
            net::KeepsConnection(head.fields, head.minor_version);
        connection->Write(Format(this->answer(path), keep_alive));
        if (keep_alive)
          *session = Session();
        else
          connection->CloseAfterWrite();
      };
  stream->Start(std::move(events));
}

}  // namespace coltsfootvane::gateway
