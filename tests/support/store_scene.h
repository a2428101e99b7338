#ifndef COLTSFOOTVANE_TESTS_SUPPORT_STORE_SCENE_H_
#define COLTSFOOTVANE_TESTS_SUPPORT_STORE_SCENE_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <utility>

#include "net/http_client.h"
#include "platform/http_store.h"
#include "support/free_port.h"
#include "support/store_standin.h"

namespace coltsfootvane::testing {

/// The client of the platform's store before a stand-in.
struct StoreScene {
  boost::asio::io_context io;
  StoreStandin standin{&this->io, OwnLoopbackHost()};
  net::HttpClient client{&this->io};
  store::ObjectStore store =
      platform::MakeHttpStore(&this->client, this->standin.server.Address());

  /// Runs the loop until the handler was called.
  template <class T>
  Result<T> Await(const std::function<void(store::Handler<T>)>& call) {
    std::optional<Result<T>> answer;
    call([&answer](Result<T> result) { answer = std::move(result); });
    const auto deadline = Clock::now() + Milliseconds(8000);
    while (!answer && Clock::now() < deadline)
      this->io.run_one_for(Milliseconds(50));
    return answer ? *answer : Error{ErrorCode::kTimeout, "no answer"};
  }

  Result<store::Object> Write(bool create, const store::Place& place) {
    store::Object object;
    object.name = "a";
    object.place = place;
    object.spec = {{"x", 1}};
    return this->Await<store::Object>([&](store::Handler<store::Object> done) {
      (create ? this->store.create : this->store.replace)("things", object,
                                                          std::move(done));
    });
  }
};

}  // namespace coltsfootvane::testing

#endif  // COLTSFOOTVANE_TESTS_SUPPORT_STORE_SCENE_H_
