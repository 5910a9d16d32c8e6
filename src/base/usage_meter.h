// Whoever counts standing connections, as the relay sees it: the ledger today.
#ifndef STOATRUN_BASE_USAGE_METER_H_
#define STOATRUN_BASE_USAGE_METER_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace stoatrun {

struct UsageHandle {  // Of one standing connection: kept by whoever holds the connection, 16 bytes.
  std::int64_t since_us = 0;
  std::uint32_t row = 0;
  bool open = false;
};

class UsageMeter {
 public:
  virtual ~UsageMeter() = default;
  // A connection stands from now on: its client is being handed UP. `group` may be empty.
  virtual UsageHandle Begin(std::string_view group, std::size_t class_index) = 0;
  // It has ended. A handle that is not open is passed by.
  virtual void End(UsageHandle& handle) = 0;
};

}  // namespace stoatrun

#endif  // STOATRUN_BASE_USAGE_METER_H_
