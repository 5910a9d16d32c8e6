// `stoatrun ledger ...`: reads a relay's ledger, enters corrections, exports, and reconciles exports.
#include <fmt/format.h>
#include <google/protobuf/util/json_util.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <ctime>
#include <iostream>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "cli/cli.h"
#include "cli/ledger_setup.h"
#include "cli/table.h"
#include "config/operator_file.h"
#include "ledger/io/export_file.h"
#include "ledger/io/store.h"

namespace stoatrun::cli {
namespace {

using ledger::Store;
using ledger::wire::Record;

struct Options {
  const Common* common = nullptr;
  std::string folder, format = "table", period, group, reason, by, reference, out;
  std::int64_t seconds = 0;
  std::uint64_t since = 1;
  std::vector<std::string> paths;
  unsigned threads = 0;
};

Store OpenStore(const Options& o) {
  std::string folder = o.folder;
  if (folder.empty()) {
    const config::OperatorFile file = LoadOperatorFile(o.common->operator_path);
    if (!file.has_ledger())
      throw OperatorFileError("no ledger: give --folder, or an operator file that sets one");
    folder = file.ledger().folder();
  }
  return Store({folder, "", "", nullptr, false, 0});
}

std::int64_t WallUs() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// 2026-12-01T05:00:00Z, or Unix time.
std::int64_t PeriodOf(const std::string& text) {
  std::int64_t unix_s = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), unix_s);
  if (error == std::errc() && end == text.data() + text.size()) return unix_s;
  std::tm utc{};
  const char* rest = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%SZ", &utc);
  if (rest == nullptr || *rest != '\0') {
    throw CLI::ValidationError("--period", "expected 2026-12-01T05:00:00Z or Unix time, got '" + text + "'");
  }
  return timegm(&utc);
}

std::string When(std::int64_t unix_s) {
  const std::time_t t = unix_s;
  std::tm utc{};
  gmtime_r(&t, &utc);
  std::array<char, 32> text{};
  return {text.data(), std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &utc)};
}

std::string Seconds(std::int64_t us) {
  const char* sign = us < 0 ? "-" : "";
  const auto most = static_cast<std::uint64_t>(us < 0 ? -us : us);
  return fmt::format("{}{}.{:06}", sign, most / 1'000'000, most % 1'000'000);
}

int Show(const Options& o) {
  Store store = OpenStore(o);
  Table table({"period", "state", "group", "use_s", "within_s", "beyond_s", "corrected_s", "record"}, 3);
  const bool one = !o.period.empty();
  const std::int64_t wanted = one ? PeriodOf(o.period) : 0;
  const auto fits = [&](std::int64_t start, const std::string& group) {
    return (!one || start == wanted) && (o.group.empty() || group == o.group);
  };
  std::map<std::pair<std::int64_t, std::string>, std::int64_t> corrected;
  std::uint64_t unattested = 0;
  std::vector<std::pair<std::uint64_t, Record>> uses;
  store.EachRecord(1, [&](const ledger::StoredRecord& r) {
    const auto parts = ledger::SplitLine(r.line);
    const auto record = parts ? ledger::ParseRecord(parts->record) : std::nullopt;
    if (!record)
      throw std::runtime_error(fmt::format("record {} is damaged: run stoatrun ledger verify", r.seq));
    if (record->has_correction()) {
      const auto& c = record->correction();
      corrected[{c.period_start_s(), c.group()}] += c.seconds();
    }
    unattested += record->has_unattested() ? 1 : 0;
    if (record->has_use() && fits(record->use().period_start_s(), record->use().group())) {
      uses.emplace_back(r.seq, *record);
    }
  });
  for (const auto& [seq, record] : uses) {
    const auto& u = record.use();
    const auto it = corrected.find({u.period_start_s(), u.group()});
    // A correction is told once, at the period's first record of the group.
    const std::int64_t add = it != corrected.end() && u.supplement() == 0 ? it->second : 0;
    if (u.supplement() == 0 && it != corrected.end()) corrected.erase(it);
    table.Add({When(u.period_start_s()),
               u.supplement() == 0 ? "closed" : fmt::format("supplement {}", u.supplement()), u.group(),
               Seconds(u.use_us()), Seconds(u.within_us()), Seconds(u.beyond_us()), std::to_string(add),
               std::to_string(seq)});
  }
  for (const auto& [key, add] : corrected) {  // Groups that have no record of their own there.
    if (fits(key.first, key.second)) {
      table.Add({When(key.first), "correction", key.second, "0.000000", "0.000000", "0.000000",
                 std::to_string(add), ""});
    }
  }
  for (const ledger::OpenUse& u : store.OpenPeriods()) {
    if (fits(u.period_start_s, u.use.name)) {
      table.Add({When(u.period_start_s), "open", u.use.name, Seconds(u.use.use_us), Seconds(u.use.within_us),
                 Seconds(u.use.BeyondUs()), "0", ""});
    }
  }
  table.Print(std::cout, o.format);
  const ledger::StoreState state = store.State();
  std::cerr << fmt::format("ledger of {}, book {}: {} records, {} delivered, {} unattested intervals\n",
                           state.relay, state.ledger_id, state.head_seq, state.delivered_seq, unattested);
  return kDone;
}

int Verify(const Options& o) {
  std::vector<std::string> wrong;
  try {
    wrong = OpenStore(o).Verify();
  } catch (const ledger::StoreError& e) {
    if (e.code != ledger::StoreErrorCode::kCorrupt) throw;
    wrong.emplace_back(e.what());
  }
  Table table({"fault"}, 1);
  for (const std::string& w : wrong) table.Add({w});
  if (!wrong.empty() || o.format != "table") table.Print(std::cout, o.format);
  if (wrong.empty()) std::cerr << "every page, every record and every sum holds\n";
  return wrong.empty() ? kDone : kFoundWrong;
}

