// Parses and formats the times and durations that the `ledger` sub-commands read and print.
#ifndef STOATRUN_CLI_LEDGER_FORMAT_H_
#define STOATRUN_CLI_LEDGER_FORMAT_H_

#include <cstdint>
#include <string>

namespace stoatrun::cli {

// Parses the value of a --period option, 2026-12-01T05:00:00Z or Unix time in seconds, and returns Unix time.
// Throws CLI::ValidationError if it is malformed.
std::int64_t ParsePeriodStart(const std::string& text);

// Formats Unix time in seconds as 2026-12-01T05:00:00Z.
std::string FormatUtc(std::int64_t unix_s);

// Formats microseconds as decimal seconds with six fractional digits.
std::string FormatSeconds(std::int64_t us);

}  // namespace stoatrun::cli

#endif  // STOATRUN_CLI_LEDGER_FORMAT_H_
