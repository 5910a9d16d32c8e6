// Runs a relay as a child process with a generated configuration and measures its CPU time and memory.
//
// Errors are thrown as std::runtime_error. Not thread-safe.
#ifndef STOATRUN_BENCH_RELAY_UNDER_TEST_H_
#define STOATRUN_BENCH_RELAY_UNDER_TEST_H_

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

namespace stoatrun::bench {

// The relay's command line.
struct RelayCommand {
  std::string program;
  std::vector<std::string> args;
  std::string preload;  // Shared object for LD_PRELOAD; empty for none.
};

// The destructor kills the relay and removes its temporary directory.
class RelayUnderTest {
 public:
  RelayUnderTest();
  ~RelayUnderTest();
  RelayUnderTest(const RelayUnderTest&) = delete;
  RelayUnderTest& operator=(const RelayUnderTest&) = delete;

  // Starts the relay with upstream servers on the given ports and waits until it accepts connections.
  void Start(const RelayCommand& command, const std::vector<int>& server_ports);

  // The port on which the relay accepts clients.
  int Port() const { return port_; }
  // CPU time that all threads have used, in microseconds.
  double CpuMicros() const;
  // Resident memory, in KiB.
  std::int64_t ResidentKib() const;

 private:
  std::string ConfigPath() const { return directory_ + "/config.json"; }
  void WriteConfig(const std::vector<int>& server_ports) const;
  // Runs in the child process: sets the environment and executes the relay.
  [[noreturn]] void Execute(const RelayCommand& command) const;

  std::string directory_;
  int port_ = 0;
  pid_t pid_ = -1;
};

}  // namespace stoatrun::bench

#endif  // STOATRUN_BENCH_RELAY_UNDER_TEST_H_
