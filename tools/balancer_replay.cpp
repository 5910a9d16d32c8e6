// Replays recorded event streams through the balancer and compares its actions with the recorded actions.
//
//     balancer_replay FILE...            replays each file's events and compares with its recorded replies
//     balancer_replay --write FILE       prints a new recording: the file's events with the current replies
//
// A recording holds the messages between the simulator and its adapter, one JSON value per line:
// `{"atTime":...` is a batch of events, `{"cmds":...` the reply to it. Other lines are skipped, except that
// `process N` in a line names the process, of possibly several, that the following lines belong to. Exit
// codes: 0 identical, 2 invalid usage or file, 3 an action differs.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstddef>
#include <exception>
#include <fstream>
#include <iostream>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "simulator_adapter/adapter.h"

namespace {

constexpr std::string_view kEventsPrefix = "{\"atTime\"", kReplyPrefix = "{\"cmds\"",
                           kProcessMarker = "process ";
constexpr int kExitIdentical = 0, kExitInvalid = 2, kExitDifferent = 3;
constexpr std::size_t kShownSize = 400;       // Maximum characters printed of a reply that differs.
constexpr std::ptrdiff_t kShownContext = 40;  // How many of these precede the difference.

enum class Mode { kCompare, kWrite };

// The replay of one recorded process: a balancer behind the simulator's adapter.
struct Process {
  stoatrun::SimulatorAdapter adapter;
  std::string reply;     // The reply to the latest batch.
  bool compared = true;  // Whether `reply` has been compared with the recorded one.
};

// Replays one file.
class Replay {
 public:
  Replay(std::string path, Mode mode) : path_(std::move(path)), mode_(mode) {}

  // Returns an exit code. Passes on the adapter's exceptions for malformed events.
  int Run() {
    std::ifstream file(path_);
    if (!file) return ReportBadFile("cannot be read");
    process_ = &processes_[""];
    for (std::string line; std::getline(file, line);) {
      ++line_number_;
      if (const int result = HandleRecordedLine(line); result != kExitIdentical) return result;
    }
    return Finish();
  }

  int ReportBadFile(std::string_view reason) const {
    std::cerr << "balancer_replay: " << path_ << ':' << line_number_ << ": " << reason << '\n';
    return kExitInvalid;
  }

 private:
  int HandleRecordedLine(const std::string& line) {
    if (line.starts_with(kEventsPrefix)) return ReplayEvents(line);
    if (line.starts_with(kReplyPrefix)) return mode_ == Mode::kWrite ? kExitIdentical : CompareReply(line);
    if (const auto at = line.find(kProcessMarker); at != std::string::npos) {
      process_ = &processes_[line.substr(at, line.find(',') - at)];
    }
    return kExitIdentical;
  }

  int ReplayEvents(const std::string& line) {
    if (mode_ == Mode::kCompare && !process_->compared) {
      return ReportBadFile("a batch of events before the reply to the previous batch");
    }
    process_->reply = process_->adapter.HandleLine(line);
    process_->compared = false;
    ++batches_;
    if (mode_ == Mode::kWrite) std::cout << line << '\n' << process_->reply << '\n';
    return kExitIdentical;
  }

  int CompareReply(const std::string& line) {
    if (process_->compared) return ReportBadFile("a reply without a preceding batch of events");
    process_->compared = true;
    return line == process_->reply ? kExitIdentical : ReportDifference(line, process_->reply);
  }

  int Finish() const {
    if (batches_ == 0) return ReportBadFile("the file contains no batch of events");
    if (mode_ == Mode::kWrite) return kExitIdentical;
    for (const auto& [name, process] : processes_) {
      if (!process.compared) return ReportBadFile("the file ends before the reply to the last batch");
    }
    std::cout << path_ << ": " << batches_ << " batches, the same actions\n";
    return kExitIdentical;
  }

  int ReportDifference(std::string_view recorded, std::string_view replayed) const {
    const auto difference =
        std::mismatch(recorded.begin(), recorded.end(), replayed.begin(), replayed.end()).first;
    const std::ptrdiff_t offset = difference - recorded.begin();
    const auto shown_from = static_cast<std::size_t>(std::max<std::ptrdiff_t>(0, offset - kShownContext));
    std::cout << path_ << ':' << line_number_ << ": batch " << batches_ << " differs from character "
              << offset << " on\n  recorded ..." << recorded.substr(shown_from, kShownSize)
              << "\n  replayed ..." << replayed.substr(shown_from, kShownSize) << '\n';
    return kExitDifferent;
  }

  std::string path_;
  Mode mode_;
  std::map<std::string, Process> processes_;  // By name.
  Process* process_ = nullptr;                // The process that the current line belongs to.
  std::size_t line_number_ = 0, batches_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{
      "Replays recorded events through the balancer and compares its actions with the recorded actions."};
  std::vector<std::string> files;
  bool write = false;
  app.add_option("files", files, "recordings")->required();
  app.add_flag("--write", write, "print the events with the balancer's current replies");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? kExitIdentical : kExitInvalid;
  }
  int result = kExitIdentical;
  for (const std::string& file : files) {
    Replay replay(file, write ? Mode::kWrite : Mode::kCompare);
    try {
      result = std::max(result, replay.Run());
    } catch (const std::exception& e) {
      result = std::max(result, replay.ReportBadFile(e.what()));
    }
  }
  return result;
}
