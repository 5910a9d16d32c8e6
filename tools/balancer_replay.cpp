// Does the decision module still take the same actions? Plays recorded event streams through it and compares.
//
//     balancer_replay FILE...            each file's events, against the replies recorded beside them
//     balancer_replay --write FILE       the file's events with the replies of now: a recording
//
// A recording is what passes on the simulator's wire, one JSON value a line: `{"atTime":...` goes in,
// `{"cmds":...` came back. Lines of other forms are skipped, but `process N` in one tells of which of several
// processes what follows is. Exit codes: 0 the same, 2 bad usage or file, 3 an action differs.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstddef>
#include <exception>
#include <fstream>
#include <iostream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "simulator_adapter/adapter.h"

namespace {

constexpr std::string_view kEvents = "{\"atTime\"", kActions = "{\"cmds\"", kProcess = "process ";
constexpr int kSame = 0, kBadFile = 2, kDiffers = 3;
constexpr std::size_t kShown = 400;  // Characters of a reply that differs.

struct Player {
  stoatrun::SimulatorAdapter adapter;
  std::string reply;     // Of the batch that was played last.
  bool compared = true;  // With what was recorded.
};

class Recording {
 public:
  Recording(std::string path, bool write) : path_(std::move(path)), write_(write) {}

  int Play() {
    std::ifstream in(path_);
    if (!in) return Bad("cannot be read");
    std::map<std::string, Player> players;
    Player* player = &players[""];
    for (std::string line; std::getline(in, line);) {
      ++line_number_;
      if (line.starts_with(kEvents)) {
        if (!write_ && !player->compared) return Bad("a batch before the reply to the last one");
        player->reply = player->adapter.HandleLine(line);
        player->compared = false;
        ++batches_;
        if (write_) std::cout << line << '\n' << player->reply << '\n';
      } else if (line.starts_with(kActions)) {
        if (write_) continue;
        if (player->compared) return Bad("a reply without a batch");
        player->compared = true;
        if (line != player->reply) return Differs(line, player->reply);
      } else if (const auto at = line.find(kProcess); at != std::string::npos) {
        player = &players[line.substr(at, line.find(',') - at)];
      }
    }
    if (batches_ == 0) return Bad("no batch of events in it");
    for (const auto& [name, last] : players) {
      if (!write_ && !last.compared) return Bad("it ends before the reply to the last batch");
    }
    if (!write_) std::cout << path_ << ": " << batches_ << " batches, the same actions\n";
    return kSame;
  }
  int Bad(std::string_view why) const {
    std::cerr << "balancer_replay: " << path_ << ':' << line_number_ << ": " << why << '\n';
    return kBadFile;
  }

 private:
  int Differs(std::string_view recorded, std::string_view now) const {
    const auto [a, b] = std::mismatch(recorded.begin(), recorded.end(), now.begin(), now.end());
    const auto from = std::max<std::ptrdiff_t>(0, a - recorded.begin() - 40);
    std::cout << path_ << ':' << line_number_ << ": batch " << batches_ << " differs from character "
              << a - recorded.begin() << " on\n  recorded ..." << recorded.substr(from, kShown)
              << "\n  now      ..." << now.substr(from, kShown) << '\n';
    return kDiffers;
  }

  std::string path_;
  bool write_;
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
    Recording recording(file, write);
    try {
      result = std::max(result, recording.Play());
    } catch (const std::exception& e) {
      result = std::max(result, recording.Bad(e.what()));
    }
  }
  return result;
}
