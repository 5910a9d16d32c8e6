#include "ledger/io/record_log.h"

#include <utility>

namespace stoatrun::ledger {
namespace {

// The value of the column `kind` for a record.
std::string_view KindColumn(const wire::Record& record) {
  switch (record.body_case()) {
    case wire::Record::kUse:
      return "use";
    case wire::Record::kCorrection:
      return "correction";
    case wire::Record::kUnattested:
      return "unattested";
    case wire::Record::kClockStep:
      return "clock_step";
    case wire::Record::kImbalance:
      return "imbalance";
    case wire::Record::BODY_NOT_SET:
      break;
  }
  return {};
}

}  // namespace

void RecordLog::SetIdentity(const std::string& relay, const std::string& ledger_id) {
  relay_ = relay;
  ledger_id_ = ledger_id;
}

std::uint64_t RecordLog::Append(wire::Record record, const RecordIndex& index) {
  const std::uint64_t seq = meta_.GetNumber(MetaTable::kHeadSeq) + 1;
  const std::string_view kind = KindColumn(record);
  record.set_relay(relay_);
  record.set_book(ledger_id_);
  record.set_seq(seq);
  const Line line = MakeLine(record, meta_.Get(MetaTable::kHeadHash));
  Statement insert(
      database_,
      "INSERT INTO record(seq, kind, start_s, grp, reference, hash, line) VALUES(?, ?, ?, ?, ?, ?, ?)");
  insert.Bind(static_cast<std::int64_t>(seq)).Bind(kind).Bind(index.period_start_s).Bind(index.group);
  if (index.reference.empty()) {
    insert.BindNull();
  } else {
    insert.Bind(index.reference);
  }
  insert.Bind(line.hash).Bind(line.text).Run();
  meta_.Set(MetaTable::kHeadSeq, std::to_string(seq));
  meta_.Set(MetaTable::kHeadHash, line.hash);
  return seq;
}

std::vector<StoredRecord> RecordLog::Read(std::uint64_t from_seq, std::size_t max_records) {
  std::vector<StoredRecord> records;
  Statement query(database_, "SELECT seq, hash, line FROM record WHERE seq >= ? ORDER BY seq LIMIT ?");
  query.Bind(static_cast<std::int64_t>(from_seq)).Bind(static_cast<std::int64_t>(max_records));
  while (query.Step()) {
    records.push_back(
        {static_cast<std::uint64_t>(query.Int(0)), std::string(query.Text(1)), std::string(query.Text(2))});
  }
  return records;
}

std::optional<std::int64_t> RecordLog::FindByReference(std::string_view reference) {
  Statement query(database_, "SELECT seq FROM record WHERE reference = ?");
  return query.Bind(reference).Step() ? std::optional(query.Int(0)) : std::nullopt;
}

std::optional<std::uint64_t> RecordLog::FindUse(std::int64_t period_start_s, std::string_view group) {
  Statement query(database_,
                  "SELECT seq FROM record WHERE start_s = ? AND grp = ? AND kind = 'use' ORDER BY seq");
  if (!query.Bind(period_start_s).Bind(group).Step()) return std::nullopt;
  return static_cast<std::uint64_t>(query.Int(0));
}

bool RecordLog::Contains(std::uint64_t seq, std::string_view hash) {
  Statement query(database_, "SELECT hash FROM record WHERE seq = ?");
  return query.Bind(static_cast<std::int64_t>(seq)).Step() && query.Text(0) == hash;
}

}  // namespace stoatrun::ledger
