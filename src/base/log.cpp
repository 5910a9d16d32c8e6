#include "base/log.h"

#include <spdlog/logger.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>

namespace stoatrun {
namespace {

constexpr std::array<std::string_view, 4> kLevelNames{"debug", "info", "warn", "error"};
std::atomic<Level> lowest_level = Level::kInfo;
std::atomic<LogFormat> log_format = LogFormat::kText;

// Each record begins with the Unix time in milliseconds: %E (seconds) directly followed by %e (milliseconds).
constexpr const char* kTextPattern = "%E%e %v";
constexpr const char* kJsonPattern = R"({"time_ms":%E%e,%v})";

const char* PatternOf(LogFormat format) { return format == LogFormat::kJson ? kJsonPattern : kTextPattern; }

spdlog::logger& Logger() {
  static const std::shared_ptr<spdlog::logger> kLogger = [] {
    auto logger =
        std::make_shared<spdlog::logger>("stoatrun", std::make_shared<spdlog::sinks::stderr_sink_mt>());
    logger->set_level(spdlog::level::trace);
    logger->flush_on(spdlog::level::trace);
    logger->set_pattern(PatternOf(log_format.load()));
    return logger;
  }();
  return *kLogger;
}

// The length in bytes of the UTF-8 sequence at the start of `text`; 0 if it is invalid (RFC 3629).
std::size_t SequenceLength(std::string_view text) {
  const auto byte = [&](std::size_t index) { return static_cast<unsigned char>(text[index]); };
  const unsigned char first = byte(0);
  const std::size_t size = first < 0x80 ? 1 : first >= 0xf0 ? 4 : first >= 0xe0 ? 3 : 2;
  if (size == 1) return 1;
  if (first < 0xc2 || first > 0xf4 || text.size() < size) return 0;
  for (std::size_t index = 1; index < size; ++index) {
    if ((byte(index) & 0xc0) != 0x80) return 0;
  }
  const bool overlong = (first == 0xe0 && byte(1) < 0xa0) || (first == 0xf0 && byte(1) < 0x90);
  const bool out_of_range = (first == 0xed && byte(1) > 0x9f) || (first == 0xf4 && byte(1) > 0x8f);
  return overlong || out_of_range ? 0 : size;
}

}  // namespace

void SetLogLevel(Level level) { lowest_level = level; }
bool IsLogged(Level level) { return level >= lowest_level.load(std::memory_order_relaxed); }

void SetLogFormat(LogFormat format) {
  if (log_format.exchange(format) != format) Logger().set_pattern(PatternOf(format));
}

std::optional<Level> ParseLogLevel(std::string_view name) {
  for (std::size_t index = 0; index < kLevelNames.size(); ++index) {
    if (kLevelNames[index] == name) return static_cast<Level>(index);
  }
  return std::nullopt;
}

void AppendJsonEscaped(fmt::memory_buffer& out, std::string_view text) {
  while (!text.empty()) {
    const std::size_t size = SequenceLength(text);
    const char first = text.front();
    if (size == 0) {
      out.append(std::string_view("\\ufffd"));
    } else if (first == '"' || first == '\\') {
      out.push_back('\\');
      out.push_back(first);
    } else if (size == 1 && static_cast<unsigned char>(first) < 0x20) {
      fmt::format_to(std::back_inserter(out), "\\u{:04x}", static_cast<unsigned>(first));
    } else {
      out.append(text.substr(0, size));
    }
    text.remove_prefix(size == 0 ? 1 : size);
  }
}

LogLine::LogLine(Level level, std::string_view event)
    : level_(level),
      enabled_(IsLogged(level)),
      json_(log_format.load(std::memory_order_relaxed) == LogFormat::kJson) {
  if (!enabled_) return;
  const std::string_view name = kLevelNames[static_cast<std::size_t>(level_)];
  if (json_) {
    fmt::format_to(std::back_inserter(text_), R"("level":"{}","event":")", name);
    AppendJsonEscaped(text_, event);
    text_.push_back('"');
  } else {
    fmt::format_to(std::back_inserter(text_), "{} {}", name, event);
  }
}

LogLine::~LogLine() {
  if (!enabled_) return;
  Logger().log(spdlog::level::info, spdlog::string_view_t(text_.data(), text_.size()));
}

LogLine& LogLine::Field(std::string_view name, std::string_view value) {
  if (!enabled_) return *this;
  if (json_) {
    fmt::format_to(std::back_inserter(text_), R"(,"{}":")", name);
    AppendJsonEscaped(text_, value);
    text_.push_back('"');
  } else {
    fmt::format_to(std::back_inserter(text_), " {}={}", name, value);
  }
  return *this;
}

LogLine& LogLine::Flag(std::string_view name, bool set) {
  if (!enabled_) return *this;
  if (json_) {
    fmt::format_to(std::back_inserter(text_), R"(,"{}":{})", name, set);
  } else if (set) {
    fmt::format_to(std::back_inserter(text_), " {}", name);
  }
  return *this;
}

LogLine& LogLine::Reason(std::string_view reason) {
  if (!enabled_) return *this;
  if (json_) return Field("why", reason);
  fmt::format_to(std::back_inserter(text_), ": {}", reason);
  return *this;
}

bool LogRateLimiter::Allows(Micros now) {
  if (now >= window_start_ + std::chrono::seconds(1)) {
    window_start_ = now;
    written_ = 0;
  }
  if (written_ < kMaxPerSecond) {
    ++written_;
    return true;
  }
  ++suppressed_;
  return false;
}

std::uint64_t LogRateLimiter::TakeSuppressed() { return std::exchange(suppressed_, 0); }

}  // namespace stoatrun
