#include "ledger/accounts.h"

#include <algorithm>
#include <utility>

#include "base/name.h"

namespace stoatrun::ledger {
namespace {

constexpr std::int64_t kMilli = 1000;
constexpr std::size_t kMaxGroupName = 64;

// Rounded down also before 1970: a machine without a clock of its own starts there.
std::int64_t FloorTo(std::int64_t value, std::int64_t step) {
  const std::int64_t rest = value % step;
  return value - (rest < 0 ? rest + step : rest);
}

}  // namespace

Accounts::Accounts(const AccountsSetup& setup, Micros now, Micros wall)
    : setup_(setup), offset_(wall - now), latest_us_(now.count()) {
  period_start_s_ = StartOf(wall);
  for (const GroupSetup& g : setup_.groups) {
    if (numbers_.try_emplace(g.name, static_cast<std::uint32_t>(groups_.size())).second) {
      groups_.push_back({.name = g.name, .quota_milli = g.quota_milli, .settled_us = latest_us_});
      row_of_.emplace_back(setup_.classes.size());
    }
  }
}

std::int64_t Accounts::StartOf(Micros wall) const {
  return FloorTo(wall.count(), setup_.period.count()) / 1'000'000;
}

std::uint32_t Accounts::GroupNamed(std::string_view name) {
  std::string key(name);
  if (name.empty()) {
    key = kMissingGroup;
  } else if (!IsName(name, kMaxGroupName)) {
    key = kOtherGroups;
  }
  auto it = numbers_.find(key);
  if (it == numbers_.end() && key != kMissingGroup && key != kOtherGroups &&
      unlisted_groups_++ >= setup_.max_unlisted_groups) {
    unlisted_groups_ = setup_.max_unlisted_groups;
    key = kOtherGroups;
    it = numbers_.find(key);
  }
  if (it == numbers_.end()) {
    it = numbers_.emplace(key, static_cast<std::uint32_t>(groups_.size())).first;
    groups_.push_back({.name = key, .quota_milli = std::nullopt, .settled_us = latest_us_});
    row_of_.emplace_back(setup_.classes.size());
  }
  return it->second;
}

std::uint32_t Accounts::RowOf(std::uint32_t group, std::size_t class_index) {
  std::uint32_t& row = row_of_[group].at(class_index);
  if (row == 0) {
    rows_.push_back(
        {.group = group, .class_index = static_cast<std::uint32_t>(class_index), .settled_us = latest_us_});
    row = static_cast<std::uint32_t>(rows_.size());
  }
  return row - 1;
}

void Accounts::Settle(Row& row, std::int64_t now_us) {
  row.use_us += (now_us - row.settled_us) * row.open;
  row.settled_us = now_us;
}

// Shares are in thousandths: what they leave of a microsecond is carried on, so that no long run of short
// stretches loses any.
void Accounts::Settle(Group& group, std::int64_t now_us) {
  const std::int64_t span = now_us - group.settled_us;
  group.settled_us = now_us;
  group.use_us += span * group.open;
  const std::int64_t open_milli = group.open * kMilli;
  if (!group.quota_milli || *group.quota_milli >= open_milli) {
    group.within_us += span * group.open;
    return;
  }
  const std::int64_t within_milli = span * *group.quota_milli + group.carry_milli;
  group.within_us += within_milli / kMilli;
  group.carry_milli = within_milli % kMilli;
}

void Accounts::SettleAll(std::int64_t now_us) {
  for (Row& row : rows_) Settle(row, now_us);
  for (Group& group : groups_) Settle(group, now_us);
}

UsageHandle Accounts::Begin(Micros now, std::string_view group, std::size_t class_index) {
  Advance(now);
  const std::uint32_t number = GroupNamed(group);
  const std::uint32_t index = RowOf(number, class_index);
  Row& row = rows_[index];
  Group& g = groups_[number];
  Settle(row, now.count());
  Settle(g, now.count());
  ++row.open;
  ++row.begun;
  ++g.open;
  g.peak = std::max(g.peak, g.open);
  g.touched = true;
  ++open_;
  since_sum_us_ += now.count();
  return {now.count(), index, true};
}

void Accounts::End(Micros now, UsageHandle& handle) {
  if (!handle.open) return;
  Advance(now);
  Row& row = rows_[handle.row];
  Group& g = groups_[row.group];
  Settle(row, now.count());
  Settle(g, now.count());
  handle.open = false;
  if (row.open == 0) {  // Ended twice, by way of a copy: counted, and nothing is taken off.
    ++double_ends_;
    return;
  }
  --row.open;
  --g.open;
  --open_;
  since_sum_us_ -= handle.since_us;
  ended_us_ += now.count() - handle.since_us;
}

void Accounts::Advance(Micros now) {
  for (;;) {
    const std::int64_t end_us = period_start_s_ * 1'000'000 + setup_.period.count();
    const std::int64_t border = end_us - offset_.count();
    if (now.count() < border) break;
    // A clock that was moved on by less than a step may put the border before what is already settled.
    Cut(std::max(border, latest_us_), true);
    period_start_s_ = end_us / 1'000'000;
  }
  latest_us_ = now.count();
}

void Accounts::Cut(std::int64_t at_us, bool period_ended) {
  SettleAll(at_us);
  Posting p;
  p.period_start_s = period_start_s_;
  p.period_s = setup_.period.count() / 1'000'000;
  p.wall_us = at_us + offset_.count();
  p.period_ended = period_ended;
  p.steps = std::exchange(steps_, {});
  const std::int64_t lives = ended_us_ + static_cast<std::int64_t>(open_) * at_us - since_sum_us_;
  p.connection_time_us = lives - std::exchange(posted_connection_time_us_, lives);
  std::vector<std::size_t> place(groups_.size());
  for (std::size_t k = 0; k < groups_.size(); ++k) {
    Group& g = groups_[k];
    if (!g.touched && g.use_us == 0) continue;
    place[k] = p.groups.size() + 1;
    p.groups.push_back({g.name,
                        std::exchange(g.use_us, 0),
                        std::exchange(g.within_us, 0),
                        g.quota_milli.value_or(-1),
                        g.peak,
                        {}});
    g.peak = g.open;
    g.touched = false;
    posted_row_time_us_ += p.groups.back().use_us;
  }
  for (Row& row : rows_) {
    if (row.use_us == 0 && row.begun == 0) continue;
    p.groups[place[row.group] - 1].classes.push_back(
        {setup_.classes[row.class_index], std::exchange(row.use_us, 0), std::exchange(row.begun, 0U)});
  }
  ready_.push_back(std::move(p));
}

void Accounts::Tick(Micros now, Micros wall) {
  Advance(now);
  const Micros expected = WallAt(now);
  const Micros off = wall - expected;
  offset_ = wall - now;
  if (off <= kSlack && off >= -kSlack) return;
  steps_.push_back({expected.count(), wall.count()});
  const std::int64_t start = StartOf(wall);
  if (start == period_start_s_) return;
  Cut(now.count(), true);
  period_start_s_ = start;
}

std::vector<Posting> Accounts::Take(Micros now, bool leave) {
  Advance(now);
  Cut(now.count(), leave);
  return std::exchange(ready_, {});
}

Accounts::Sums Accounts::Check(Micros now) {
  Advance(now);
  SettleAll(now.count());
  Sums sums;
  sums.double_ends = double_ends_;
  sums.row_time_us = posted_row_time_us_;
  for (const Row& row : rows_) sums.row_time_us += row.use_us;
  sums.connection_time_us = ended_us_ + static_cast<std::int64_t>(open_) * now.count() - since_sum_us_;
  return sums;
}

std::vector<std::pair<std::string, std::uint32_t>> Accounts::OpenByGroup() const {
  std::vector<std::pair<std::string, std::uint32_t>> open;
  for (const Group& g : groups_) {
    if (g.open > 0) open.emplace_back(g.name, g.open);
  }
  return open;
}

}  // namespace stoatrun::ledger
