// A process of the relay program, controlled by the harness.
#ifndef STOATRUN_FAULT_INJECTION_RELAY_PROCESS_H_
#define STOATRUN_FAULT_INJECTION_RELAY_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <string>

namespace stoatrun::fault_injection {

// Starts, signals and reaps one process. The destructor kills it.
class RelayProcess {
 public:
  // Files that the process reads and writes.
  struct Files {
    std::string config;         // Passed as PROXY_CONFIG.
    std::string operator_file;  // Passed as --operator.
    std::string log;            // Standard error is appended to it.
  };
  // Resource usage of a process.
  struct Usage {
    double cpu_cores = 0;  // Mean since its start.
    double resident_kib = 0;
  };

  RelayProcess() = default;
  ~RelayProcess() { KillAndWait(); }
  RelayProcess(const RelayProcess&) = delete;
  RelayProcess& operator=(const RelayProcess&) = delete;

  // True from Start until the process is reaped, even if it has exited in between.
  bool IsRunning() const { return pid_ != 0; }
  // The process must not be running. Throws std::runtime_error if fork fails.
  void Start(const std::string& program, const Files& files);
  // Does nothing if the process is not running.
  void Signal(int signal_number) const;
  // Reaps the process if it has exited; true if so.
  bool ReapIfEnded();
  // Sends SIGKILL and reaps the process, if it is running.
  void KillAndWait();
  // Waits for the process to exit, and kills it at the deadline.
  void WaitUntil(std::chrono::steady_clock::time_point deadline);
  // Resource usage as /proc reports it.
  Usage MeasureUsage() const;

 private:
  pid_t pid_ = 0;
  std::chrono::steady_clock::time_point started_at_;
};

}  // namespace stoatrun::fault_injection

#endif  // STOATRUN_FAULT_INJECTION_RELAY_PROCESS_H_
