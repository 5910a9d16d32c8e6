// The line protocol: heads are parsed in place and written out again from the pieces.
#ifndef STOATRUN_WIRE_LINE_H_
#define STOATRUN_WIRE_LINE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace stoatrun {

constexpr std::size_t kMaxLine = 4096;  // With its end.

// OPEN ID KEY NAME=VALUE,... The views point into the line parsed, which must outlive them.
struct OpenHead {
  std::string_view id, key, class_name, tenant, at;
  std::int64_t wait_ms = 0;
  std::optional<double> load;
  bool again = false;
  bool waits = false;  // It names `d`.
  // The line without its end, cut around the value of `d`: the deadline is all that a relay writes anew.
  std::string_view before_wait, after_wait;
};
// Takes fields of later protocols; nothing where a known one is empty, named twice or not of its form.
std::optional<OpenHead> ParseOpen(std::string_view line);

}  // namespace stoatrun

#endif  // STOATRUN_WIRE_LINE_H_
