#include "ledger/io/store_verifier.h"

#include <fmt/format.h>

#include <cstdint>

#include "ledger/io/checked_vfs.h"
#include "ledger/io/store_schema.h"
#include "ledger/record.h"

namespace stoatrun::ledger {
namespace {

// Checks one database and collects its faults.
class Verifier {
 public:
  Verifier(Database& database, const std::string& path) : database_(database), path_(path), meta_(database) {}

  void CheckAll() {
    // The first read acquires the read lock that FindInvalidPage requires.
    const std::uint64_t head_seq = meta_.GetNumber(MetaTable::kHeadSeq);
    CheckPages();
    CheckSqlite();
    CheckChain(head_seq);
    CheckSums();
  }
  void AddFault(std::string fault) { faults_.push_back(std::move(fault)); }
  const std::vector<std::string>& Faults() const { return faults_; }

 private:
  void CheckPages() {
    if (const auto page = FindInvalidPage(database_.native_handle())) {
      AddFault(fmt::format("{}: page {} does not match its checksum", path_, *page));
    }
  }

  void CheckSqlite() {
    Statement check(database_, "PRAGMA integrity_check");
    while (check.Step()) {
      if (check.Text(0) != "ok") AddFault(fmt::format("{}: {}", path_, check.Text(0)));
    }
  }

  void CheckChain(std::uint64_t head_seq) {
    std::uint64_t expected = 1;
    std::string previous_hash = InitialPrevHash();
    Statement records(database_, "SELECT seq, hash, line FROM record ORDER BY seq");
    for (; records.Step(); ++expected) {
      const auto seq = static_cast<std::uint64_t>(records.Int(0));
      if (seq != expected) AddFault(fmt::format("record {} is missing", expected));
      expected = seq;
      const auto parts = SplitLine(records.Text(2));
      if (!parts || parts->hash != records.Text(1)) {
        AddFault(fmt::format("record {} does not match its hash", seq));
      } else if (parts->prev != previous_hash) {
        AddFault(fmt::format("record {} is not chained to the record before it", seq));
      }
      previous_hash = records.Text(1);
    }
    if (expected - 1 != head_seq || previous_hash != meta_.Get(MetaTable::kHeadHash)) {
      AddFault("the last record does not match the stored head of the chain");
    }
  }

  void CheckSums() {
    Statement sums(
        database_,
        "SELECT p.start_s, p.lives_us, (SELECT coalesce(sum(use_us), 0) FROM cell WHERE period = p.id), "
        "(SELECT coalesce(sum(use_us), 0) FROM split WHERE period = p.id) FROM period p WHERE closed = 0");
    while (sums.Step()) {
      const std::int64_t connection_time_us = sums.Int(1), class_us = sums.Int(2), group_us = sums.Int(3);
      if (connection_time_us == class_us && connection_time_us == group_us) continue;
      AddFault(
          fmt::format("period {} is out of balance: connection time {} us, by class {} us, by group {} us",
                      sums.Int(0), connection_time_us, class_us, group_us));
    }
  }

  Database& database_;
  const std::string& path_;
  MetaTable meta_;
  std::vector<std::string> faults_;
};

}  // namespace

std::vector<std::string> VerifyDatabase(Database& database, const std::string& path) {
  const Transaction transaction(database, Transaction::Kind::kRead);
  Verifier verifier(database, path);
  try {
    verifier.CheckAll();
  } catch (const SqlError& e) {
    verifier.AddFault(fmt::format("{}: {}", path, e.what()));
  }
  return verifier.Faults();
}

}  // namespace stoatrun::ledger
