// Text forms of the ledger's times and amounts, as the `ledger` sub-commands read and print them. Pure.
#ifndef STOATRUN_CLI_LEDGER_FORMAT_H_
#define STOATRUN_CLI_LEDGER_FORMAT_H_

#include <cstdint>
#include <string>

namespace stoatrun::cli {

// Parses the value of a --period option: 2026-12-01T05:00:00Z, or Unix time in seconds. Returns Unix time;
// throws CLI::ValidationError.
std::int64_t ParsePeriodStart(const std::string& text);

// Unix time in seconds as 2026-12-01T05:00:00Z.
std::string FormatUtc(std::int64_t unix_s);

// Microseconds as decimal seconds with six places.
std::string FormatSeconds(std::int64_t us);

}  // namespace stoatrun::cli

#endif  // STOATRUN_CLI_LEDGER_FORMAT_H_
