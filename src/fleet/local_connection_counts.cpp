#include "fleet/local_connection_counts.h"

#include <algorithm>

namespace stoatrun::fleet {

void AddTo(ConnectionCounts& sum, const ConnectionCounts& counts) {
  sum.accepted += counts.accepted;
  sum.served += counts.served;
  sum.rejected += counts.rejected;
  sum.failed += counts.failed;
  sum.open += counts.open;
}

LocalConnectionCounts::Handle LocalConnectionCounts::Begin(std::uint32_t class_index,
                                                           std::string_view group) {
  auto it = index_.find(std::pair(class_index, std::string(group)));
  if (it == index_.end() && rows_.size() >= kMaxRows) {
    // One shared row per class, so the table exceeds kMaxRows by at most the number of classes.
    group = kOtherGroups;
    it = index_.find(std::pair(class_index, std::string(group)));
  }
  if (it == index_.end()) {
    const auto row = static_cast<std::uint32_t>(rows_.size());
    it = index_.emplace(std::pair(class_index, std::string(group)), row).first;
    rows_.push_back({std::string(group), class_index, {}});
  }
  ConnectionCounts& counts = rows_[it->second].counts;
  ++counts.accepted;
  ++counts.open;
  ++accepted_;
  ++changes_;
  return {it->second, true};
}

void LocalConnectionCounts::End(Handle& handle, Outcome outcome) {
  if (!handle.open || handle.row >= rows_.size() || rows_[handle.row].counts.open == 0) {
    ++breaches_;
    return;
  }
  handle.open = false;
  ConnectionCounts& counts = rows_[handle.row].counts;
  --counts.open;
  switch (outcome) {
    case Outcome::kServed:
      ++counts.served;
      break;
    case Outcome::kRejected:
      ++counts.rejected;
      break;
    case Outcome::kFailed:
      ++counts.failed;
      break;
  }
  ++finished_;
  ++changes_;
}

bool LocalConnectionCounts::IsBalanced() const {
  const ConnectionCounts sum = Sum();
  const bool rows_balance = std::all_of(
      rows_.begin(), rows_.end(), [](const ConnectionCountsRow& row) { return row.counts.IsBalanced(); });
  return rows_balance && breaches_ == 0 && sum.accepted == accepted_ &&
         sum.served + sum.rejected + sum.failed == finished_;
}

ConnectionCounts LocalConnectionCounts::Sum() const {
  ConnectionCounts sum;
  for (const ConnectionCountsRow& row : rows_) AddTo(sum, row.counts);
  return sum;
}

}  // namespace stoatrun::fleet
