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

/// An order to an engine, called a command in src/placement. The engine
/// executes it only if the number of orders accepted so far equals
/// `expected_sequence`, so that an outdated order has no effect.
struct EngineOrder {
  std::string endpoint_id;
  boost::asio::ip::tcp::endpoint address;
  Operation operation = Operation::kLoad;
  std::string model;
  std::string adapter;  ///< Empty for an order about the model itself.
  std::int64_t expected_sequence = 0;
  std::string holder;               ///< The lease holder that sends it.
  std::int64_t fencing_number = 0;  ///< The epoch of the lease.
};

enum class OrderResult {
  kAccepted,      ///< The engine executes the order.
  kHoldsAlready,  ///< The engine is already in the requested state.
  kBusy,    ///< Another order is in progress, or `expected_sequence` differs.
  kFenced,  ///< A later lease holder has sent an order.
  kOtherProcess,  ///< Another process answers at the address.
  kInvalid,
  /// No answer: the order may have been executed, or may be executed later.
  kUnknown,
  kNotSent,
};

const char* OperationName(Operation operation);
const char* OrderResultName(OrderResult result);

/// The state of an engine as it reports it on request.
struct EngineReport {
  std::vector<gateway::LoadedModel> models;
  /// Adapters being loaded, by AdapterName(). They already occupy slots.
  std::vector<std::string> pending_adapters;
  bool busy = false;  ///< An order is in progress.
  std::int64_t sequence = 0;
  std::int64_t incarnation = 0;  ///< 0 if not reported.
};

/// The answer to an order.
struct OrderAnswer {
  OrderResult result = OrderResult::kUnknown;
  gateway::EndpointNotice notice;
};

/// The answer to the request for a report.
struct ReportAnswer {
  Result<EngineReport> report;
  gateway::EndpointNotice notice;
};

using OrderHandler = std::function<void(const OrderAnswer&)>;
using ReportHandler = std::function<void(const ReportAnswer&)>;

/// Calls to engines. Each handler is called once, on the event loop.
struct EngineAccess {
  std::function<void(const EngineOrder&, OrderHandler)> send_order;
  std::function<void(const std::string& endpoint_id,
                     const boost::asio::ip::tcp::endpoint& address,
                     ReportHandler)>
      read_report;
};

}  // namespace coltsfootvane::orders

#endif  // COLTSFOOTVANE_ORDERS_ORDER_H_
