// `stoatrun ledger ...`: prints, verifies, corrects and exports a relay's ledger, and reconciles exports.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "cli/cli.h"
#include "cli/ledger_format.h"
#include "cli/reconcile_report.h"
#include "cli/table.h"
#include "cli/usage_report.h"
#include "config/operator_file.h"
#include "ledger/io/export_file.h"
#include "ledger/io/store.h"

namespace stoatrun::cli {
namespace {

using ledger::Store;

// The options of all `ledger` sub-commands; each uses a subset.
struct Options {
  const GlobalOptions* global = nullptr;
  std::string folder, format = "table", period, group, reason, author, reference, output_path;
  std::int64_t seconds = 0;
  std::uint64_t first_record = 1;
  std::vector<std::string> paths;
  unsigned threads = 0;
};

using Handler = int (*)(const Options&);

// Opens the ledger in the folder that --folder or the operator file names. Throws OperatorFileError if
// neither names one.
Store OpenStore(const Options& options) {
  std::string folder = options.folder;
  if (folder.empty()) {
    const config::OperatorFile file = LoadOperatorFile(options.global->operator_path);
    if (!file.has_ledger()) {
      throw OperatorFileError("no ledger folder: use --folder, or an operator file with a ledger section");
    }
    folder = file.ledger().folder();
  }
  ledger::StoreSetup setup;
  setup.folder = folder;
  setup.lock_folder = false;  // The relay, which holds the lock, may be running.
  return Store(setup);
}

std::int64_t WallClockUs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

int Show(const Options& options) {
  Store store = OpenStore(options);
  UsageFilter filter{.period_start_s = std::nullopt, .group = options.group};
  if (!options.period.empty()) filter.period_start_s = ParsePeriodStart(options.period);
  UsageReport report(filter);
  store.ForEachRecord(1, [&](const ledger::StoredRecord& record) { report.AddRecord(record); });
  report.MakeTable(store.OpenPeriods()).Print(std::cout, ParseOutputFormat(options.format));
  const ledger::StoreState state = store.State();
  std::cerr << fmt::format("ledger of {}, book {}: {} records, {} delivered, {} unattested intervals\n",
                           state.relay, state.ledger_id, state.head_seq, state.delivered_seq,
                           report.UnattestedIntervals());
  return kSuccess;
}

int Verify(const Options& options) {
  std::vector<std::string> faults;
  try {
    faults = OpenStore(options).Verify();
  } catch (const ledger::StoreError& e) {
    if (e.code != ledger::StoreErrorCode::kCorrupt) throw;
    faults.emplace_back(e.what());
  }
  Table table({"fault"}, Table::kNoRightAligned);
  for (const std::string& fault : faults) table.AddRow({fault});
  const OutputFormat format = ParseOutputFormat(options.format);
  if (!faults.empty() || format != OutputFormat::kTable) table.Print(std::cout, format);
  if (faults.empty()) std::cerr << "every page, every record and every sum holds\n";
  return faults.empty() ? kSuccess : kCheckFailed;
}

int Export(const Options& options) {
  Store store = OpenStore(options);
  const std::string& path = options.output_path;
  const ledger::ExportTrailer written = ledger::WriteExport(store, options.first_record, path);
  if (written.to < written.from) {
    std::cerr << fmt::format("{}: no records from {} on\n", path, written.from);
  } else {
    std::cerr << fmt::format("{}: records {} to {} of {}\n", path, written.from, written.to, written.relay);
  }
  return kSuccess;
}

int Correct(const Options& options) {
  Store store = OpenStore(options);
  ledger::CorrectionRequest correction;
  correction.group = options.group;
  correction.period_start_s = ParsePeriodStart(options.period);
  correction.seconds = options.seconds;
  correction.reason = options.reason;
  correction.by = options.author;
  correction.reference = options.reference;
  correction.wall_us = WallClockUs();
  const std::uint64_t record = store.EnterCorrection(correction);
  std::cout << "entered as record " << record << '\n';
  return kSuccess;
}

int Reconcile(const Options& options) {
  const unsigned threads =
      options.threads != 0 ? options.threads : std::max(1U, std::thread::hardware_concurrency());
  const ledger::ReconcileReport result = ledger::ReconcileFiles(options.paths, threads);
  PrintReconcileReport(std::cout, result, ParseOutputFormat(options.format));
  std::cerr << fmt::format(
      "{} relays, {} books, {} files, {} records, {} duplicates, {} clock steps, {} faults\n", result.relays,
      result.ledgers, result.files, result.records, result.duplicates, result.clock_steps,
      result.faults.size() + result.omitted_faults);
  return result.faults.empty() ? kSuccess : kCheckFailed;
}

// Adds sub-commands and their options to the `ledger` command.
class CommandBuilder {
 public:
  CommandBuilder(CLI::App& ledger, std::shared_ptr<Options> options, Command& selected)
      : ledger_(ledger), options_(std::move(options)), selected_(selected) {}

