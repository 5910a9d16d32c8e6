#include "net/log.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <iostream>
#include <string>
#include <utility>

namespace stoatrun {
namespace {

constexpr std::array<std::string_view, 4> kNames{"debug", "info", "warn", "error"};
Level lowest = Level::kInfo;

}  // namespace

void SetLogLevel(Level level) { lowest = level; }
bool Logs(Level level) { return level >= lowest; }

std::optional<Level> LevelNamed(std::string_view name) {
  for (std::size_t k = 0; k < kNames.size(); ++k) {
    if (kNames[k] == name) return static_cast<Level>(k);
  }
  return std::nullopt;
}

LogLine::~LogLine() {
  if (!Logs(level_)) return;
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  std::cerr << now.count() << ' ' << kNames[static_cast<std::size_t>(level_)] << ' ' << std::move(text_).str()
            << '\n';
}

bool LogLimit::Allows(Micros now) {
  if (now >= from_ + std::chrono::seconds(1)) {
    from_ = now;
    written_ = 0;
  }
  if (written_ < kASecond) {
    ++written_;
    return true;
  }
  ++left_out_;
  return false;
}

std::uint64_t LogLimit::TakeLeftOut() { return std::exchange(left_out_, 0); }

}  // namespace stoatrun
