#include "proxy/line_protocol.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

#include "base/name.h"

namespace stoatrun {
namespace {

constexpr double kMaxWaitMs =
    8.64e7;  // A day. Nobody waits longer; connections from before ask for 71 minutes.
constexpr std::array<std::string_view, 8> kFields{"c", "t", "d", "g", "r", "again", "at", "h"};

// Visible ASCII alone: what else comes is not of this protocol and must not reach an upstream host.
bool Plain(std::string_view line) {
  for (const char c : line) {
    if (c < ' ' || c > '~') return false;
  }
  return true;
}

template <typename T>
std::optional<T> Number(std::string_view text) {
  T value{};
  const char* end = text.data() + text.size();
  const auto [at, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || at != end) return std::nullopt;
  return value;
}

}  // namespace

std::optional<std::size_t> LineLength(std::string_view in) {
  const std::size_t end = in.find('\n');
  if (end == std::string_view::npos) return std::nullopt;
  return end + 1;
}

std::string_view Stripped(std::string_view line) {
  if (!line.empty() && line.back() == '\n') line.remove_suffix(1);
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  return line;
}

std::pair<std::string_view, std::string_view> SplitWord(std::string_view line) {
  const std::size_t space = line.find(' ');
  if (space == std::string_view::npos) return {line, {}};
  return {line.substr(0, space), line.substr(space + 1)};
}

std::optional<double> Decimal(std::string_view text) {
  const auto value = Number<double>(text);
  return value && std::isfinite(*value) ? value : std::nullopt;
}

std::optional<double> Amount(std::string_view text) {
  if (text.empty() || text.front() == '.' || text.back() == '.' ||
      text.find_first_not_of("0123456789.") != std::string_view::npos) {
    return std::nullopt;
  }
  return Decimal(text);
}

std::optional<std::uint64_t> Whole(std::string_view text) { return Number<std::uint64_t>(text); }

std::optional<OpenHead> ParseOpen(std::string_view line) {
  if (!Plain(line)) return std::nullopt;
  const auto [verb, rest] = SplitWord(line);
  const auto [id, after_id] = SplitWord(rest);
  const auto [key, fields] = SplitWord(after_id);
  if (verb != "OPEN" || !IsName(id) || key.empty() || key.find_first_of("=,") != std::string_view::npos) {
    return std::nullopt;
  }
  OpenHead head;
  head.id = id;
  head.key = key;
  std::array<bool, kFields.size()> seen{};
  bool waits = false;
  for (std::size_t begin = 0; begin <= fields.size();) {
    const std::size_t end = std::min(fields.find(',', begin), fields.size());
    const std::string_view field = fields.substr(begin, end - begin);
    begin = end + 1;
    const std::size_t equals = field.find('=');
    if (equals == 0 || equals == std::string_view::npos || field.find(' ') != std::string_view::npos) {
      return std::nullopt;
    }
    const std::string_view name = field.substr(0, equals), value = field.substr(equals + 1);
    const auto known =
        static_cast<std::size_t>(std::find(kFields.begin(), kFields.end(), name) - kFields.begin());
    if (known == kFields.size()) continue;
    // Which of two values a host would heed is not known here, and an empty one says nothing.
    if (value.empty() || std::exchange(seen[known], true)) return std::nullopt;
    if (name == "c") {
      head.class_name = value;
    } else if (name == "t") {
      head.tenant = value;
    } else if (name == "d") {
      const auto wait = Amount(value);
      if (!wait || *wait > kMaxWaitMs) return std::nullopt;
      waits = true;
      head.wait_ms = static_cast<std::int64_t>(*wait);
      const auto at = static_cast<std::size_t>(value.data() - line.data());
      head.before_wait = line.substr(0, at);
      head.after_wait = line.substr(at + value.size());
    } else if (name == "g") {
      head.group = value;
    } else if (name == "at") {
      head.at = value;
    } else if (name == "h") {
      head.load = Amount(value);
      if (!head.load) return std::nullopt;
    } else if (name == "again") {
      head.again = value == "1";
    }
  }
  if (head.class_name.empty()) return std::nullopt;
  if (!waits) {  // Only a resumed connection waits without bounds.
    if (head.at.empty()) return std::nullopt;
    head.before_wait = line;
  }
  return head;
}

}  // namespace stoatrun
