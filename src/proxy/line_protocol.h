// The line protocol: heads are parsed in place and written out again from the pieces.
#ifndef STOATRUN_PROXY_LINE_PROTOCOL_H_
#define STOATRUN_PROXY_LINE_PROTOCOL_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace stoatrun {

constexpr std::size_t kMaxLine = 4096;  // With its end.

// Where the first line of `in` ends, its end included; nothing while it has none.
std::optional<std::size_t> LineLength(std::string_view in);
// A line without CR and LF.
std::string_view Stripped(std::string_view line);
// The first word of a line, and what follows it.
std::pair<std::string_view, std::string_view> SplitWord(std::string_view line);
std::optional<double> Decimal(std::string_view text);
// Digits, and perhaps a point and digits: no sign, exponent, hex or name, as callers write amounts.
std::optional<double> Amount(std::string_view text);
std::optional<std::uint64_t> Whole(std::string_view text);

// OPEN ID KEY NAME=VALUE,... The views point into the line parsed, which must outlive them.
struct OpenHead {
  std::string_view id, key, class_name, tenant, group, at;
  std::int64_t wait_ms = 0;
  std::optional<double> load;
  bool again = false;
  // The line without its end, cut around the value of `d`: the deadline is all that a relay writes anew.
  std::string_view before_wait, after_wait;
};
// Takes fields of later protocols; nothing where a known one is empty, named twice or not of its form.
std::optional<OpenHead> ParseOpen(std::string_view line);

// `inflight=7,queue=2`: calls `each(name, value)` for what is a number and skips the rest.
template <typename F>
void EachFigure(std::string_view list, F&& each) {
  while (!list.empty()) {
    const std::size_t comma = list.find(',');
    const std::string_view field = list.substr(0, comma);
    list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
    const std::size_t equals = field.find('=');
    if (equals == std::string_view::npos) continue;
    if (const auto value = Decimal(field.substr(equals + 1))) each(field.substr(0, equals), *value);
  }
}

}  // namespace stoatrun

#endif  // STOATRUN_PROXY_LINE_PROTOCOL_H_
