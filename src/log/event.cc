#include "log/event.h"

#include <easylogging++.h>

#include <string>

namespace coltsfootvane {

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
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configuration.setGlobally(el::ConfigurationType::Format,
                            "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level " +
                                std::string(process_name) + " %msg");
  el::Loggers::reconfigureAllLoggers(configuration);
}

}  // namespace coltsfootvane
