// This relay's own connection counts by class and group. Always exact.
#ifndef STOATRUN_FLEET_LOCAL_CONNECTION_COUNTS_H_
#define STOATRUN_FLEET_LOCAL_CONNECTION_COUNTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fleet/message.h"

namespace stoatrun::fleet {

// Adds each count of `counts` to `sum`.
void AddTo(ConnectionCounts& sum, const ConnectionCounts& counts);

// Counts connections through their state machine: accepted, then exactly one outcome. Used on the event
// loop's thread.
class LocalConnectionCounts {
 public:
  // Groups beyond this share the row kOtherGroups, so that clients cannot grow the table without bound.
  static constexpr std::size_t kMaxRows = 512;
  static constexpr const char* kOtherGroups = "*";
  // How a connection ended.
  enum class Outcome { kServed, kRejected, kFailed };
  // Identifies a counted connection until it ends.
  struct Handle {
    std::uint32_t row = 0;
    bool open = false;
  };

  // Counts an accepted connection.
  Handle Begin(std::uint32_t class_index, std::string_view group);
  // Counts the end of an open connection and closes the handle. Ending a handle that is not open is counted
  // as a breach and has no other effect.
  void End(Handle& handle, Outcome outcome);
  // True if every row balances, the rows add up to the connections begun and ended, and no breach occurred.
  bool IsBalanced() const;
  // All rows, ordered by their first connection.
  const std::vector<ConnectionCountsRow>& Rows() const { return rows_; }
  ConnectionCounts Sum() const;
  // Number of calls to End with a handle that was not open.
  std::uint64_t Breaches() const { return breaches_; }
  // Incremented whenever a count changes.
  std::uint64_t Changes() const { return changes_; }

 private:
  // Row index by class index and group.
  std::map<std::pair<std::uint32_t, std::string>, std::uint32_t, std::less<>> index_;
  std::vector<ConnectionCountsRow> rows_;
  std::uint64_t accepted_ = 0, finished_ = 0, breaches_ = 0, changes_ = 0;
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_LOCAL_CONNECTION_COUNTS_H_
