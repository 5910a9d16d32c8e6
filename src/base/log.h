// Logging to standard error: one record per line, filtered by level, as text or as JSON objects.
//
// A record has an event, a fixed text that operators search for, and named fields. In text format the fields
// follow the event as ` name=value`; in JSON format the event is the field `event`, next to the named fields.
// All functions are thread-safe and don't throw; a LogLine must be used by one thread only.
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

// The severity of a record, in ascending order.
enum class Level { kDebug, kInfo, kWarn, kError };
// The output format of records.
enum class LogFormat { kText, kJson };

// Sets the lowest level that is written; the default is kInfo.
void SetLogLevel(Level level);
// Sets the format of all subsequent records; the default is kText.
void SetLogFormat(LogFormat format);
// Returns true if records of this level are written.
bool IsLogged(Level level);
// Parses a level name of the configuration (debug, info, warn, error); nullopt for any other name.
std::optional<Level> ParseLogLevel(std::string_view name);

// Appends `text`, escaped for use inside a JSON string. Bytes that are not valid UTF-8 are replaced by
// U+FFFD, so that records remain valid JSON for any client input.
void AppendJsonEscaped(fmt::memory_buffer& out, std::string_view text);

// Builds one record and writes it on destruction. Formats nothing if the record's level is not written.
class LogLine {
 public:
  // `event`: a fixed text; variable data belongs in fields.
  LogLine(Level level, std::string_view event);
  ~LogLine();
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;

  // Adds an integer field.
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
  // Adds a text field; the value should not contain spaces.
  LogLine& Field(std::string_view name, std::string_view value);
  // The same; prevents the conversion of a pointer to the integer overload.
  LogLine& Field(std::string_view name, const char* value) { return Field(name, std::string_view(value)); }
  // Adds a flag: in text format ` name` if it is set, in JSON format `"name":true` or `"name":false`.
  LogLine& Flag(std::string_view name, bool set);
  // Adds the reason, which may contain spaces: `: reason` in text format, the field `why` in JSON format.
  LogLine& Reason(std::string_view reason);

 private:
  const Level level_;
  const bool enabled_, json_;
  fmt::memory_buffer text_;
};

// Limits records of one kind to a few per second, so that misbehaving clients can't consume CPU time through
// logging. The next record written reports how many were suppressed; counters still count every event. Not
// thread-safe.
class LogRateLimiter {
 public:
  // Returns true if a record may be written now; otherwise counts it as suppressed.
  bool Allows(Micros now);
  // Returns the number of records suppressed since the last call.
  std::uint64_t TakeSuppressed();

 private:
  static constexpr int kMaxPerSecond = 5;
  Micros window_start_{0};
  int written_ = 0;  // In the current window of one second.
  std::uint64_t suppressed_ = 0;
};

}  // namespace stoatrun

#endif  // STOATRUN_BASE_LOG_H_
