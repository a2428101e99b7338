#ifndef COLTSFOOTVANE_APP_OUTPUT_H_
#define COLTSFOOTVANE_APP_OUTPUT_H_

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/finding.h"
#include "base/result.h"
#include "exit_codes.h"
#include "http/message.h"

namespace coltsfootvane {

enum class OutputFormat { kText, kJson };

/// Adds `--output text|json`. `default_name` names the value of `format`.
void AddOutputOption(CLI::App* command,
                     OutputFormat* format,
                     const std::string& default_name = "text");

/// Adds `option HOST:PORT`, which is required unless the caller changes that.
CLI::Option* AddAddressOption(CLI::App* command,
                              const std::string& option,
                              const std::string& description,
                              http::Address* address);

/// Adds `--timeout-ms`, the time for the whole command.
void AddTimeoutOption(CLI::App* command, int* timeout_ms);

/// Writes one line to standard output.
void PrintLine(std::string_view line);

/// Writes indented JSON to standard output.
void PrintJson(const nlohmann::json& json);

/// Writes `error: ...` to standard error.
void PrintError(std::string_view message);
void PrintError(const Error& error);

nlohmann::json FindingsToJson(const Findings& findings);

/// Writes each finding as one line to standard error.
void PrintFindings(const Findings& findings);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_APP_OUTPUT_H_
