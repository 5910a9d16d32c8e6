// Interface by which the proxy reports open connections to whoever accounts for their use (the ledger).
//
// Threading: called on the event loop's thread only. Neither function blocks or throws.
#ifndef STOATRUN_BASE_USAGE_METER_H_
#define STOATRUN_BASE_USAGE_METER_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace stoatrun {

// Identifies one open connection to its usage meter. Kept by the owner of the connection; 16 bytes.
struct UsageHandle {
  std::int64_t since_us = 0;  // When it began, by the monotonic clock.
  std::uint32_t row = 0;      // The account it is counted in.
  bool open = false;
};

// Counts connection time by group and class.
class UsageMeter {
 public:
  virtual ~UsageMeter() = default;
  // A connection is established: its client is being sent UP. `group` may be empty; `class_index` is the
  // index of its class in the settings.
  virtual UsageHandle Begin(std::string_view group, std::size_t class_index) = 0;
  // The connection has ended. A handle that is not open is ignored; an open one is marked as ended.
  virtual void End(UsageHandle& handle) = 0;
};

}  // namespace stoatrun

#endif  // STOATRUN_BASE_USAGE_METER_H_
