#include "ledger/io/period_table.h"

#include <string>
#include <utility>

namespace stoatrun::ledger {

std::optional<std::int64_t> PeriodTable::FindOpen(std::int64_t start_s) {
  Statement query(database_, "SELECT id FROM period WHERE start_s = ? AND closed = 0");
  return query.Bind(start_s).Step() ? std::optional(query.Int(0)) : std::nullopt;
}

std::int64_t PeriodTable::FindOrOpen(const Posting& posting) {
  if (const auto open = FindOpen(posting.period_start_s)) return *open;
  Statement supplement(database_, "SELECT coalesce(max(supplement) + 1, 0) FROM period WHERE start_s = ?");
  supplement.Bind(posting.period_start_s).Step();
  Statement(database_, "INSERT INTO period(start_s, supplement, length_s) VALUES(?, ?, ?)")
      .Bind(posting.period_start_s)
      .Bind(supplement.Int(0))
      .Bind(posting.period_s)
      .Run();
  return sqlite3_last_insert_rowid(database_.native_handle());
}

void PeriodTable::AddUsage(const Posting& posting) {
  const std::int64_t period_id = FindOrOpen(posting);
  for (const GroupUse& group : posting.groups) {
    AddGroup(period_id, group);
    for (const ClassUse& use : group.classes) AddClass(period_id, group.name, use);
  }
  Statement(database_, "UPDATE period SET lives_us = lives_us + ? WHERE id = ?")
      .Bind(posting.connection_time_us)
      .Bind(period_id)
      .Run();
}

void PeriodTable::AddGroup(std::int64_t period_id, const GroupUse& group) {
  Statement(database_,
            "INSERT INTO split VALUES(?, ?, ?, ?, ?, ?) ON CONFLICT DO UPDATE SET use_us = use_us + "
            "excluded.use_us, within_us = within_us + excluded.within_us, share_milli = "
            "excluded.share_milli, "
            "peak = max(peak, excluded.peak)")
      .Bind(period_id)
      .Bind(group.name)
      .Bind(group.use_us)
      .Bind(group.within_us)
      .Bind(group.quota_milli)
      .Bind(group.peak)
      .Run();
}

void PeriodTable::AddClass(std::int64_t period_id, const std::string& group, const ClassUse& use) {
  Statement(database_,
            "INSERT INTO cell(period, grp, class, use_us, begun) VALUES(?, ?, ?, ?, ?) ON CONFLICT DO "
            "UPDATE "
            "SET use_us = use_us + excluded.use_us, begun = begun + excluded.begun")
      .Bind(period_id)
      .Bind(group)
      .Bind(use.name)
      .Bind(use.use_us)
      .Bind(static_cast<std::int64_t>(use.begun))
      .Run();
}

void PeriodTable::CloseIfOpen(std::int64_t start_s) {
  if (const auto open = FindOpen(start_s)) Close(*open);
}

void PeriodTable::CloseAllExcept(std::int64_t start_s) {
  std::vector<std::int64_t> ids;
  Statement open(database_, "SELECT id FROM period WHERE closed = 0 AND start_s != ? ORDER BY id");
  for (open.Bind(start_s); open.Step();) ids.push_back(open.Int(0));
  for (const std::int64_t id : ids) Close(id);
}

PeriodTable::Period PeriodTable::Load(std::int64_t id) {
  Statement query(database_, "SELECT start_s, supplement, length_s, lives_us FROM period WHERE id = ?");
  query.Bind(id).Step();
  return {id, query.Int(0), query.Int(1), query.Int(2), query.Int(3)};
}

void PeriodTable::Close(std::int64_t id) {
  const Period period = Load(id);
  const Sums sums = AppendUseRecords(period);
  if (sums.class_us != sums.group_us || sums.group_us != period.connection_time_us) {
    AppendImbalance(period, sums);
  }
  // The usage is now in the records.
  Statement(database_, "DELETE FROM cell WHERE period = ?").Bind(id).Run();
  Statement(database_, "DELETE FROM split WHERE period = ?").Bind(id).Run();
  Statement(database_, "UPDATE period SET closed = 1 WHERE id = ?").Bind(id).Run();
}

// Groups and classes are read in order of their names, so that identical usage produces identical records.
PeriodTable::Sums PeriodTable::AppendUseRecords(const Period& period) {
  Sums sums;
  Statement groups(
      database_, "SELECT grp, use_us, within_us, share_milli, peak FROM split WHERE period = ? ORDER BY grp");
  for (groups.Bind(period.id); groups.Step();) {
    const std::string group(groups.Text(0));
    const std::int64_t use_us = groups.Int(1), within_us = groups.Int(2);
    wire::Record record;
    wire::Use& use = *record.mutable_use();
    use.set_period_start_s(period.start_s);
    use.set_supplement(static_cast<std::uint32_t>(period.supplement));
    use.set_period_s(static_cast<std::uint32_t>(period.length_s));
    use.set_group(group);
    use.set_use_us(use_us);
    use.set_within_us(within_us);
    use.set_beyond_us(use_us - within_us);
    use.set_share_milli(groups.Int(3));
    use.set_peak(static_cast<std::uint32_t>(groups.Int(4)));
    sums.group_us += use_us;
    sums.class_us += AddClassUsage(period, use);
    records_.Append(std::move(record), {period.start_s, group, {}});
  }
  return sums;
}

std::int64_t PeriodTable::AddClassUsage(const Period& period, wire::Use& use) {
  std::int64_t sum_us = 0;
  Statement classes(database_,
                    "SELECT class, use_us, begun FROM cell WHERE period = ? AND grp = ? ORDER BY class");
  for (classes.Bind(period.id).Bind(use.group()); classes.Step();) {
    wire::ClassUse& class_use = *use.add_classes();
    class_use.set_name(std::string(classes.Text(0)));
    class_use.set_use_us(classes.Int(1));
    class_use.set_begun(static_cast<std::uint64_t>(classes.Int(2)));
    sum_us += classes.Int(1);
  }
  return sum_us;
}

void PeriodTable::AppendImbalance(const Period& period, const Sums& sums) {
  wire::Record record;
  wire::Imbalance& imbalance = *record.mutable_imbalance();
  imbalance.set_period_start_s(period.start_s);
  imbalance.set_rows_us(sums.class_us);
  imbalance.set_splits_us(sums.group_us);
  imbalance.set_lives_us(period.connection_time_us);
  records_.Append(std::move(record), {period.start_s, {}, {}});
}

std::optional<std::int64_t> PeriodTable::Length(std::int64_t start_s) {
  Statement query(database_, "SELECT length_s FROM period WHERE start_s = ? LIMIT 1");
  return query.Bind(start_s).Step() ? std::optional(query.Int(0)) : std::nullopt;
}

std::uint64_t PeriodTable::OpenCount() {
  Statement query(database_, "SELECT count(*) FROM period WHERE closed = 0");
  query.Step();
  return static_cast<std::uint64_t>(query.Int(0));
}

std::vector<OpenUse> PeriodTable::OpenUsage() {
  std::vector<OpenUse> usage;
  Statement query(
      database_,
      "SELECT p.start_s, p.length_s, p.supplement, s.grp, s.use_us, s.within_us, s.share_milli, s.peak "
      "FROM period p JOIN split s ON s.period = p.id WHERE p.closed = 0 ORDER BY p.id, s.grp");
  while (query.Step()) {
    OpenUse open;
    open.period_start_s = query.Int(0);
    open.period_s = query.Int(1);
    open.supplement = static_cast<std::uint32_t>(query.Int(2));
    open.use.name = query.Text(3);
    open.use.use_us = query.Int(4);
    open.use.within_us = query.Int(5);
    open.use.quota_milli = query.Int(6);
    open.use.peak = static_cast<std::uint32_t>(query.Int(7));
    usage.push_back(std::move(open));
  }
  return usage;
}

}  // namespace stoatrun::ledger
