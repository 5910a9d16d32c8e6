// The interface through which the proxy reports open connections to the usage accounting (the ledger).
//
// Called on the event loop's thread only. No function blocks or throws.
#ifndef STOATRUN_BASE_USAGE_METER_H_
#define STOATRUN_BASE_USAGE_METER_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace stoatrun {

// Identifies an open connection to its usage meter. Kept by the owner of the connection; 16 bytes.
struct UsageHandle {
  std::int64_t since_us = 0;  // Start time on the monotonic clock.
  std::uint32_t row = 0;      // The account in which it is counted.
  bool open = false;
};

// Measures connection time by group and class.
class UsageMeter {
 public:
  virtual ~UsageMeter() = default;
  // Called when a connection is established and UP is sent to its client. `group` may be empty; `class_index`
  // is the index of its class in the settings.
  virtual UsageHandle Begin(std::string_view group, std::size_t class_index) = 0;
  // Called when the connection has ended; marks the handle as ended. A handle that is not open is ignored.
  virtual void End(UsageHandle& handle) = 0;
};

}  // namespace stoatrun

#endif  // STOATRUN_BASE_USAGE_METER_H_
