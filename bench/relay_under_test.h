// A relay as a child process, with a configuration of its own, and its CPU time and memory.
//
// Errors are std::runtime_error. One thread.
#ifndef STOATRUN_BENCH_RELAY_UNDER_TEST_H_
#define STOATRUN_BENCH_RELAY_UNDER_TEST_H_

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

namespace stoatrun::bench {

// What is run.
struct RelayCommand {
  std::string program;
  std::vector<std::string> args;
  std::string preload;  // A shared object for LD_PRELOAD; empty: none.
};

// Kills the relay and removes its folder when it is destroyed.
class RelayUnderTest {
 public:
  RelayUnderTest();
  ~RelayUnderTest();
  RelayUnderTest(const RelayUnderTest&) = delete;
  RelayUnderTest& operator=(const RelayUnderTest&) = delete;

  // Starts the relay with upstream servers on the given ports and waits until it accepts connections.
  void Start(const RelayCommand& command, const std::vector<int>& server_ports);

  // The port for clients.
  int Port() const { return port_; }
  // CPU time of all threads, in microseconds.
  double CpuMicros() const;
  // Resident memory, in KiB.
  std::int64_t ResidentKib() const;

 private:
  std::string ConfigPath() const { return folder_ + "/config.json"; }
  void WriteConfig(const std::vector<int>& server_ports) const;
  // Becomes the relay; runs in the child process.
  [[noreturn]] void Execute(const RelayCommand& command) const;

  std::string folder_;
  int port_ = 0;
  pid_t pid_ = -1;
};

}  // namespace stoatrun::bench

#endif  // STOATRUN_BENCH_RELAY_UNDER_TEST_H_