int Export(const Options& o) {
  Store store = OpenStore(o);
  const ledger::ExportTrailer end = ledger::WriteExport(store, o.since, o.out);
  if (end.to < end.from) {
    std::cerr << fmt::format("{}: no records from {} on\n", o.out, end.from);
  } else {
    std::cerr << fmt::format("{}: records {} to {} of {}\n", o.out, end.from, end.to, end.relay);
  }
  return kDone;
}

int Correct(const Options& o) {
  Store store = OpenStore(o);
  const std::uint64_t seq =
      store.EnterCorrection({o.group, PeriodOf(o.period), o.seconds, o.reason, o.by, o.reference, WallUs()});
  std::cout << "entered as record " << seq << '\n';
  return kDone;
}

int Reconcile(const Options& o) {
  const unsigned threads = o.threads != 0 ? o.threads : std::max(1U, std::thread::hardware_concurrency());
  const ledger::ReconcileReport r = ledger::ReconcileFiles(o.paths, threads);
  Table totals({"period", "group", "use_s", "within_s", "beyond_s", "corrected_s", "relay_records"}, 2);
  for (const auto& [key, t] : r.totals) {
    totals.Add({When(key.period_start_s), key.group, Seconds(t.use_us), Seconds(t.within_us),
                Seconds(t.beyond_us), std::to_string(t.corrected_s), std::to_string(t.records)});
  }
  Table corrections({"relay", "record", "corrects", "period", "group", "seconds", "by", "reason"}, 3);
  for (const auto& c : r.corrections) {
    corrections.Add({c.relay, std::to_string(c.seq), std::to_string(c.entry.original_seq()),
                     When(c.entry.period_start_s()), c.entry.group(), std::to_string(c.entry.seconds()),
                     c.entry.by(), c.entry.reason()});
  }
  Table unattested({"relay", "record", "from", "to", "open", "bound_s", "unkept_s"}, 4);
  for (const auto& u : r.unattested) {
    std::uint64_t open = 0;
    std::int64_t bound = 0;
    for (const auto& c : u.entry.open()) {
      open += c.open();
      bound += c.bound_us();
    }
    unattested.Add({u.relay, std::to_string(u.seq), When(u.entry.from_wall_us() / 1'000'000),
                    When(u.entry.to_wall_us() / 1'000'000), std::to_string(open), Seconds(bound),
                    Seconds(u.entry.unkept_us())});
  }
  Table faults({"file", "line", "record", "what"}, 4);
  for (const auto& f : r.faults) faults.Add({f.file, std::to_string(f.line), std::to_string(f.seq), f.what});
  PrintAll(
      std::cout, o.format,
      {{"totals", &totals}, {"corrections", &corrections}, {"unattested", &unattested}, {"faults", &faults}});
  std::cerr << fmt::format(
      "{} relays, {} books, {} files, {} records, {} duplicates, {} clock steps, {} faults\n", r.relays,
      r.ledgers, r.files, r.records, r.duplicates, r.clock_steps, r.faults.size() + r.omitted_faults);
  return r.faults.empty() ? kDone : kFoundWrong;
}

}  // namespace

void AddLedger(CLI::App& app, const Common& common, std::function<int()>& act) {
  static Options o;
  o.common = &common;
  CLI::App* ledger = app.add_subcommand("ledger", "the ledger of use per count group");
  ledger->require_subcommand(1);
  const auto add = [&](const char* name, const char* what, int (*f)(const Options&), bool prints) {
    CLI::App* sub = ledger->add_subcommand(name, what);
    if (prints) {
      sub->add_option("--format", o.format, "table, json or csv")
          ->check(CLI::IsMember({"table", "json", "csv"}));
    }
    sub->callback([&act, f] { act = [f] { return f(o); }; });
    return sub;
  };
  const auto folder = [](CLI::App* sub) {
    sub->add_option("--folder", o.folder, "the ledger's folder; else the operator file's")->type_name("DIR");
  };
  CLI::App* show = add("show", "use per period and group, closed and open", Show, true);
  folder(show);
  show->add_option("--period", o.period, "start of one period, 2026-12-01T05:00:00Z or Unix time");
  show->add_option("--group", o.group, "one group");
  folder(add("verify", "check every page, record and sum", Verify, true));
  CLI::App* exports = add("export", "write records to a file, whole or not at all", Export, false);
  folder(exports);
  exports->add_option("--out", o.out, "the file; reconcile takes *.jsonl")->required();
  exports->add_option("--since", o.since, "from this record on")->check(CLI::PositiveNumber);
  CLI::App* correct = add("correct", "enter a correction of a closed period", Correct, false);
  folder(correct);
  correct->add_option("--group", o.group, "the count group")->required();
  correct->add_option("--period", o.period, "start of the period")->required();
  correct->add_option("--seconds", o.seconds, "connection-seconds to add, or to take off")->required();
  correct->add_option("--reason", o.reason, "why, for the export")->required();
  correct->add_option("--by", o.by, "who enters it")->required();
  correct->add_option("--ref", o.reference, "entered under a reference it can't be entered twice");
  CLI::App* reconcile = add("reconcile", "check and add up the exports of many relays", Reconcile, true);
  reconcile->add_option("paths", o.paths, "export files, and folders of *.jsonl")
      ->required()
      ->check(CLI::ExistingPath);
  reconcile->add_option("--threads", o.threads, "default: one a processor");
}

}  // namespace stoatrun::cli
