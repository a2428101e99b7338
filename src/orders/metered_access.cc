#include "orders/metered_access.h"

#include <prometheus/counter.h>
#include <prometheus/registry.h>

#include <utility>

namespace coltsfootvane::orders {

EngineAccess Metered(EngineAccess inner, prometheus::Registry* registry) {
  auto* const orders = &prometheus::BuildCounter()
                            .Name("coltsfootvane_engine_orders_total")
                            .Help("Orders to engines by result")
                            .Register(*registry);
  auto* const reports = &prometheus::BuildCounter()
                             .Name("coltsfootvane_engine_reports_total")
                             .Help("Reports read from engines by result")
                             .Register(*registry);
  EngineAccess metered;
  metered.send_order = [orders, call = std::move(inner.send_order)](
                           const EngineOrder& order, OrderHandler done) {
    prometheus::Labels labels = {
        {"operation", OperationName(order.operation)},
        {"object", order.adapter.empty() ? "model" : "adapter"}};
    call(order, [orders, labels = std::move(labels),
                 done = std::move(done)](const OrderAnswer& answer) mutable {
      labels["result"] = OrderResultName(answer.result);
      orders->Add(labels).Increment();
      done(answer);
    });
  };
  metered.read_report = [reports, call = std::move(inner.read_report)](
                            const std::string& endpoint_id,
                            const boost::asio::ip::tcp::endpoint& address,
                            ReportHandler done) {
    call(endpoint_id, address,
         [reports, done = std::move(done)](const ReportAnswer& answer) {
           const char* const result =
               answer.report ? "ok" : ErrorCodeName(answer.report.error().code);
           reports->Add({{"result", result}}).Increment();
           done(answer);
         });
  };
  return metered;
}

}  // namespace coltsfootvane::orders
