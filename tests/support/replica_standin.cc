#include "support/replica_standin.h"

#include <algorithm>
#include <utility>

namespace coltsfootvane::testing {
namespace {

using StreamPtr = std::shared_ptr<net::TcpStream>;

}  // namespace

ReplicaStandin::ReplicaStandin(boost::asio::io_context* io,
                               const std::string& host,
                               std::string replica_id)
    : server(
          io,
          host,
          [this](const ReceivedRequest& request, const StreamPtr& stream) {
            this->arrivals.push_back({std::string(net::FieldValue(
                                          request.head.fields, "Request-Id")),
                                      Clock::now()});
            this->answer(request, stream);
          }),
      id(std::move(replica_id)),
      answer([this](const ReceivedRequest& request, const StreamPtr& stream) {
        this->Run(request, stream);
      }) {}

nlohmann::json ReplicaStandin::Entry(const char* state) {
  nlohmann::json entry = {{"service", "books"},
                          {"address", this->server.AddressText()},
                          {"zone", "dc"},
                          {"version", "v1"},
                          {"slots", 8},
                          {"state", state},
                          {"coldRemainingMs", 0},
                          {"born", this->incarnation},
                          {"sequence", ++this->sequence}};
  entry.erase(this->lost_field);
  return entry;
}

void ReplicaStandin::Restart() {
  this->incarnation += 1000;
  this->sequence = 0;
}

void ReplicaStandin::Run(const ReceivedRequest& request,
                         const StreamPtr& stream,
                         const net::Fields& more) {
  ++this->runs[std::string(net::FieldValue(request.head.fields, "Request-Id"))];
  net::Fields fields = AnswerFields(request);
  fields.insert(fields.end(), more.begin(), more.end());
  Reply(stream, 200, "booked", fields);
}

void ReplicaStandin::Refuse(const ReceivedRequest& request,
                            const StreamPtr& stream,
                            const net::Fields& more) {
  net::Fields fields = AnswerFields(request);
  fields.push_back({"Not-Executed", "1"});
  fields.insert(fields.end(), more.begin(), more.end());
  Reply(stream, 503, "", fields);
}

int ReplicaStandin::CountArrivals(TimePoint from, TimePoint to) const {
  return static_cast<int>(std::count_if(this->arrivals.begin(),
                                        this->arrivals.end(),
                                        [from, to](const Arrival& one) {
                                          return one.at >= from && one.at < to;
                                        }));
}

net::Fields AnswerFields(const ReceivedRequest& request) {
  return {{"Request-Id",
           std::string(net::FieldValue(request.head.fields, "Request-Id"))},
          {"Server-Signature", "proof"}};
}

}  // namespace coltsfootvane::testing
