// This relay's own connection counts, by class and group, exact at any time.
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

// The state machine that every connection of one incarnation goes through: accepted, then exactly one
// outcome. Used on the event loop's thread.
class LocalConnectionCounts {
 public:
  // Further groups share the row kOtherGroups: clients must not be able to make the table grow without bound.
  static constexpr std::size_t kMaxRows = 512;
  static constexpr const char* kOtherGroups = "*";
  // How a connection ended.
  enum class Outcome { kServed, kRejected, kFailed };
  // Names one counted connection until it ends.
  struct Handle {
    std::uint32_t row = 0;
    bool open = false;
  };

  // Counts an accepted connection.
  Handle Begin(std::uint32_t class_index, std::string_view group);
  // Counts the end of an open connection and closes the handle. A handle that is not open is counted as a
  // breach, and nothing else changes.
  void End(Handle& handle, Outcome outcome);
  // True if every row balances, all rows together are what began and ended, and there was no breach.
  bool IsBalanced() const;
  // All rows, in the order of their first connection.
  const std::vector<ConnectionCountsRow>& Rows() const { return rows_; }
  // The sum of all rows.
  ConnectionCounts Sum() const;
  // How often a handle was ended that was not open.
  std::uint64_t Breaches() const { return breaches_; }
  // Rises whenever a count changes.
  std::uint64_t Changes() const { return changes_; }

 private:
  // Class index and group, to the row's index.
  std::map<std::pair<std::uint32_t, std::string>, std::uint32_t, std::less<>> index_;
  std::vector<ConnectionCountsRow> rows_;
  std::uint64_t accepted_ = 0, finished_ = 0, breaches_ = 0, changes_ = 0;
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_LOCAL_CONNECTION_COUNTS_H_
