#include "orders/order.h"

namespace coltsfootvane::orders {

const char* OperationName(Operation operation) {
  return operation == Operation::kLoad ? "load" : "unload";
}

const char* OrderResultName(OrderResult result) {
  switch (result) {
    case OrderResult::kAccepted:
      return "accepted";
    case OrderResult::kHoldsAlready:
      return "holds-already";
    case OrderResult::kBusy:
      return "busy";
    case OrderResult::kFenced:
      return "fenced";
    case OrderResult::kOtherProcess:
      return "other-process";
    case OrderResult::kInvalid:
      return "invalid";
    case OrderResult::kUnknown:
      return "unknown";
    case OrderResult::kNotSent:
      return "not-sent";
  }
  return "unknown";
}

}  // namespace coltsfootvane::orders
