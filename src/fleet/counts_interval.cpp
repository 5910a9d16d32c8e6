#include "fleet/counts_interval.h"

#include <algorithm>

#include "fleet/local_connection_counts.h"

namespace stoatrun::fleet {
namespace {

std::uint64_t SaturatingSum(std::uint64_t first, std::uint64_t second) {
  return first > kUnbounded - second ? kUnbounded : first + second;
}

}  // namespace

void Interval::Add(std::uint64_t other_low, std::uint64_t other_high) {
  low = SaturatingSum(low, other_low);
  high = SaturatingSum(high, other_high);
}

ConnectionCounts IntervalSum::Filtered(const CountsRecord& record) const {
  ConnectionCounts sum;
  for (const ConnectionCountsRow& row : record.rows) {
    if (filter_.class_index && row.class_index != *filter_.class_index) continue;
    if (filter_.group && row.group != *filter_.group) continue;
    AddTo(sum, row.counts);
  }
  return sum;
}

void IntervalSum::Add(const CountsRecord& record, bool superseded) {
  const bool ended = record.ended || superseded;
  const auto age = record.ReportedAge(now_);
  if (!ended && record.version != 0 && age && *age <= stale_after_) {
    AddExact(Filtered(record), *age);
  } else {
    AddWidened(Filtered(record), age, ended);
  }
}

void IntervalSum::AddExact(const ConnectionCounts& counts, Micros age) {
  totals_.accepted.Add(counts.accepted, counts.accepted);
  totals_.served.Add(counts.served, counts.served);
  totals_.rejected.Add(counts.rejected, counts.rejected);
  totals_.failed.Add(counts.failed, counts.failed);
  totals_.open.Add(counts.open, counts.open);
  totals_.oldest = std::max(totals_.oldest, age);
}

void IntervalSum::AddWidened(const ConnectionCounts& counts, std::optional<Micros> age, bool ended) {
  ++(ended ? totals_.ended : totals_.widened);
  std::uint64_t accepted_since = kUnbounded;
  if (age) {
    const double seconds = static_cast<double>(age->count()) / 1e6;
    accepted_since = static_cast<std::uint64_t>(seconds * settings_.max_accepted_per_s) + 1;
  }
  const std::uint64_t ended_since = SaturatingSum(accepted_since, counts.open);
  totals_.accepted.Add(counts.accepted, SaturatingSum(counts.accepted, accepted_since));
  totals_.served.Add(counts.served, SaturatingSum(counts.served, ended_since));
  totals_.rejected.Add(counts.rejected, SaturatingSum(counts.rejected, ended_since));
  totals_.failed.Add(counts.failed, SaturatingSum(counts.failed, ended_since));
  if (ended) return;
  totals_.open.Add(0,
                   std::min<std::uint64_t>(settings_.max_open, SaturatingSum(counts.open, accepted_since)));
}

void IntervalSum::AddUnreportedMember() {
  ++totals_.unheard;
  for (Interval* interval : {&totals_.accepted, &totals_.served, &totals_.rejected, &totals_.failed}) {
    interval->Add(0, kUnbounded);
  }
  totals_.open.Add(0, settings_.max_open);
}

void IntervalSum::MarkIncomplete() {
  totals_.complete = false;
  for (Interval* interval :
       {&totals_.accepted, &totals_.served, &totals_.rejected, &totals_.failed, &totals_.open}) {
    interval->Add(0, kUnbounded);
  }
}

}  // namespace stoatrun::fleet
