// One relay's ledger under a manual clock: a UsageRecorder and, with a receiver, an ExportClient.
#ifndef STOATRUN_TESTS_LEDGER_RECORDER_FIXTURE_H_
#define STOATRUN_TESTS_LEDGER_RECORDER_FIXTURE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "ledger/io/export_client.h"
#include "ledger/io/usage_recorder.h"
#include "ledger/temporary_folder.h"
#include "standin/in_memory_disk.h"
#include "standin/receiver.h"

namespace stoatrun::ledger {

inline constexpr Micros kWallStart = std::chrono::seconds(1'800'000'000);

class RecorderFixture {
 public:
  // Starts a relay with a folder of its own. `disk`: null for the system's; `receiver`: null for no exports.
  explicit RecorderFixture(standin::InMemoryDisk* disk, std::string relay = "n0",
                           const standin::Receiver* receiver = nullptr);
  ~RecorderFixture();
  RecorderFixture(const RecorderFixture&) = delete;
  RecorderFixture& operator=(const RecorderFixture&) = delete;

  void Start();
  // As SIGKILL: this process writes nothing more to the disk.
  void Kill();
  // One turn of the event loop and of the receiver.
  void Turn(standin::Receiver* receiver = nullptr);
  // Turns until the disk has answered and the sockets are quiet.
  void Settle(standin::Receiver* receiver = nullptr);
  // Advances the clock in steps of half a second at most and settles after each.
  void Wait(Micros span, standin::Receiver* receiver = nullptr);
  // Advances the clock only.
  void Advance(Micros span);

  // Another connection to the store, as of a command line program.
  Store Reader();
  // Everything in the store.
  struct Totals {
    std::int64_t use_us = 0, within_us = 0;  // In records and in open periods.
    std::int64_t unrecorded_us = 0;
    int unattested = 0, clock_steps = 0;  // Records; unrecorded usage is not counted as unattested.
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
