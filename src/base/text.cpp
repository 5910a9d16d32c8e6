#include "base/text.h"

#include <charconv>
#include <cmath>

namespace stoatrun {
namespace {

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

}  // namespace stoatrun
