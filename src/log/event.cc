#include "log/event.h"

#include <easylogging++.h>

#include <iostream>
#include <string>

namespace coltsfootvane {
namespace {

/// Writes to standard error, so that the output of a command stays readable by
/// scripts. The library itself only knows standard output.
class StandardErrorDispatch : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) noexcept override {
    std::cerr << data->logMessage()->logger()->logBuilder()->build(
        data->logMessage(),
        data->dispatchAction() == el::base::DispatchAction::NormalLog);
  }
};

}  // namespace

void LogEvent(const Event& event, std::string_view detail) {
  switch (event.severity) {
    case Severity::kInfo:
      LOG(INFO) << "E" << event.number << ' ' << event.name << ' ' << detail;
      return;
    case Severity::kWarning:
      LOG(WARNING) << "E" << event.number << ' ' << event.name << ' ' << detail;
      return;
    case Severity::kError:
      LOG(ERROR) << "E" << event.number << ' ' << event.name << ' ' << detail;
      return;
  }
}

void ConfigureLog(std::string_view process_name) {
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  configuration.setGlobally(el::ConfigurationType::Format,
                            "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level " +
                                std::string(process_name) + " %msg");
  el::Loggers::reconfigureAllLoggers(configuration);
  el::Helpers::installLogDispatchCallback<StandardErrorDispatch>(
      "StandardErrorDispatch");
}

}  // namespace coltsfootvane
