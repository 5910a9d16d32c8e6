#include "net/line.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace stoatrun {
namespace {

constexpr double kMaxWaitMs =
    8.64e7;  // A day. A longer wait is cut to it: more would only overflow sums of time.

// Visible ASCII alone: what else comes is not of this protocol and must not reach an issuer host.
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

std::optional<std::uint64_t> Whole(std::string_view text) { return Number<std::uint64_t>(text); }

std::optional<OpenHead> ParseOpen(std::string_view line) {
  if (!Plain(line)) return std::nullopt;
  const auto [verb, rest] = SplitWord(line);
  const auto [id, after_id] = SplitWord(rest);
  const auto [key, fields] = SplitWord(after_id);
  if (verb != "OPEN" || id.empty() || key.empty() || fields.empty()) return std::nullopt;
  OpenHead head;
  head.id = id;
  head.key = key;
  bool waits = false;
  for (std::string_view left = fields; !left.empty();) {
    const std::size_t comma = left.find(',');
    const std::string_view field = left.substr(0, comma);
    left = comma == std::string_view::npos ? std::string_view() : left.substr(comma + 1);
    const std::size_t equals = field.find('=');
    if (equals == std::string_view::npos) continue;  // Not a field known here.
    const std::string_view name = field.substr(0, equals), value = field.substr(equals + 1);
    if (name == "c") {
      head.class_name = value;
    } else if (name == "d") {
      const auto wait = Decimal(value);
      if (!wait || *wait < 0 || waits) return std::nullopt;
      waits = true;
      head.wait_ms = static_cast<std::int64_t>(std::min(*wait, kMaxWaitMs));
      const auto begin = static_cast<std::size_t>(value.data() - line.data());
      head.before_wait = line.substr(0, begin);
      head.after_wait = line.substr(begin + value.size());
    } else if (name == "at") {
      head.at = value;
    } else if (name == "h") {
      head.load = Decimal(value);
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
