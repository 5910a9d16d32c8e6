#include "proxy/line_protocol.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <system_error>
#include <utility>

#include "base/name.h"

namespace stoatrun {
namespace {

// One day. Resumed connections ask for 71 minutes, and no client waits longer than a day.
constexpr double kMaxTimeoutMs = 8.64e7;

// The known fields of a request line.
enum class Field : std::uint8_t { kClass, kTenant, kTimeout, kGroup, kRetry, kReconnect, kResume, kLoad };
// Their names, in the order of the enumeration.
constexpr std::array<std::string_view, 8> kFieldNames{"c", "t", "d", "g", "r", "again", "at", "h"};

// The protocol consists of printable ASCII; other bytes must not be forwarded to an endpoint.
bool IsPrintableAscii(std::string_view line) {
  return std::all_of(line.begin(), line.end(), [](char c) { return c >= ' ' && c <= '~'; });
}

bool SetTimeout(std::string_view line, std::string_view value, OpenRequest& request) {
  const auto timeout = ParseAmount(value);
  if (!timeout || *timeout > kMaxTimeoutMs) return false;
  request.timeout_ms = static_cast<std::int64_t>(*timeout);
  const auto at = static_cast<std::size_t>(value.data() - line.data());
  request.before_timeout = line.substr(0, at);
  request.after_timeout = line.substr(at + value.size());
  return true;
}

// Returns whether `value` is well-formed for `field`.
bool SetField(std::string_view line, Field field, std::string_view value, OpenRequest& request) {
  switch (field) {
    case Field::kClass:
      request.class_name = value;
      return true;
    case Field::kTenant:
      request.tenant = value;
      return true;
    case Field::kTimeout:
      return SetTimeout(line, value, request);
    case Field::kGroup:
      request.affinity_group = value;
      return true;
    case Field::kRetry:
      return true;  // Used by endpoints only.
    case Field::kReconnect:
      request.is_reconnect = value == "1";
      return true;
    case Field::kResume:
      request.resume_endpoint = value;
      return true;
    case Field::kLoad:
      request.load = ParseAmount(value);
      return request.load.has_value();
  }
  return false;
}

// Parses NAME=VALUE,... within `line`. Returns whether all fields are well-formed.
bool ParseFields(std::string_view line, std::string_view fields, OpenRequest& request) {
  std::array<bool, kFieldNames.size()> seen{};
  for (std::size_t begin = 0; begin <= fields.size();) {
    const std::size_t end = std::min(fields.find(',', begin), fields.size());
    const std::string_view field = fields.substr(begin, end - begin);
    begin = end + 1;
    const std::size_t equals = field.find('=');
    if (equals == 0 || equals == std::string_view::npos || field.find(' ') != std::string_view::npos) {
      return false;
    }
    const std::string_view value = field.substr(equals + 1);
    const auto* const name = std::find(kFieldNames.begin(), kFieldNames.end(), field.substr(0, equals));
    if (name == kFieldNames.end()) continue;
    const auto index = static_cast<std::size_t>(name - kFieldNames.begin());
    // An endpoint could use either value of a repeated field, and an empty value has no meaning.
    if (value.empty() || std::exchange(seen[index], true)) return false;
    if (!SetField(line, static_cast<Field>(index), value, request)) return false;
  }
  return true;
}

}  // namespace

std::optional<std::size_t> LineLength(std::string_view input) {
  const std::size_t end = input.find('\n');
  if (end == std::string_view::npos) return std::nullopt;
  return end + 1;
}

std::string_view StripLineEnd(std::string_view line) {
  if (!line.empty() && line.back() == '\n') line.remove_suffix(1);
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  return line;
}

SplitLine SplitFirstWord(std::string_view line) {
  const std::size_t space = line.find(' ');
  if (space == std::string_view::npos) return {line, {}};
  return {line.substr(0, space), line.substr(space + 1)};
}

std::optional<double> ParseDecimal(std::string_view text) {
  double value = 0;
  const char* end = text.data() + text.size();
  const auto [at, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || at != end || !std::isfinite(value)) return std::nullopt;
  return value;
}

std::optional<double> ParseAmount(std::string_view text) {
  if (text.empty() || text.front() == '.' || text.back() == '.' ||
      text.find_first_not_of("0123456789.") != std::string_view::npos) {
    return std::nullopt;
  }
  return ParseDecimal(text);
}

std::optional<OpenRequest> ParseOpenRequest(std::string_view line) {
  if (!IsPrintableAscii(line)) return std::nullopt;
  const auto [verb, after_verb] = SplitFirstWord(line);
  const auto [id, after_id] = SplitFirstWord(after_verb);
  const auto [key, fields] = SplitFirstWord(after_id);
  if (verb != "OPEN" || !IsName(id) || key.empty() || key.find_first_of("=,") != std::string_view::npos) {
    return std::nullopt;
  }
  OpenRequest request;
  request.id = id;
  request.key = key;
  if (!ParseFields(line, fields, request) || request.class_name.empty()) return std::nullopt;
  if (request.before_timeout.empty()) {  // Only a request to resume a connection may omit the timeout.
    if (request.resume_endpoint.empty()) return std::nullopt;
    request.before_timeout = line;
  }
  return request;
}

}  // namespace stoatrun
