#include "relay_process.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <stdexcept>

namespace stoatrun::fault_injection {
namespace {

constexpr useconds_t kReapPollIntervalUs = 10'000;

// Runs in the child process; does not return.
[[noreturn]] void Execute(const std::string& program, const RelayProcess::Files& files) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);  // If the harness dies, no relay stays behind on its loopback network.
  const int log = open(files.log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (log >= 0) dup2(log, STDERR_FILENO);
  setenv("PROXY_CONFIG", files.config.c_str(), 1);
  for (const char* name :
       {"PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY", "PROXY_MANAGEMENT", "PROXY_ACCEPT_FD"}) {
    unsetenv(name);
  }
  execl(program.c_str(), program.c_str(), "run", "--operator", files.operator_file.c_str(), nullptr);
  _exit(127);
}

// The sum of utime and stime, fields 14 and 15 of /proc/PID/stat, in clock ticks.
double CpuTicks(pid_t pid) {
  std::ifstream stat(fmt::format("/proc/{}/stat", pid));
  std::string word;
  double ticks = 0;
  for (int position = 1; position <= 15 && stat >> word; ++position) {
    if (position >= 14) ticks += std::stod(word);
  }
  return ticks;
}

double ResidentKib(pid_t pid) {
  std::ifstream status(fmt::format("/proc/{}/status", pid));
  std::string word;
  while (status >> word) {
    if (word == "VmRSS:" && status >> word) return std::stod(word);
  }
  return 0;
}

}  // namespace

void RelayProcess::Start(const std::string& program, const Files& files) {
  const pid_t pid = fork();
  if (pid < 0) throw std::runtime_error("can't start a relay process: fork failed");
  if (pid == 0) Execute(program, files);
  pid_ = pid;
  started_at_ = std::chrono::steady_clock::now();
}

void RelayProcess::Signal(int signal_number) const {
  if (pid_ != 0) kill(pid_, signal_number);
}

bool RelayProcess::ReapIfEnded() {
  if (pid_ == 0 || waitpid(pid_, nullptr, WNOHANG) != pid_) return false;
  pid_ = 0;
  return true;
}

void RelayProcess::KillAndWait() {
  if (pid_ == 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = 0;
}

void RelayProcess::WaitUntil(std::chrono::steady_clock::time_point deadline) {
  while (pid_ != 0 && !ReapIfEnded()) {
    if (std::chrono::steady_clock::now() > deadline) return KillAndWait();
    usleep(kReapPollIntervalUs);
  }
}

RelayProcess::Usage RelayProcess::MeasureUsage() const {
  if (pid_ == 0) return {};
  const std::chrono::duration<double> age = std::chrono::steady_clock::now() - started_at_;
  const double cpu_s = CpuTicks(pid_) / static_cast<double>(sysconf(_SC_CLK_TCK));
  return {cpu_s / std::max(1e-3, age.count()), ResidentKib(pid_)};
}

}  // namespace stoatrun::fault_injection
