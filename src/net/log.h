// The log: one line an entry on standard error, filtered by level.
#ifndef STOATRUN_NET_LOG_H_
#define STOATRUN_NET_LOG_H_

#include <optional>
#include <sstream>
#include <string_view>

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

}  // namespace stoatrun

#endif  // STOATRUN_NET_LOG_H_
