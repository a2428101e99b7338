#ifndef COLTSFOOTVANE_REVIEW_RIG_2_STORE_H_
#define COLTSFOOTVANE_REVIEW_RIG_2_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "http.h"

namespace review {

/// Stands in for the platform's store: linearizable, with watches. All answers
/// show the latest state.
class Store {
 public:
  /// Serves at the port, in threads.
  void Start(int port);
  /// Writes as the operator and the replicas do.
  void Put(const std::string& kind,
           const std::string& name,
           const nlohmann::json& spec);
  void Remove(const std::string& kind, const std::string& name);
  /// Returns the spec, or null.
  nlohmann::json Get(const std::string& kind, const std::string& name);

 private:
  struct Object {
    std::int64_t revision = 0;
    nlohmann::json spec;
  };
  struct Event {
    std::int64_t revision = 0;
    std::string kind;
    nlohmann::json content;
  };

  bool OnRequest(const Request& request, int descriptor);
  std::string OnRead(const std::string& kind,
                     const std::string& name,
                     const std::map<std::string, std::string>& query);
  std::string Watch(const std::string& kind,
                    std::int64_t from,
                    Milliseconds wait);
  std::string OnWrite(const Request& request,
                      const std::string& kind,
                      const std::string& name);
  void Record(const std::string& kind, const std::string& name, bool deleted);
  static nlohmann::json ToJson(const std::string& name, const Object& object);

  std::mutex mutex;
  std::condition_variable changed;
  std::int64_t revision = 100;
  std::map<std::string, std::map<std::string, Object>> kinds;
  std::vector<Event> events;
};

}  // namespace review

#endif  // COLTSFOOTVANE_REVIEW_RIG_2_STORE_H_
