#include "cli/ledger_format.h"

#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <array>
#include <charconv>
#include <ctime>
#include <system_error>

namespace stoatrun::cli {
namespace {

constexpr const char* kUtcFormat = "%Y-%m-%dT%H:%M:%SZ";

}  // namespace

std::int64_t ParsePeriodStart(const std::string& text) {
  std::int64_t unix_s = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), unix_s);
  if (error == std::errc() && end == text.data() + text.size()) return unix_s;
  std::tm utc{};
  const char* rest = strptime(text.c_str(), kUtcFormat, &utc);
  if (rest == nullptr || *rest != '\0') {
    throw CLI::ValidationError("--period", "expected 2026-12-01T05:00:00Z or Unix time, got '" + text + "'");
  }
  return timegm(&utc);
}

std::string FormatUtc(std::int64_t unix_s) {
  const std::time_t time = unix_s;
  std::tm utc{};
  gmtime_r(&time, &utc);
  std::array<char, 32> text{};
  return {text.data(), std::strftime(text.data(), text.size(), kUtcFormat, &utc)};
}

std::string FormatSeconds(std::int64_t us) {
  const char* sign = us < 0 ? "-" : "";
  const auto magnitude = static_cast<std::uint64_t>(us < 0 ? -us : us);
  return fmt::format("{}{}.{:06}", sign, magnitude / 1'000'000, magnitude % 1'000'000);
}

}  // namespace stoatrun::cli
