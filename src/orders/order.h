#ifndef COLTSFOOTVANE_ORDERS_ORDER_H_
#define COLTSFOOTVANE_ORDERS_ORDER_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/result.h"
#include "gateway/endpoint.h"

namespace coltsfootvane::orders {

enum class Operation { kLoad, kUnload };

/// An order to an engine. The engine carries it out only while it has accepted
/// as many orders as `expected`, so that one that arrives late has no effect.
struct EngineOrder {
  std::string endpoint_id;
  boost::asio::ip::tcp::endpoint address;
  Operation operation = Operation::kLoad;
  std::string model;
  std::string adapter;  ///< Empty for the model itself.
  std::int64_t expected = 0;
  std::string holder;               ///< Of the lease.
  std::int64_t fencing_number = 0;  ///< Of the lease.
};

enum class OrderResult {
  kAccepted,      ///< It is being carried out.
  kHoldsAlready,  ///< There is nothing to do.
  kBusy,          ///< Another order is in progress, or `expected` differs.
  kFenced,        ///< A later holder has given an order.
  kOtherProcess,  ///< The endpoint is not the expected one.
  kInvalid,
  kUnknown,  ///< No answer: it may be carried out, also later.
  kNotSent,
};

const char* OperationName(Operation operation);
const char* OrderResultName(OrderResult result);

/// What an engine says about itself on request.
struct EngineReport {
  std::vector<gateway::LoadedModel> models;
  /// Adapters on their way to the engine, by AdapterName(). They take places
  /// already.
  std::vector<std::string> coming_adapters;
  bool busy = false;  ///< An order is in progress.
  std::int64_t sequence = 0;
  std::int64_t incarnation = 0;  ///< 0 if not stated.
};

/// Access to engines. Handlers are called once, on the event loop.
struct EngineAccess {
  std::function<void(const EngineOrder&, std::function<void(OrderResult)>)>
      give_order;
  std::function<void(const std::string& endpoint_id,
                     const boost::asio::ip::tcp::endpoint& address,
                     std::function<void(Result<EngineReport>)>)>
      read_report;
};

}  // namespace coltsfootvane::orders

#endif  // COLTSFOOTVANE_ORDERS_ORDER_H_
