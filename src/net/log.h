// The log: one line an entry on standard error, filtered by level.
#ifndef STOATRUN_NET_LOG_H_
#define STOATRUN_NET_LOG_H_

#include <cstdint>
#include <optional>
#include <sstream>
#include <string_view>

#include "net/clock.h"

namespace stoatrun {

enum class Level { kDebug, kInfo, kWarn, kError };

void SetLogLevel(Level level);
bool Logs(Level level);
std::optional<Level> LevelNamed(std::string_view name);

// Collects one entry and writes it when it goes.
class LogLine {
 public:
  explicit LogLine(Level level) : level_(level) {}
  ~LogLine();
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;
  template <typename T>
  LogLine& operator<<(const T& value) {
    if (Logs(level_)) text_ << value;
    return *this;
  }

 private:
  Level level_;
  std::ostringstream text_;
};

// Callers at full speed must not buy CPU by what is logged of them: of entries of one kind only a few a
// second are written, and the next one tells how many were left out. Counters count them all.
class LogLimit {
 public:
  bool Allows(Micros now);
  std::uint64_t TakeLeftOut();

 private:
  static constexpr int kASecond = 5;
  Micros from_{0};
  int written_ = 0;
  std::uint64_t left_out_ = 0;
};

}  // namespace stoatrun

#endif  // STOATRUN_NET_LOG_H_
