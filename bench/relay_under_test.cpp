#include "relay_under_test.h"

#include <fmt/format.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstddef>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <string_view>

#include "load_sockets.h"

namespace stoatrun::bench {
namespace {

constexpr int kMaxStartPolls = 500;
constexpr useconds_t kStartPollInterval = 10'000;  // Microseconds.

}  // namespace

RelayUnderTest::RelayUnderTest() {
  std::string name = std::filesystem::temp_directory_path() / "stoatrun-load-XXXXXX";
  directory_ = mkdtemp(name.data());
}

RelayUnderTest::~RelayUnderTest() {
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  std::filesystem::remove_all(directory_);
}

void RelayUnderTest::Start(const RelayCommand& command, const std::vector<int>& server_ports) {
  const Listener free_port = ListenOnFreePort();
  close(free_port.fd);
  port_ = free_port.port;
  WriteConfig(server_ports);
  pid_ = fork();
  if (pid_ == 0) Execute(command);
  for (int poll = 0; poll < kMaxStartPolls; ++poll) {
    if (const int fd = ConnectTo(port_); fd >= 0) {
      close(fd);
      return;
    }
    usleep(kStartPollInterval);
  }
  throw std::runtime_error("the relay did not accept connections within 5 s");
}

double RelayUnderTest::CpuMicros() const {
  double sum_us = 0;
  for (const auto& task : std::filesystem::directory_iterator(fmt::format("/proc/{}/task", pid_))) {
    std::ifstream stat(task.path() / "schedstat");
    double time_ns = 0;
    stat >> time_ns;
    sum_us += time_ns / 1e3;
  }
  return sum_us;
}

std::int64_t RelayUnderTest::ResidentKib() const {
  constexpr std::string_view kField = "VmRSS:";
  std::ifstream status(fmt::format("/proc/{}/status", pid_));
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(kField)) return std::stoll(line.substr(kField.size()));
  }
  return 0;
}

void RelayUnderTest::WriteConfig(const std::vector<int>& server_ports) const {
  std::string members;
  for (std::size_t k = 0; k < server_ports.size(); ++k) {
    members +=
        fmt::format(R"({}{{"id":"h{}","host_port":"127.0.0.1:{}","locality":"z","phase":"ready","size":64}})",
                    k == 0 ? "" : ",", k, server_ports[k]);
  }
  std::ofstream(ConfigPath()) << fmt::format(
      R"({{"name":"n0","listen":"127.0.0.1:{}","discovery":"127.0.0.1:9","seed":"7",)"
      R"("known":{{"revision":1,"complete":true,"members":[{}]}},)"
      R"("settings":{{"balancers":1,"azs":["z"],"discovery":"subscribe","classes":[{{"name":"chat",)"
      R"("effect":"idempotent","group":"all","target":500000,"hardLimit":5000000}}],)"
      R"("accounts":[{{"name":"acme"}},{{"name":"beta"}}],)"
      R"("familyInfo":{{"messageAim":[50000],"tenantQuotaConnections":[100,100]}},)"
      R"("stats":{{"how":"on_probe","fields":["outstanding","x0"]}},)"
      R"("limits":{{"probes":true,"cancel":true,"sendCap":5,"connectTimeout":250000}}}}}})",
      port_, members);
}

void RelayUnderTest::Execute(const RelayCommand& command) const {
  setenv("PROXY_CONFIG", ConfigPath().c_str(), 1);
  setenv("STOATRUN_LOG", "error", 1);
  if (!command.preload.empty()) setenv("LD_PRELOAD", command.preload.c_str(), 1);
  std::vector<char*> argv{const_cast<char*>(command.program.c_str())};
  for (const std::string& arg : command.args) argv.push_back(const_cast<char*>(arg.c_str()));
  argv.push_back(nullptr);
  execv(command.program.c_str(), argv.data());
  _exit(127);
}

}  // namespace stoatrun::bench
