// Replays recorded event streams through the balancer and compares its actions with the recorded ones.
//
//     balancer_replay FILE...            each file's events, against the replies recorded beside them
//     balancer_replay --write FILE       the file's events with the replies of now: a recording
//
// A recording is what passes between the simulator and its adapter, one JSON value a line: `{"atTime":...` is
// a batch of events, `{"cmds":...` the reply to it. Lines of other forms are skipped, except that `process N`
// in one names which of several processes the lines below it belong to. Exit codes: 0 the same, 2 bad usage
// or file, 3 an action differs.
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

constexpr std::string_view kEvents = "{\"atTime\"", kActions = "{\"cmds\"", kProcess = "process ";
constexpr int kSame = 0, kBadFile = 2, kDiffers = 3;
constexpr std::size_t kShownSize = 400;       // Characters of a reply that differs.
constexpr std::ptrdiff_t kShownContext = 40;  // Of these, characters before the difference.

enum class Mode { kCompare, kWrite };

// One recorded process: a balancer behind the simulator's adapter.
struct Process {
  stoatrun::SimulatorAdapter adapter;
  std::string reply;     // To the latest batch.
  bool compared = true;  // Whether `reply` has been compared with the recorded one.
};

// Replays one file.
class Replay {
 public:
  Replay(std::string path, Mode mode) : path_(std::move(path)), mode_(mode) {}

  // Returns an exit code; throws what the adapter throws on malformed events.
  int Run() {
    std::ifstream file(path_);
    if (!file) return ReportBadFile("cannot be read");
    process_ = &processes_[""];
    for (std::string line; std::getline(file, line);) {
      ++line_number_;
      if (const int result = TakeLine(line); result != kSame) return result;
    }
    return Finish();
  }

  int ReportBadFile(std::string_view reason) const {
    std::cerr << "balancer_replay: " << path_ << ':' << line_number_ << ": " << reason << '\n';
    return kBadFile;
  }

 private:
  int TakeLine(const std::string& line) {
    if (line.starts_with(kEvents)) return TakeEvents(line);
    if (line.starts_with(kActions)) return mode_ == Mode::kWrite ? kSame : TakeActions(line);
    if (const auto at = line.find(kProcess); at != std::string::npos) {
      process_ = &processes_[line.substr(at, line.find(',') - at)];
    }
    return kSame;
  }

  int TakeEvents(const std::string& line) {
    if (mode_ == Mode::kCompare && !process_->compared) {
      return ReportBadFile("a batch before the reply to the last one");
    }
    process_->reply = process_->adapter.HandleLine(line);
    process_->compared = false;
    ++batches_;
    if (mode_ == Mode::kWrite) std::cout << line << '\n' << process_->reply << '\n';
    return kSame;
  }

  int TakeActions(const std::string& line) {
    if (process_->compared) return ReportBadFile("a reply without a batch");
    process_->compared = true;
    return line == process_->reply ? kSame : ReportDifference(line, process_->reply);
  }

  int Finish() const {
    if (batches_ == 0) return ReportBadFile("no batch of events in it");
    if (mode_ == Mode::kWrite) return kSame;
    for (const auto& [name, process] : processes_) {
      if (!process.compared) return ReportBadFile("it ends before the reply to the last batch");
    }
    std::cout << path_ << ": " << batches_ << " batches, the same actions\n";
    return kSame;
  }

  int ReportDifference(std::string_view recorded, std::string_view now) const {
    const auto difference = std::mismatch(recorded.begin(), recorded.end(), now.begin(), now.end()).first;
    const std::ptrdiff_t offset = difference - recorded.begin();
    const auto shown_from = static_cast<std::size_t>(std::max<std::ptrdiff_t>(0, offset - kShownContext));
    std::cout << path_ << ':' << line_number_ << ": batch " << batches_ << " differs from character "
              << offset << " on\n  recorded ..." << recorded.substr(shown_from, kShownSize)
              << "\n  now      ..." << now.substr(shown_from, kShownSize) << '\n';
    return kDiffers;
  }

  std::string path_;
  Mode mode_;
  std::map<std::string, Process> processes_;  // By name.
  Process* process_ = nullptr;                // Whose lines are being read.
  std::size_t line_number_ = 0, batches_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Plays recorded events through the decision module and compares its actions."};
  std::vector<std::string> files;
  bool write = false;
  app.add_option("files", files, "recordings")->required();
  app.add_flag("--write", write, "print the events with the replies of now");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? kSame : kBadFile;
  }
  int result = kSame;
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
