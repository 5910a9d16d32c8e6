// Tests that export files are written atomically.
#include "ledger/io/export_file.h"

#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <fstream>
#include <iterator>
#include <string>

#include "ledger/recorder_fixture.h"

namespace stoatrun::ledger {
namespace {

using std::chrono::seconds;

std::string ReadFile(const std::string& path) {
  std::ifstream input(path, std::ios::binary);
  return std::string{std::istreambuf_iterator<char>(input), {}};
}

// Writes an export in a child process that is killed when it writes beyond `max_bytes`. Returns whether it
// was killed.
bool IsKilledWriting(const std::string& folder, const std::string& path, rlim_t max_bytes) {
  const pid_t child = fork();
  if (child == 0) {
    const rlimit limit{max_bytes, max_bytes};
    setrlimit(RLIMIT_FSIZE, &limit);
    std::signal(SIGXFSZ, SIG_DFL);
    Store store({folder, "", "", nullptr, false, 0});
    WriteExport(store, 1, path);
    _exit(0);
  }
  int status = 0;
  REQUIRE(waitpid(child, &status, 0) == child);
  return WIFSIGNALED(status) && WTERMSIG(status) == SIGXFSZ;
}

TEST_CASE("an export file is complete or unchanged, wherever the process writing it is killed") {
  RecorderFixture relay(nullptr);
  UsageHandle handle = relay.recorder->Begin("wetland", 0);
  relay.Wait(seconds(200));
  relay.recorder->End(handle);
  REQUIRE(relay.recorder->Finish(seconds(5)));
  const std::string path = relay.Folder() + "/n0.jsonl";
  std::ofstream(path) << "the previous file";
  Store store = relay.Reader();
  for (rlim_t max_bytes = 0; ReadFile(path) == "the previous file"; max_bytes += 97) {
    const bool killed = IsKilledWriting(relay.Folder(), path, max_bytes);
    REQUIRE((killed == (ReadFile(path) == "the previous file")));
    REQUIRE(max_bytes < 100'000);
  }
  const ReconcileReport report = ReconcileFiles({path}, 1);
  CHECK(report.faults.empty());
  CHECK(report.records == 3);
  CHECK_THROWS(WriteExport(store, 1, "/nonexistent/n0.jsonl"));
}

}  // namespace
}  // namespace stoatrun::ledger
