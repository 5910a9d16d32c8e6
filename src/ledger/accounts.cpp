#include "ledger/accounts.h"

#include <algorithm>
#include <utility>

#include "base/name.h"

namespace stoatrun::ledger {
namespace {

constexpr std::int64_t kMilliPerUnit = 1000;
constexpr std::int64_t kMicrosPerSecond = 1'000'000;
constexpr std::size_t kMaxGroupNameLength = 64;

// Rounds down to a multiple of `step`. Times before 1970 are negative: a machine without a battery-backed
// clock may start with one.
std::int64_t FloorToMultiple(std::int64_t value, std::int64_t step) {
  const std::int64_t remainder = value % step;
  return value - (remainder < 0 ? remainder + step : remainder);
}

// Maps the group name that a client sent to the name under which its usage is accounted.
std::string AccountedName(std::string_view name) {
  if (name.empty()) return kMissingGroup;
  return IsName(name, kMaxGroupNameLength) ? std::string(name) : kOtherGroups;
}

}  // namespace

Accounts::Accounts(const AccountsSetup& setup, Micros now, Micros wall)
    : setup_(setup), wall_offset_(wall - now), latest_us_(now.count()) {
  period_start_s_ = PeriodStartAt(wall);
  for (const GroupSetup& group : setup_.groups) {
    if (!group_by_name_.contains(group.name)) AddGroup(group.name, group.quota_milli);
  }
}

std::int64_t Accounts::PeriodStartAt(Micros wall) const {
  return FloorToMultiple(wall.count(), setup_.period.count()) / kMicrosPerSecond;
}

std::uint32_t Accounts::AddGroup(const std::string& name, std::optional<std::int64_t> quota_milli) {
  const auto index = static_cast<std::uint32_t>(groups_.size());
  group_by_name_.emplace(name, index);
  groups_.push_back({.name = name, .quota_milli = quota_milli, .accrued_until_us = latest_us_});
  row_numbers_.emplace_back(setup_.classes.size());
  return index;
}

std::uint32_t Accounts::FindOrAddGroup(std::string_view name) {
  std::string key = AccountedName(name);
  auto it = group_by_name_.find(key);
  if (it != group_by_name_.end()) return it->second;
  const bool unlisted = key != kMissingGroup && key != kOtherGroups;
  if (unlisted && unlisted_groups_ >= setup_.max_unlisted_groups) {
    key = kOtherGroups;
    it = group_by_name_.find(key);
    if (it != group_by_name_.end()) return it->second;
  } else if (unlisted) {
    ++unlisted_groups_;
  }
  return AddGroup(key, std::nullopt);
}

std::uint32_t Accounts::FindOrAddRow(std::uint32_t group, std::size_t class_index) {
  std::uint32_t& row = row_numbers_[group].at(class_index);
  if (row == 0) {
    rows_.push_back({.group = group,
                     .class_index = static_cast<std::uint32_t>(class_index),
                     .accrued_until_us = latest_us_});
    row = static_cast<std::uint32_t>(rows_.size());
  }
  return row - 1;
}

void Accounts::Accrue(Row& row, std::int64_t now_us) {
  row.use_us += (now_us - row.accrued_until_us) * row.open;
  row.accrued_until_us = now_us;
}

// Quotas are in thousandths of a connection. The remainder below a microsecond is carried over, so that usage
// within the quota does not drift low over many short intervals.
void Accounts::Accrue(Group& group, std::int64_t now_us) {
  const std::int64_t span = now_us - group.accrued_until_us;
  group.accrued_until_us = now_us;
  group.use_us += span * group.open;
  const std::int64_t open_milli = group.open * kMilliPerUnit;
  if (!group.quota_milli || *group.quota_milli >= open_milli) {
    group.within_us += span * group.open;
    return;
  }
  const std::int64_t within_milli = span * *group.quota_milli + group.within_remainder_milli;
  group.within_us += within_milli / kMilliPerUnit;
  group.within_remainder_milli = within_milli % kMilliPerUnit;
}

void Accounts::AccrueAll(std::int64_t now_us) {
  for (Row& row : rows_) Accrue(row, now_us);
  for (Group& group : groups_) Accrue(group, now_us);
}

UsageHandle Accounts::Begin(Micros now, std::string_view group_name, std::size_t class_index) {
  Advance(now);
  const std::uint32_t group_index = FindOrAddGroup(group_name);
  const std::uint32_t row_index = FindOrAddRow(group_index, class_index);
  Row& row = rows_[row_index];
  Group& group = groups_[group_index];
  Accrue(row, now.count());
  Accrue(group, now.count());
  ++row.open;
  ++row.begun;
  ++group.open;
  group.peak = std::max(group.peak, group.open);
  group.has_new_connection = true;
  ++open_;
  open_start_sum_us_ += now.count();
  return {now.count(), row_index, true};
}

void Accounts::End(Micros now, UsageHandle& handle) {
  if (!handle.open) return;
  Advance(now);
  Row& row = rows_[handle.row];
  Group& group = groups_[row.group];
  Accrue(row, now.count());
  Accrue(group, now.count());
  handle.open = false;
  if (row.open == 0) {  // A copy of the handle was ended before: counted, but not subtracted again.
    ++double_ends_;
    return;
  }
  --row.open;
  --group.open;
  --open_;
  open_start_sum_us_ -= handle.since_us;
  ended_duration_us_ += now.count() - handle.since_us;
}

void Accounts::Advance(Micros now) {
  for (;;) {
    const std::int64_t period_end_us = period_start_s_ * kMicrosPerSecond + setup_.period.count();
    const std::int64_t boundary_us = period_end_us - wall_offset_.count();
    if (now.count() < boundary_us) break;
    // If the wall clock drifted ahead, the boundary may lie before the usage already accrued.
    EmitPosting(std::max(boundary_us, latest_us_), CurrentPeriod::kEnds);
    period_start_s_ = period_end_us / kMicrosPerSecond;
  }
  latest_us_ = now.count();
}

std::int64_t Accounts::ConnectionTimeUntil(std::int64_t at_us) const {
  return ended_duration_us_ + static_cast<std::int64_t>(open_) * at_us - open_start_sum_us_;
}

void Accounts::EmitPosting(std::int64_t at_us, CurrentPeriod current) {
  AccrueAll(at_us);
  Posting posting;
  posting.period_start_s = period_start_s_;
  posting.period_s = setup_.period.count() / kMicrosPerSecond;
  posting.wall_us = at_us + wall_offset_.count();
  posting.period_ended = current == CurrentPeriod::kEnds;
  posting.steps = std::exchange(steps_, {});
  const std::int64_t connection_time_us = ConnectionTimeUntil(at_us);
  posting.connection_time_us =
      connection_time_us - std::exchange(posted_connection_time_us_, connection_time_us);
  posting.groups = TakeUsage();
  posted_row_time_us_ += posting.UseUs();
  pending_postings_.push_back(std::move(posting));
}

std::vector<GroupUse> Accounts::TakeUsage() {
  std::vector<GroupUse> usage;
  std::vector<std::size_t> usage_index(groups_.size());  // For each group that is listed in `usage`.
  for (std::size_t k = 0; k < groups_.size(); ++k) {
    Group& group = groups_[k];
    if (!group.has_new_connection && group.use_us == 0) continue;
    usage_index[k] = usage.size();
    usage.push_back({group.name,
                     std::exchange(group.use_us, 0),
                     std::exchange(group.within_us, 0),
                     group.quota_milli.value_or(-1),
                     group.peak,
                     {}});
    group.peak = group.open;
    group.has_new_connection = false;
  }
  for (Row& row : rows_) {
    if (row.use_us == 0 && row.begun == 0) continue;
    usage[usage_index[row.group]].classes.push_back(
        {setup_.classes[row.class_index], std::exchange(row.use_us, 0), std::exchange(row.begun, 0U)});
  }
  return usage;
}

void Accounts::OnClockReading(Micros now, Micros wall) {
  Advance(now);
  const Micros expected = WallAt(now);
  const Micros difference = wall - expected;
  wall_offset_ = wall - now;
  if (difference <= kClockStepThreshold && difference >= -kClockStepThreshold) return;
  steps_.push_back({expected.count(), wall.count()});
  const std::int64_t start_s = PeriodStartAt(wall);
  if (start_s == period_start_s_) return;
  EmitPosting(now.count(), CurrentPeriod::kEnds);
  period_start_s_ = start_s;
}

std::vector<Posting> Accounts::TakePostings(Micros now, CurrentPeriod current) {
  Advance(now);
  EmitPosting(now.count(), current);
  return std::exchange(pending_postings_, {});
}

Accounts::Sums Accounts::ComputeSums(Micros now) {
  Advance(now);
  AccrueAll(now.count());
  Sums sums;
  sums.double_ends = double_ends_;
  sums.row_time_us = posted_row_time_us_;
  for (const Row& row : rows_) sums.row_time_us += row.use_us;
  sums.connection_time_us = ConnectionTimeUntil(now.count());
  return sums;
}

OpenCounts Accounts::OpenByGroup() const {
  OpenCounts counts;
  for (const Group& group : groups_) {
    if (group.open > 0) counts.push_back({group.name, group.open});
  }
  return counts;
}

}  // namespace stoatrun::ledger
