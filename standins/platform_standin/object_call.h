#ifndef COLTSFOOTVANE_STANDINS_PLATFORM_STANDIN_OBJECT_CALL_H_
#define COLTSFOOTVANE_STANDINS_PLATFORM_STANDIN_OBJECT_CALL_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "base/result.h"
#include "http/message.h"
#include "objectapi/object.h"

namespace coltsfootvane::standin {

enum class Verb { kGet, kList, kWatch, kCreate, kUpdate, kDelete };

/// One call of the object API.
struct ObjectCall {
  Verb verb = Verb::kGet;
  /// Kind, name and, as far as the verb has them, version and spec.
  objectapi::Object object;
  std::chrono::seconds watch_time{0};  ///< 0 if the caller gave none.
  std::size_t limit = 0;               ///< Of a list; 0 for no limit.
  std::string continue_token;          ///< Of a list; empty for its first page.
};

/// Errors: kInvalid; kNotFound for a path outside of the API.
Result<ObjectCall> ParseObjectCall(const http::Request& request);

const char* VerbName(Verb verb);
bool IsWrite(Verb verb);

/// Reduces a list in the order of names to the page that `call` asks for. The
/// token of a page is the name of its last object.
void TakePage(const ObjectCall& call, objectapi::ObjectList* list);

std::string FormatStoredObject(const objectapi::Object& object);
std::string FormatStoredList(const objectapi::ObjectList& list);
/// Returns the lines of `changes`, each with its line break.
std::string FormatWatchLines(const std::vector<objectapi::Change>& changes);

/// Returns the response that stands for `error`.
http::Response ErrorResponse(const Error& error);
http::Response JsonResponse(int status, std::string body);

}  // namespace coltsfootvane::standin

#endif  // COLTSFOOTVANE_STANDINS_PLATFORM_STANDIN_OBJECT_CALL_H_
