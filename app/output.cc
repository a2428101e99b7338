#include "output.h"

#include <iostream>

namespace coltsfootvane {

void AddOutputOption(CLI::App* command,
                     OutputFormat* format,
                     const std::string& default_name) {
  const auto parse = [format](const std::string& name) {
    if (name == "text")
      *format = OutputFormat::kText;
    else if (name == "json")
      *format = OutputFormat::kJson;
    else
      throw CLI::ValidationError("'" + name + "' is neither text nor json");
  };
  command
      ->add_option_function<std::string>(
          "--output", parse, "text or json (default: " + default_name + ")")
      ->type_name("FORMAT");
}

CLI::Option* AddAddressOption(CLI::App* command,
                              const std::string& option,
                              const std::string& description,
                              http::Address* address) {
  const auto parse = [address](const std::string& text) {
    *address = http::ParseAddress(text);
    if (address->port == 0)
      throw CLI::ValidationError("'" + text + "' is not HOST:PORT");
  };
  return command->add_option_function<std::string>(option, parse, description)
      ->type_name("HOST:PORT")
      ->required();
}

void AddTimeoutOption(CLI::App* command, int* timeout_ms) {
  constexpr int kMaxTimeoutMs = 600000;
  command
      ->add_option("--timeout-ms", *timeout_ms,
                   "Time for the whole command in ms")
      ->check(CLI::Range(100, kMaxTimeoutMs))
      ->type_name("MS")
      ->capture_default_str();
}

void PrintLine(std::string_view line) {
  std::cout << line << '\n';
}

void PrintJson(const nlohmann::json& json) {
  constexpr int kIndent = 2;
  std::cout << json.dump(kIndent, ' ', false,
                         nlohmann::json::error_handler_t::replace)
            << '\n';
}

void PrintError(std::string_view message) {
  std::cerr << "error: " << message << '\n';
}

void PrintError(const Error& error) {
  PrintError(std::string(ErrorCodeName(error.code)) + ": " + error.message);
}

nlohmann::json FindingsToJson(const Findings& findings) {
  nlohmann::json list = nlohmann::json::array();
  for (const Finding& finding : findings)
    list.push_back({{"file", finding.place.file},
                    {"line", finding.place.line},
                    {"column", finding.place.column},
                    {"message", finding.message}});
  return list;
}

void PrintFindings(const Findings& findings) {
  for (const Finding& finding : findings)
    std::cerr << FormatFinding(finding) << '\n';
}

}  // namespace coltsfootvane
