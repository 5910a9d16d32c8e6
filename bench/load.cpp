// Load on one relay over loopback: hosts, clients and the relay on one machine. Starts the relay itself and
// prints one JSON object: CPU per set-up, round trips of lines, memory per standing connection.
//
//   stoatrun_load --relay build/stoatrun [--arg A]... [--setups N] [--standing N] [--lines N] [--preload SO]
//
// Bounded: it ends after the counts given, or with exit 1 after --seconds.
#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;

struct Options {
  std::string relay, preload;
  std::vector<std::string> args;
  int setups = 4000, standing = 500, lines = 20000, hosts = 40, seconds = 120, rate = 130;
};

std::int64_t MicrosSince(Clock::time_point t) {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - t).count();
}

int Listen(int& port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof a;
  if (bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0 || listen(fd, 1024) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&a), &size) != 0) {
    throw std::runtime_error("no port to be had");
  }
  port = ntohs(a.sin_port);
  return fd;
}

// One socket of a host or a client.
struct Peer {
  enum class Kind { kListener, kHost, kClient } kind = Kind::kHost;
  int fd = -1;
  std::string in;
  bool up = false, gone = false;
  Clock::time_point asked;
};

class Load {
 public:
  explicit Load(const Options& o) : o_(o), epoll_(epoll_create1(EPOLL_CLOEXEC)), begun_(Clock::now()) {}
  ~Load() {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
    }
    std::filesystem::remove_all(folder_);
  }
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;

  void Run() {
    Start();
    const std::int64_t rss_before = Rss();
    // Set-ups and their ends, 32 at a time.
    const double cpu_before = Cpu();
    int begun = 0, done = 0, busy = 0, again = 0;
    const auto wall = Clock::now();
    while (done < o_.setups) {
      // Paced: hosts take so many set-ups between two of their reports, and a client that is told BUSY comes
      // again later.
      const auto due = static_cast<std::int64_t>(static_cast<double>(MicrosSince(wall)) * o_.rate / 1e6);
      for (; begun + busy - again < due && begun - done < 32 && begun < o_.setups; ++begun) Open(begun);
      for (; again < busy && begun + again < due; ++again) Open(3'000'000 + again);
      Turn([&](Peer& client, std::string_view line) {
        if (line.starts_with("UP")) {
          ++done;
          Close(client);
        } else {
          ++busy;
          Close(client);
        }
      });
    }
    const double set_up_us = (Cpu() - cpu_before) / (o_.setups + busy);
    const double a_second = o_.setups * 1e6 / static_cast<double>(MicrosSince(wall));
    // Connections that stand, and lines on them one after another.
    int standing = 0, opened = 0;
    while (standing < o_.standing) {
      while (opened - standing < 32 && opened < o_.standing) Open(1'000'000 + opened++);
      Turn([&](Peer& client, std::string_view line) {
        if (!line.starts_with("UP")) {
          Close(client);
          Open(2'000'000 + ++busy);
          return;
        }
        client.up = true;
        ++standing;
      });
    }
    const std::int64_t rss_after = Rss();
    std::vector<std::int64_t> trips;
    std::vector<Peer*> clients;
    for (auto& p : peers_) {
      if (p && p->kind == Peer::Kind::kClient && p->up && !p->gone) clients.push_back(p.get());
    }
    const double line_cpu = Cpu();
    for (int k = 0; k < o_.lines; ++k) {
      Peer& c = *clients[static_cast<std::size_t>(k) % clients.size()];
      c.asked = Clock::now();
      Send(c, "M 1 tick\r\n");
      bool back = false;
      while (!back) {
        Turn([&](Peer& client, std::string_view /*line*/) {
          if (&client != &c) return;
          back = true;
          trips.push_back(MicrosSince(c.asked));
        });
      }
    }
    std::sort(trips.begin(), trips.end());
    const auto at = [&](double part) {
      return trips[static_cast<std::size_t>(part * static_cast<double>(trips.size() - 1))];
    };
    std::cout << fmt::format(R"({{"answer_cpu_us":{:.2f},"set_ups_a_second":{:.0f},"declined":{},)"
                             R"("trip_p50_us":{},"trip_p99_us":{},)"
                             R"("line_cpu_us":{:.2f},"standing_kb_each":{:.2f},"rss_kb":{}}})"
                             "\n",
                             set_up_us, a_second, busy, at(0.5), at(0.99), (Cpu() - line_cpu) / o_.lines,
                             static_cast<double>(rss_after - rss_before) / o_.standing, rss_after);
  }

 private:
  Peer& Add(Peer::Kind kind, int fd) {
    if (static_cast<std::size_t>(fd) >= peers_.size()) peers_.resize(static_cast<std::size_t>(fd) + 1);
    auto& place = peers_[static_cast<std::size_t>(fd)];
    place = std::make_unique<Peer>();
    place->kind = kind;
    place->fd = fd;
    epoll_event e{};
    e.events = EPOLLIN;
    e.data.fd = fd;
    epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &e);
    return *place;
  }
  static void Send(Peer& p, std::string_view text) {
    if (send(p.fd, text.data(), text.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(text.size())) {
      throw std::runtime_error("a short write on loopback");
    }
  }
  static void Close(Peer& p) { p.gone = true; }  // Closed at the end of the turn.

  void Open(int number) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    a.sin_port = htons(static_cast<std::uint16_t>(relay_port_));
    if (connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0)
      throw std::runtime_error("the relay refuses");
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    fcntl(fd, F_SETFL, O_NONBLOCK);
    Send(Add(Peer::Kind::kClient, fd),
         fmt::format("OPEN {:016x} key c=chat,t={},d=5000\r\n", number, number % 3 == 0 ? "acme" : "beta"));
  }

  template <typename F>
  void Turn(F&& on_line) {
    if (MicrosSince(begun_) > std::int64_t{o_.seconds} * 1'000'000)
      throw std::runtime_error("it took too long");
    std::array<epoll_event, 256> events{};
    const int n = epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), 2);
    for (int k = 0; k < n; ++k) {
      const int fd = events[static_cast<std::size_t>(k)].data.fd;
      Peer& p = *peers_[static_cast<std::size_t>(fd)];
      if (p.kind == Peer::Kind::kListener) {
        for (int fresh = 0; (fresh = accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;) {
          const int on = 1;
          setsockopt(fresh, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
          Add(Peer::Kind::kHost, fresh);
        }
        continue;
      }
      std::array<char, 8192> buffer{};
      const ssize_t size = recv(fd, buffer.data(), buffer.size(), 0);
      if (size <= 0) {
        if (size == 0 || errno != EAGAIN) Close(p);
      } else {
        p.in.append(buffer.data(), static_cast<std::size_t>(size));
      }
      for (std::size_t end = 0; !p.gone && (end = p.in.find("\r\n")) != std::string::npos;) {
        const std::string line = p.in.substr(0, end);
        p.in.erase(0, end + 2);
        if (p.kind == Peer::Kind::kClient) {
          on_line(p, line);
        } else if (line == "STATS") {
          Send(p, "PONG inflight=1,x0=0.1\r\n");
        } else if (line.starts_with("OPEN")) {
          Send(p, "UP r1\r\n");
        } else {
          Send(p, line + "\r\n");
        }
      }
      if (p.gone) {
        close(p.fd);
        peers_[static_cast<std::size_t>(fd)].reset();
      }
    }
  }

  void Start() {
    std::string name = std::filesystem::temp_directory_path() / "stoatrun-load-XXXXXX";
    folder_ = mkdtemp(name.data());
    std::string members;
    for (int k = 0; k < o_.hosts; ++k) {
      int port = 0;
      Add(Peer::Kind::kListener, Listen(port));
      members += fmt::format(
          R"({}{{"id":"h{}","host_port":"127.0.0.1:{}","locality":"z","phase":"ready","size":64}})",
          k == 0 ? "" : ",", k, port);
    }
    int port = 0;
    close(Listen(port));
    relay_port_ = port;
    std::ofstream(folder_ + "/config.json") << fmt::format(
        R"({{"name":"n0","listen":"127.0.0.1:{}","discovery":"127.0.0.1:9","seed":"7",)"
        R"("known":{{"revision":1,"complete":true,"members":[{}]}},)"
        R"("settings":{{"balancers":1,"azs":["z"],"discovery":"subscribe","classes":[{{"name":"chat",)"
        R"("effect":"idempotent","group":"all","target":500000,"hardLimit":5000000}}],)"
        R"("accounts":[{{"name":"acme"}},{{"name":"beta"}}],)"
        R"("familyInfo":{{"messageAim":[50000],"tenantQuotaConnections":[100,100]}},)"
        R"("stats":{{"how":"on_probe","fields":["outstanding","x0"]}},)"
        R"("limits":{{"probes":true,"cancel":true,"sendCap":5,"connectTimeout":250000}}}}}})",
        port, members);
    pid_ = fork();
    if (pid_ == 0) {
      setenv("PROXY_CONFIG", (folder_ + "/config.json").c_str(), 1);
      setenv("STOATRUN_LOG", "error", 1);
      if (!o_.preload.empty()) setenv("LD_PRELOAD", o_.preload.c_str(), 1);
      std::vector<char*> argv{const_cast<char*>(o_.relay.c_str())};
      for (const std::string& a : o_.args) argv.push_back(const_cast<char*>(a.c_str()));
      argv.push_back(nullptr);
      execv(o_.relay.c_str(), argv.data());
      _exit(127);
    }
    for (int tries = 0; tries < 500; ++tries) {
      const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      sockaddr_in a{};
      a.sin_family = AF_INET;
      a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
      a.sin_port = htons(static_cast<std::uint16_t>(port));
      const bool there = connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) == 0;
      close(fd);
      if (there) return;
      usleep(10'000);
    }
    throw std::runtime_error("the relay does not start");
  }

  // Of the relay, all its threads, in microseconds.
  double Cpu() const {
    std::ifstream in(fmt::format("/proc/{}/stat", pid_));
    std::string text;
    std::getline(in, text);
    double sum = 0;
    for (const auto& task : std::filesystem::directory_iterator(fmt::format("/proc/{}/task", pid_))) {
      std::ifstream stat(task.path() / "schedstat");
      double ns = 0;
      stat >> ns;
      sum += ns / 1e3;
    }
    return sum;
  }
  std::int64_t Rss() const {
    std::ifstream in(fmt::format("/proc/{}/status", pid_));
    for (std::string line; std::getline(in, line);) {
      if (line.starts_with("VmRSS:")) return std::stoll(line.substr(6));
    }
    return 0;
  }

  const Options& o_;
  const int epoll_;
  const Clock::time_point begun_;
  std::string folder_;
  int relay_port_ = 0;
  pid_t pid_ = -1;
  std::vector<std::unique_ptr<Peer>> peers_;  // By descriptor.
};

}  // namespace

int main(int argc, char** argv) {
  Options o;
  CLI::App app("Load on one relay over loopback", "stoatrun_load");
  app.add_option("--relay", o.relay, "the program")->required();
  app.add_option("--arg", o.args, "an argument of the program");
  app.add_option("--preload", o.preload, "a shared object for the program");
  app.add_option("--setups", o.setups);
  app.add_option("--standing", o.standing);
  app.add_option("--rate", o.rate, "set-ups a second");
  app.add_option("--lines", o.lines);
  app.add_option("--seconds", o.seconds, "give up after these");
  CLI11_PARSE(app, argc, argv);
  rlimit files{};
  if (getrlimit(RLIMIT_NOFILE, &files) == 0) {
    files.rlim_cur = files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &files);
  }
  std::signal(SIGPIPE, SIG_IGN);
  try {
    Load(o).Run();
    return 0;
  } catch (const std::exception& e) {
    std::cerr << "stoatrun_load: " << e.what() << '\n';
    return 1;
  }
}
