// A process of the relay program under the harness's control.
#ifndef STOATRUN_FAULT_INJECTION_RELAY_PROCESS_H_
#define STOATRUN_FAULT_INJECTION_RELAY_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <string>

namespace stoatrun::fault_injection {

// Starts, signals and reaps one process; killed on destruction.
class RelayProcess {
 public:
  // Paths of what the process reads and writes.
  struct Files {
    std::string config;         // Goes into PROXY_CONFIG.
    std::string operator_file;  // For --operator.
    std::string log;            // Standard error is appended to it.
  };
  // What a process needs of the machine.
  struct Usage {
    double cpu_cores = 0;  // Mean, since its start.
    double resident_kib = 0;
  };

  RelayProcess() = default;
  ~RelayProcess() { KillAndWait(); }
  RelayProcess(const RelayProcess&) = delete;
  RelayProcess& operator=(const RelayProcess&) = delete;

  // Until it has been reaped; it may have ended before.
  bool IsRunning() const { return pid_ != 0; }
  // Throws std::runtime_error if no process can be made. It must not be running.
  void Start(const std::string& program, const Files& files);
  // Does nothing if it is not running.
  void Signal(int signal_number) const;
  // Whether it has ended by itself or of a signal since the last call; then it is running no more.
  bool ReapIfEnded();
  // SIGKILL, if it is running.
  void KillAndWait();
  // Kills it only if it has not ended by then.
  void WaitUntil(std::chrono::steady_clock::time_point deadline);
  // What the kernel says of it.
  Usage MeasureUsage() const;

 private:
  pid_t pid_ = 0;
  std::chrono::steady_clock::time_point started_at_;
};

}  // namespace stoatrun::fault_injection

#endif  // STOATRUN_FAULT_INJECTION_RELAY_PROCESS_H_
