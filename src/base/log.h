// The log: one record an entry on standard error, filtered by level, as text or as one JSON object a line.
//
// A record has words that on-call staff search for, and named fields. In text the fields follow the words as
// ` name=value`; in JSON the words are `event` and each field has its name. Writing never throws. Records may
// come from several threads; a LogLine itself belongs to one.
#ifndef STOATRUN_BASE_LOG_H_
#define STOATRUN_BASE_LOG_H_

#include <fmt/format.h>

#include <concepts>
#include <cstdint>
#include <iterator>
#include <optional>
#include <string_view>

#include "base/clock.h"

namespace stoatrun {

enum class Level { kDebug, kInfo, kWarn, kError };
enum class LogFormat { kText, kJson };

void SetLogLevel(Level level);
void SetLogFormat(LogFormat form);
bool IsLogged(Level level);
std::optional<Level> ParseLogLevel(std::string_view name);

// Appends `text` as the inside of a JSON string. Bytes that are not UTF-8 become U+FFFD, so that a record
// stays readable whatever a caller sent.
void AppendJsonEscaped(fmt::memory_buffer& out, std::string_view text);

// Collects one record and writes it when it goes. Nothing is formatted for a level that is not written.
class LogLine {
 public:
  LogLine(Level level, std::string_view words);
  ~LogLine();
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;

  template <std::integral T>
  LogLine& Field(std::string_view name, T value) {
    if (!on_) return *this;
    if (json_) {
      fmt::format_to(std::back_inserter(text_), R"(,"{}":{})", name, value);
    } else {
      fmt::format_to(std::back_inserter(text_), " {}={}", name, value);
    }
    return *this;
  }
  LogLine& Field(std::string_view name, std::string_view value);
  LogLine& Field(std::string_view name, const char* value) { return Field(name, std::string_view(value)); }
  // A word that is there or not: ` word` in text, `"word":true` or `false` in JSON.
  LogLine& Flag(std::string_view word, bool there);
  // The reason, which may hold blanks: `: reason` in text, `"why"` in JSON.
  LogLine& Reason(std::string_view reason);

 private:
  const Level level_;
  const bool on_, json_;
  fmt::memory_buffer text_;
};

// Callers at full speed must not buy CPU by what is logged of them: of entries of one kind only a few a
// second are written, and the next one tells how many were left out. Counters count them all.
class LogRateLimiter {
 public:
  bool Allows(Micros now);
  std::uint64_t TakeSuppressed();

 private:
  static constexpr int kASecond = 5;
  Micros from_{0};
  int written_ = 0;
  std::uint64_t left_out_ = 0;
};

}  // namespace stoatrun

#endif  // STOATRUN_BASE_LOG_H_
