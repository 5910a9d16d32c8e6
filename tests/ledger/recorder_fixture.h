// A relay's ledger under a manual clock: a UsageRecorder and, if there is a receiver, an ExportClient.
#ifndef STOATRUN_TESTS_LEDGER_RECORDER_FIXTURE_H_
#define STOATRUN_TESTS_LEDGER_RECORDER_FIXTURE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "base/temporary_folder.h"
#include "ledger/io/export_client.h"
#include "ledger/io/usage_recorder.h"
#include "standin/in_memory_disk.h"
#include "standin/receiver.h"

namespace stoatrun::ledger {

inline constexpr Micros kWallStart = std::chrono::seconds(1'800'000'000);

class RecorderFixture {
 public:
  // Starts a relay with its own folder. `disk`: null for the file system; `receiver`: null for no deliveries.
  explicit RecorderFixture(standin::InMemoryDisk* disk, std::string relay = "n0",
                           const standin::Receiver* receiver = nullptr);
  ~RecorderFixture();
  RecorderFixture(const RecorderFixture&) = delete;
  RecorderFixture& operator=(const RecorderFixture&) = delete;

  void Start();
  // Like SIGKILL: nothing more is written to the disk.
  void Kill();
  // Polls the event loop and the receiver once.
  void PollOnce(standin::Receiver* receiver = nullptr);
  // Polls until the recorder is idle and has stayed so for 20 polls, so that messages on sockets are handled,
  // too.
  void PollUntilIdle(standin::Receiver* receiver = nullptr);
  // Advances the clock in steps of at most 500 ms and calls PollUntilIdle after each.
  void Wait(Micros span, standin::Receiver* receiver = nullptr);
  // Advances the clock without polling.
  void Advance(Micros span);

  // Opens another connection to the store, as a command line program does.
  Store Reader();
  // Sums over everything in the store.
  struct Totals {
    std::int64_t use_us = 0, within_us = 0;  // In records and open periods.
    std::int64_t unrecorded_us = 0;
    int unattested = 0, clock_steps = 0;  // Counts of records; unrecorded usage is not in `unattested`.
  };
  Totals ReadTotals();
  const std::string& Folder() const { return folder_.Path(); }

  Micros monotonic{0}, wall_offset{0};
  std::size_t max_backlog_cells = 1000;
  std::optional<EventLoop> loop;
  std::optional<UsageRecorder> recorder;
  std::optional<ExportClient> export_client;

 private:
  standin::InMemoryDisk* disk_;
  const std::string relay_;
  const standin::Receiver* receiver_;
  const TemporaryFolder folder_;
};

}  // namespace stoatrun::ledger

#endif  // STOATRUN_TESTS_LEDGER_RECORDER_FIXTURE_H_
