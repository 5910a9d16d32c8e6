// The log: one record a line on standard error, filtered by level, as text or as one JSON object a line.
//
// A record has an event, fixed words that on-call staff search for, and named fields. In text the fields
// follow the event as ` name=value`; in JSON the event is the field `event` and each field has its own name.
// All functions are thread-safe and don't throw; a LogLine itself belongs to one thread.
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

// The severity of a record, in rising order.
enum class Level { kDebug, kInfo, kWarn, kError };
// The form in which records are written.
enum class LogFormat { kText, kJson };

// Sets the lowest level that is written; kInfo at first.
void SetLogLevel(Level level);
// Sets the form of all records from here on; kText at first.
void SetLogFormat(LogFormat format);
// Are records of this level written?
bool IsLogged(Level level);
// The level that configuration calls `name` (debug, info, warn, error); nothing for another name.
std::optional<Level> ParseLogLevel(std::string_view name);

// Appends `text` escaped as the inside of a JSON string. A byte that is not part of valid UTF-8 becomes
// U+FFFD, so that a record stays readable whatever a client sent.
void AppendJsonEscaped(fmt::memory_buffer& out, std::string_view text);

// Collects one record and writes it when it is destroyed. Nothing is formatted for a level that is not
// written.
class LogLine {
 public:
  // `event`: fixed words; what varies belongs into fields.
  LogLine(Level level, std::string_view event);
  ~LogLine();
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;

  // Adds an integer.
  template <std::integral T>
  LogLine& Field(std::string_view name, T value) {
    if (!enabled_) return *this;
    if (json_) {
      fmt::format_to(std::back_inserter(text_), R"(,"{}":{})", name, value);
    } else {
      fmt::format_to(std::back_inserter(text_), " {}={}", name, value);
    }
    return *this;
  }
  // Adds a text, which should hold no blanks.
  LogLine& Field(std::string_view name, std::string_view value);
  // The same, and not the overload for integers.
  LogLine& Field(std::string_view name, const char* value) { return Field(name, std::string_view(value)); }
  // Adds a flag: ` name` in text if it is set, `"name":true` or `false` in JSON.
  LogLine& Flag(std::string_view name, bool set);
  // Adds the reason, which may hold blanks: `: reason` in text, the field `why` in JSON.
  LogLine& Reason(std::string_view reason);

 private:
  const Level level_;
  const bool enabled_, json_;
  fmt::memory_buffer text_;
};

// Limits records of one kind to a few a second, so that clients can't consume CPU by what is logged about
// them. The next record that is written reports how many were suppressed; counters count the events
// themselves. Not thread-safe.
class LogRateLimiter {
 public:
  // May a record be written now? If not, it counts as suppressed.
  bool Allows(Micros now);
  // The number suppressed since the last call.
  std::uint64_t TakeSuppressed();

 private:
  static constexpr int kMaxPerSecond = 5;
  Micros window_start_{0};
  int written_ = 0;  // In the present window of a second.
  std::uint64_t suppressed_ = 0;
};

}  // namespace stoatrun

#endif  // STOATRUN_BASE_LOG_H_