  void AddShow() {
    CLI::App* show = Add("show", "print usage per group in closed and open periods", Show);
    AddFormat(show);
    AddFolder(show);
    show->add_option("--period", options_->period,
                     "only the period with this start, 2026-12-01T05:00:00Z or Unix time");
    show->add_option("--group", options_->group, "only this group");
  }

  void AddVerify() {
    CLI::App* verify = Add("verify", "verify every page, record and sum", Verify);
    AddFormat(verify);
    AddFolder(verify);
  }

  void AddExport() {
    CLI::App* export_command = Add("export", "write records to a file, atomically", Export);
    AddFolder(export_command);
    export_command->add_option("--out", options_->output_path, "output file; reconcile reads *.jsonl")
        ->required();
    export_command->add_option("--since", options_->first_record, "number of the first record to write")
        ->check(CLI::PositiveNumber);
  }

  void AddCorrect() {
    CLI::App* correct = Add("correct", "enter a correction of a closed period", Correct);
    AddFolder(correct);
    correct->add_option("--group", options_->group, "the count group")->required();
    correct->add_option("--period", options_->period, "start of the period")->required();
    correct->add_option("--seconds", options_->seconds, "connection-seconds to add; negative to subtract")
        ->required();
    correct->add_option("--reason", options_->reason, "reason, part of the export")->required();
    correct->add_option("--by", options_->author, "author of the correction")->required();
    correct->add_option("--ref", options_->reference,
                        "unique reference; a second correction under it is rejected");
  }

  void AddReconcile() {
    CLI::App* reconcile = Add("reconcile", "verify the exports of many relays and add them up", Reconcile);
    AddFormat(reconcile);
    reconcile->add_option("paths", options_->paths, "export files, or folders with *.jsonl files")
        ->required()
        ->check(CLI::ExistingPath);
    reconcile->add_option("--threads", options_->threads, "default: one per processor");
  }

 private:
  CLI::App* Add(const char* name, const char* description, Handler handler) {
    CLI::App* command = ledger_.add_subcommand(name, description);
    command->callback([&selected = selected_, options = options_, handler] {
      selected = [options, handler] { return handler(*options); };
    });
    return command;
  }

  void AddFormat(CLI::App* command) {
    command->add_option("--format", options_->format, "table, json or csv")
        ->check(CLI::IsMember({"table", "json", "csv"}));
  }

  void AddFolder(CLI::App* command) {
    command->add_option("--folder", options_->folder, "ledger folder; default: from the operator file")
        ->type_name("DIR");
  }

  CLI::App& ledger_;
  std::shared_ptr<Options> options_;
  Command& selected_;
};

}  // namespace

void AddLedgerCommands(CLI::App& app, const GlobalOptions& options, Command& selected) {
  auto ledger_options = std::make_shared<Options>();
  ledger_options->global = &options;
  CLI::App* ledger = app.add_subcommand("ledger", "ledger of usage per count group");
  ledger->require_subcommand(1);
  CommandBuilder builder(*ledger, ledger_options, selected);
  builder.AddShow();
  builder.AddVerify();
  builder.AddExport();
  builder.AddCorrect();
  builder.AddReconcile();
}

}  // namespace stoatrun::cli
