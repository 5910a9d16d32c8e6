#include "process_fleet.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <fmt/ostream.h>
#include <simdjson.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cmath>
#include <csignal>
#include <deque>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <stdexcept>
#include <utility>
#include <vector>

#include "event_poller.h"

namespace stoatrun::fault_injection {
namespace {

using simulation::IndexOf;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kClients = 8000, kManagement = 8100, kDatagrams = 8700, kServers = 9000, kDiscovery = 8500,
              kLock = 8699;
constexpr int kFirstNet = 20, kNets = 200;
constexpr std::int64_t kSlackUs = 400'000;  // Between what happens in a relay and what is seen of it here.
constexpr std::int64_t kEvidenceUs = 6'600'000, kOwnUs = 4'500'000, kHearsayUs = 2'600'000;
constexpr std::int64_t kColdUs = 9'000'000;
constexpr std::size_t kGroups = 2;
constexpr Micros kRecent = milliseconds(150);
constexpr auto kEndWait = seconds(5);

std::int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

class Rig {
 public:
  Rig(const simulation::Schedule& schedule, const RigSetup& setup, std::ostream& history)
      : schedule_(schedule), setup_(setup), history_(history), random_(schedule.seed) {
    TakeNet();
    if (schedule.relays > 250 || schedule.servers > 100)
      throw std::runtime_error("at most 250 relays and 100 servers");
  }

  RigFigures Run() {
    Begin();
    for (const simulation::Step& step : schedule_.steps) poller_.After(step.at, [this, &step] { Do(step); });
    poller_.After(schedule_.length, [this] { poller_.Stop(); });
    poller_.Run();
    Weigh();
    End();
    figures_.seconds = static_cast<double>(schedule_.length.count()) / 1e6;
    return figures_;
  }

 private:
  struct Connection {
    std::string id;
    std::shared_ptr<Lines> lines;
    std::string group;
    bool sent = false, up = false, answered = false, over = false;
  };
  struct Leg {
    std::shared_ptr<Lines> lines;
    std::string group;  // Of the connection that stands, once it was brought up.
    bool counted = false, over = false;
  };
  struct Relay {
    std::size_t k = 0;
    std::string name;
    pid_t pid = 0;
    pid_t twin = 0;
    bool paused = false, lies = false, removed = false;
    std::uint64_t run = 0;
    Micros started_at{0};
    bool bad_link = false;
    double busy = 1;
    std::deque<Micros> changed;     // When its clients last came or went.
    std::unique_ptr<Watched> in;    // The datagrams that others send to it.
    std::vector<std::string> kept;  // Some of those, to be sent again.
    std::shared_ptr<Lines> watch;   // On discovery.
    std::vector<std::shared_ptr<Connection>> connections;
    std::vector<std::shared_ptr<Lines>> asks;
    std::string answer;
    std::vector<std::unique_ptr<Watched>> listeners;
  };
  struct Server {
    std::string name;
    bool bad = false;
    std::int64_t start_ms = 0;
  };

  std::string Ip(int third, std::size_t last) const {
    return fmt::format("127.{}.{}.{}", octet_, third, last + 1);
  }
  int ServerNet(std::size_t s) const { return 10 + static_cast<int>(s); }

  template <typename... Args>
  void Tell(fmt::format_string<Args...> form, Args&&... args) {
    const std::int64_t now = std::max(last_us_, poller_.Now().count());
    last_us_ = now;
    fmt::print(history_, R"({{"t":{},)", now);
    fmt::print(history_, form, std::forward<Args>(args)...);
    history_ << '\n';
  }

  double Unit() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  Micros Wait(double a_second) {
    return Micros(static_cast<std::int64_t>(-std::log(1 - Unit()) / std::max(a_second, 0.01) * 1e6) + 1);
  }

  static std::string Group(std::size_t g) { return "group-" + std::to_string(g); }

  // Several rigs may run at once: each has a net of its own, and holds it by a socket that nobody else can
  // bind.
  void TakeNet() {
    for (int k = 0; k < kNets; ++k) {
      octet_ =
          kFirstNet +
          static_cast<int>((static_cast<std::uint64_t>(getpid()) + static_cast<std::uint64_t>(k)) % kNets);
      const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
      const sockaddr_in a = At(Ip(0, 0), kLock);
      if (fd >= 0 && bind(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) == 0) {
        net_ = std::make_unique<Watched>(poller_, fd, [] {});
        return;
      }
      if (fd >= 0) close(fd);
    }
    throw std::runtime_error("no net of loopback addresses is free");
  }

  // ---- start and end ----

  void Begin() {
    std::string names, budgets;
    for (std::size_t k = 0; k < schedule_.relays; ++k) names += fmt::format("{}\"n{}\"", k > 0 ? "," : "", k);
    for (std::size_t g = 0; g < kGroups; ++g)
      budgets += fmt::format(R"({{"name":"connections:{}","units":{},"window_us":0}},)", Group(g),
                             setup_.group_units);
    budgets += fmt::format(R"({{"name":"cold:","units":{},"window_us":1000000}},)", setup_.cold_units);
    budgets += fmt::format(R"({{"name":"attempts","units":{},"window_us":1000000}})", setup_.attempt_units);
    Tell(R"("e":"fleet","relays":[{}],"budgets":[{}],"slack_us":{},"avoid_part":0.3,"evidence_us":{},)"
         R"("own_us":{},)"
         R"("hearsay_us":{},"witnesses":2}})",
         names, budgets, kSlackUs, kEvidenceUs, kOwnUs, kHearsayUs);
    for (std::size_t s = 0; s < schedule_.servers; ++s)
      servers_.push_back({"s" + std::to_string(s), false, 0});
    for (std::size_t k = 0; k < schedule_.relays; ++k) {
      relays_.push_back(std::make_unique<Relay>());
      Relay& r = *relays_.back();
      r.k = k;
      r.name = "n" + std::to_string(k);
      OpenSwitch(r);
      OpenDiscovery(r);
      for (std::size_t s = 0; s < servers_.size(); ++s) OpenServer(r, s);
    }
    for (auto& r : relays_) {
      WriteFiles(*r);
      Start(*r);
      poller_.After(milliseconds(700), [this, &r = *r] { Clients(r); });
      poller_.After(milliseconds(900), [this, &r = *r] { Ask(r); });
    }
    poller_.After(milliseconds(20), [this] { Heartbeat(); });
  }

  // What the kernel says of the processes: utime and stime are the 14th and 15th words of stat, in ticks.
  void Weigh() {
    std::size_t n = 0;
    for (const auto& r : relays_) {
      if (r->pid == 0) continue;
      std::ifstream stat(fmt::format("/proc/{}/stat", r->pid)),
          status(fmt::format("/proc/{}/status", r->pid));
      std::string word;
      double ticks = 0;
      for (int k = 1; k <= 15 && stat >> word; ++k) ticks += k >= 14 ? std::stod(word) : 0;
      while (status >> word) {
        if (word == "VmRSS:" && status >> word) figures_.resident_kib += std::stod(word);
      }
      figures_.cpu += ticks / static_cast<double>(sysconf(_SC_CLK_TCK)) /
                      std::max(1e-3, std::chrono::duration<double>(poller_.Now() - r->started_at).count());
      ++n;
    }
    if (n == 0) return;
    figures_.cpu /= static_cast<double>(n);
    figures_.resident_kib /= static_cast<double>(n);
  }

  void End() {
    for (const auto& clear : std::exchange(graveyard_, {})) clear();
    for (const auto& attempt : legs_) attempt->lines.reset();
    for (auto& r : relays_) {
      for (const auto& c : r->connections) c->lines.reset();
      if (r->pid == 0) continue;
      kill(r->pid, SIGCONT);
      kill(r->pid, SIGTERM);
      if (r->twin != 0) kill(r->twin, SIGKILL);
    }
    const auto until = std::chrono::steady_clock::now() + kEndWait;
    for (auto& r : relays_) {
      while (r->pid != 0 && waitpid(r->pid, nullptr, WNOHANG) == 0) {
        if (std::chrono::steady_clock::now() > until) {
          kill(r->pid, SIGKILL);
          waitpid(r->pid, nullptr, 0);
          break;
        }
        usleep(10'000);
      }
      if (r->twin != 0) waitpid(r->twin, nullptr, 0);
    }
  }

  std::string Config(const Relay& r, const std::string& listen_ip, const std::string& management) const {
    std::string members;
    for (std::size_t s = 0; s < servers_.size(); ++s) members += (s > 0 ? "," : "") + Member(r, s, "ready");
    std::string accounts, quotas;
    for (std::size_t g = 0; g < kGroups; ++g) {
      accounts += fmt::format(R"({}{{"name":"{}"}})", g > 0 ? "," : "", Group(g));
      quotas += fmt::format("{}{}", g > 0 ? "," : "", setup_.group_units);
    }
    return fmt::format(
        R"({{"name":"{}","listen":"{}:{}","discovery":"{}:{}","seed":"{:016x}","management":"{}",)"
        R"("limits":{{"cores":1.0,"memory_mb":192,"sockets":2048}},)"
        R"("known":{{"revision":1,"complete":true,"members":[{}]}},)"
        R"("settings":{{"balancers":{},"zone":0,"azs":["here"],"discovery":"subscribe","accounts":[{}],)"
        R"("classes":[{{"name":"chat","effect":"idempotent","group":"all","target":500000,)"
        R"("hardLimit":2000000}}],)"
        R"("familyInfo":{{"messageAim":[50000],"tenantQuotaConnections":[{}]}},)"
        R"("stats":{{"how":"on_probe","fields":["outstanding","errors_per_s","x0"]}},)"
        R"("limits":{{"probes":true,"cancel":true,"sendCap":5,"connectTimeout":250000,"idleClose":10000000,)"
        R"("retryAfter":true,"maxRetryAfter":2000000}},)"
        R"("invariants":{{"askWithin":10000000,"cold":{},"coldFrom":0.32,"fall":1000000,"fallMultiple":3.0,)"
        R"("stopSendingWithin":250000}}}}}})",
        r.name, listen_ip, kClients, Ip(3, r.k), kDiscovery, schedule_.seed + r.k + 1, management, members,
        schedule_.relays, accounts, quotas, kColdUs);
  }

  std::string OperatorFile(const Relay& r, const std::string& own_ip) const {
    if (!setup_.fleet) return "";
    std::string text = fmt::format("fleet {{\n  name: \"rig\"\n  places: {}\n", schedule_.relays);
    for (const auto& p : relays_) {
      if (p->removed && p->k != r.k) continue;
      text += fmt::format("  peer {{ place: {} name: \"{}\" address: \"{}:{}\"", p->k, p->name, Ip(2, p->k),
                          kDatagrams);
      if (p->k == r.k) text += fmt::format(" listen: \"{}:{}\"", own_ip, kDatagrams);
      text += " }\n";
    }
    text +=
        fmt::format("  budget {{ kind: COLD_SENDS units: {} }}\n  budget {{ kind: ATTEMPTS units: {} }}\n",
                    setup_.cold_units, setup_.attempt_units);
    return text + "  quotas: true\n  most_taken_per_s: 100\n  most_open: 1000\n}\n";
  }

  std::string Path(const Relay& r, const char* what) const {
    return fmt::format("{}/{}.{}", setup_.folder, r.name, what);
  }

  static void Write(const std::string& path, const std::string& text) {
    std::ofstream out(path, std::ios::trunc);
    if (!(out << text) || !out.flush()) throw std::runtime_error(path + ": can't be written");
  }

  void WriteFiles(const Relay& r) const {
    Write(Path(r, "json"), Config(r, Ip(1, r.k), fmt::format("{}:{}", Ip(1, r.k), kManagement)));
    Write(Path(r, "txtpb"), OperatorFile(r, Ip(1, r.k)));
  }

  pid_t Spawn(const std::string& config, const std::string& operator_file, const std::string& log) const {
    const pid_t pid = fork();
    if (pid < 0) throw std::runtime_error("fork failed");
    if (pid > 0) return pid;
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // However the rig ends, no relay goes on on its net.
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (out >= 0) dup2(out, 2);
    setenv("PROXY_CONFIG", config.c_str(), 1);
    for (const char* name :
         {"PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY", "PROXY_MANAGEMENT", "PROXY_ACCEPT_FD"}) {
      unsetenv(name);
    }
    execl(setup_.program.c_str(), setup_.program.c_str(), "run", "--operator", operator_file.c_str(),
          nullptr);
    _exit(127);
  }

  void Start(Relay& r) {
    if (r.pid != 0) return;
    ++r.run;
    r.paused = false;
    r.started_at = poller_.Now();
    r.pid = Spawn(Path(r, "json"), Path(r, "txtpb"), Path(r, "log"));
    Tell(R"("e":"up","r":"{}"}})", r.name);
  }

  // What its clients were still waiting for it may have taken or not, and what just changed it may not have
  // seen.
  void Unsure(Relay& r) {
    auto unsure = std::count_if(r.connections.begin(), r.connections.end(),
                                [](const auto& c) { return c->sent && !c->over && !c->answered; });
    for (const Micros at : r.changed) unsure += at > poller_.Now() - kRecent ? 1 : 0;
    if (unsure > 0) Tell(R"("e":"maybe","r":"{}","n":{}}})", r.name, unsure);
  }

  void Down(Relay& r) {
    Unsure(r);
    Tell(R"("e":"down","r":"{}"}})", r.name);
    for (auto& c : r.connections) {
      c->over = true;  // What still waits to be done with it finds that.
      Bury(c);
    }
    r.connections.clear();
    r.pid = 0;
    r.watch.reset();
    r.asks.clear();
  }

  void Kill(Relay& r) {
    if (r.pid == 0) return;
    // What was on its way to the front when it died is seen as it was.
    kill(r.pid, SIGKILL);
    waitpid(r.pid, nullptr, 0);
    Down(r);
  }

  // A process that ended by itself is a crash.
  void Heartbeat() {
    for (auto& r : relays_) {
      if (r->pid != 0 && waitpid(r->pid, nullptr, WNOHANG) == r->pid) {
        ++figures_.crashed;
        Tell(R"("e":"note","what":"{} ended by itself"}})", r->name);
        Down(*r);
      }
    }
    for (const auto& clear : std::exchange(graveyard_, {})) clear();
    poller_.After(milliseconds(20), [this] { Heartbeat(); });
  }

  // Ends what holds sockets at the next heartbeat: it may be further up the stack now. Its callbacks hold it.
  template <typename T>
  void Bury(const std::shared_ptr<T>& what) {
    graveyard_.emplace_back([what] { what->lines.reset(); });
  }
  void Bury(const std::shared_ptr<Lines>& lines) {
    graveyard_.emplace_back([lines] { lines->Close(); });
  }

  // ---- datagrams ----

  void OpenSwitch(Relay& r) {
    const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in a = At(Ip(2, r.k), kDatagrams);
    if (fd < 0 || bind(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0)
      throw std::runtime_error("switch: bind");
    r.in = std::make_unique<Watched>(poller_, fd, [this, &r] { Switch(r); });
  }

  void Switch(Relay& to) {
    std::array<char, 2048> buffer;
    while (true) {
      sockaddr_in from{};
      socklen_t size = sizeof from;
      const ssize_t n =
          recvfrom(to.in->Fd(), buffer.data(), buffer.size(), 0, reinterpret_cast<sockaddr*>(&from), &size);
      if (n < 0) return;
      const std::size_t k = (ntohl(from.sin_addr.s_addr) & 0xff) - 1;
      if (k >= relays_.size()) continue;
      Pass(*relays_[k], to, std::string(buffer.data(), static_cast<std::size_t>(n)));
    }
  }

  void Pass(Relay& from, Relay& to, const std::string& bytes) {
    ++figures_.datagrams;
    figures_.bytes += bytes.size();
    if (to.kept.size() < 64) to.kept.push_back(bytes);
    const int copies = Unit() * 100 < double_ ? 2 : 1;
    for (int c = 0; c < copies; ++c) {
      if (Unit() * 100 < loss_) continue;
      std::string copy = bytes;
      if (Unit() * 100 < corrupt_ && !copy.empty())
        copy[static_cast<std::size_t>(Unit() * copy.size())] ^= 0x55;
      const Micros way =
          delay_from_ +
          Micros(static_cast<std::int64_t>(Unit() * static_cast<double>((delay_to_ - delay_from_).count())));
      const std::uint64_t run = from.run;
      const auto arrive = [this, &from, &to, run, copy] { Arrive(from, to, run, copy); };
      if (way.count() == 0) {
        arrive();
      } else {
        poller_.After(way, arrive);
      }
    }
  }

  void Arrive(Relay& from, Relay& to, std::uint64_t run, const std::string& bytes) {
    if (cuts_.contains({from.k, to.k}) || (!side_.empty() && side_.contains(from.k) != side_.contains(to.k)))
      return;
    if (to.pid == 0) return;
    // As if it came from the address that the receiver's file gives for the sender.
    const auto send = [&](const sockaddr_in& a) {
      sendto(from.in->Fd(), bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&a), sizeof a);
    };
    send(At(Ip(1, to.k), kDatagrams));
    if (to.twin != 0) send(At(Ip(4, to.k), kDatagrams));
    if (from.pid != 0 && from.run == run && !to.paused && corrupt_ == 0 &&
        told_.insert({from.k, from.run, to.k, to.run}).second) {
      Tell(R"("e":"told","r":"{}","by":"{}"}})", to.name, from.name);
    }
  }

  // Datagrams that no peer sent: noise, half ones, ones of another schema or fleet, and old ones again.
  void Garbage(Relay& to, std::size_t n) {
    for (std::size_t k = 0; k < n; ++k) {
      Relay& as = *relays_[static_cast<std::size_t>(Unit() * static_cast<double>(relays_.size()))];
      std::string bytes;
      if (k % 2 == 0 || to.kept.empty()) {
        bytes.resize(static_cast<std::size_t>(Unit() * 1300));
        for (char& c : bytes) c = static_cast<char>(random_());
      } else {
        bytes = to.kept[static_cast<std::size_t>(Unit() * static_cast<double>(to.kept.size()))];
        if (k % 8 == 1) bytes.resize(bytes.size() / 2);
        if (k % 8 == 3 && bytes.size() > 2) bytes[2] = 0;
        if (k % 8 == 5 && bytes.size() > 20) bytes[20] ^= 1;
      }
      const sockaddr_in a = At(Ip(1, to.k), kDatagrams);
      sendto(as.in->Fd(), bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&a), sizeof a);
    }
  }

  // ---- servers ----

  bool Cold(const Server& s) const { return s.start_ms > 0 && UnixMs() * 1000 < s.start_ms * 1000 + kColdUs; }

  void OpenServer(Relay& r, std::size_t s) {
    const int fd = Listen(Ip(ServerNet(s), r.k), kServers);
    r.listeners.push_back(std::make_unique<Watched>(poller_, fd, [this, &r, s, fd] {
      for (int c = accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC); c >= 0;
           c = accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) {
        auto attempt = std::make_shared<Leg>();
        legs_.push_back(attempt);
        attempt->lines = std::make_shared<Lines>(
            poller_, c,
            [this, &r, s, attempt](std::string_view line) { Serve(r, servers_[s], attempt, line); },
            [this, &r, attempt] { AttemptOver(r, attempt); });
      }
    }));
  }

  void AttemptOver(Relay& r, const std::shared_ptr<Leg>& attempt) {
    if (attempt->over) return;
    attempt->over = true;
    // A run that has ended held nothing any more.
    if (attempt->counted && r.pid != 0)
      Tell(R"("e":"release","r":"{}","b":"connections:{}"}})", r.name, attempt->group);
    attempt->lines->Close();
    Bury(attempt);
    std::erase(legs_, attempt);
    owner_.erase(attempt.get());
  }

  // Legs that their relay has ended already, though this was not read yet: what comes after it must be seen
  // after it.
  void SweepLegs() {
    for (const auto& attempt : std::vector(legs_)) {
      if (attempt->counted && attempt->lines->PeerGone()) AttemptOver(*owner_[attempt.get()], attempt);
    }
  }

  void Serve(Relay& r, Server& s, const std::shared_ptr<Leg>& attempt, std::string_view line) {
    if (line == "PING") return attempt->lines->Send("PONG\r\n");
    if (line == "STATS") {
      const auto held = std::count_if(legs_.begin(), legs_.end(), [](const auto& l) { return l->counted; });
      return attempt->lines->Send(fmt::format("PONG outstanding={},errors_per_s=0,x0={:.2f}\r\n", held,
                                              static_cast<double>(held) / 400.0));
    }
    if (!line.starts_with("OPEN ")) return attempt->lines->Send(fmt::format("{}\r\n", line));
    const std::string id(line.substr(5, line.find(' ', 5) - 5));
    if (Cold(s)) Tell(R"("e":"spend","r":"{}","b":"cold:{}"}})", r.name, s.name);
    if (!tried_.insert(id).second) Tell(R"("e":"spend","r":"{}","b":"attempts"}})", r.name);
    // A relay with a bad link meets errors everywhere; one that is made a false witness, at some servers
    // alone.
    const bool to_it = r.bad_link || (r.lies && IndexOf(s.name) % 3 == 0);
    if (s.bad || to_it) {
      Tell(R"("e":"saw","r":"{}","s":"{}","v":"failing"}})", r.name, s.name);
      return attempt->lines->Send("ERR\r\n");
    }
    Tell(R"("e":"saw","r":"{}","s":"{}","v":"fine"}})", r.name, s.name);
    const std::size_t t = line.find(",t=");
    if (t != std::string_view::npos) {
      attempt->group = std::string(line.substr(t + 3, line.find_first_of(", ", t + 3) - t - 3));
      owner_[attempt.get()] = &r;
      SweepLegs();
      attempt->counted = true;
      Tell(R"("e":"hold","r":"{}","b":"connections:{}"}})", r.name, attempt->group);
    }
    attempt->lines->Send(fmt::format("UP {}\r\n", id));
  }

  // ---- discovery ----

  std::string Member(const Relay& r, std::size_t s, const char* phase) const {
    return fmt::format(
        R"({{"id":"{}","host_port":"{}:{}","locality":"here","flavor":"x","cell":0,"phase":"{}",)"
        R"("size":1.0,"up_since_ms":{}}})",
        servers_[s].name, Ip(ServerNet(s), r.k), kServers, phase, servers_[s].start_ms);
  }

  void OpenDiscovery(Relay& r) {
    const int fd = Listen(Ip(3, r.k), kDiscovery);
    r.listeners.push_back(std::make_unique<Watched>(poller_, fd, [this, &r, fd] {
      const int c = accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (c < 0) return;
      if (r.watch) Bury(r.watch);
      r.watch = std::make_shared<Lines>(
          poller_, c,
          [this, &r](std::string_view line) {
            if (!line.empty() || !r.watch) return;
            r.watch->Send(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
            std::vector<std::size_t> all;
            for (std::size_t s = 0; s < servers_.size(); ++s) all.push_back(s);
            Push(r, all, true);
          },
          [] {});
    }));
    Pulse(r);
  }

  void Chunk(Relay& r, const std::string& text) {
    if (r.watch) r.watch->Send(fmt::format("{:x}\r\n{}\r\n", text.size(), text));
  }
  void Push(Relay& r, const std::vector<std::size_t>& servers, bool whole) {
    std::string members;
    for (const std::size_t s : servers) members += (members.empty() ? "" : ",") + Member(r, s, "ready");
    Chunk(r, fmt::format(R"({{"revision":{},"complete":{},"members":[{}]}})", ++revision_, whole, members) +
                 "\n");
  }
  void Pulse(Relay& r) {
    Chunk(r, "\n");
    poller_.After(seconds(2), [this, &r] { Pulse(r); });
  }

  // ---- clients ----

  void Clients(Relay& r) {
    const double rate = setup_.connections * r.busy;
    poller_.After(Wait(rate), [this, &r] {
      if (r.pid != 0 && !r.paused) Client(r);
      Clients(r);
    });
  }

  void Client(Relay& r) {
    const int fd = Lines::Connect(Ip(1, r.k), kClients);
    if (fd < 0) return;
    auto c = std::make_shared<Connection>();
    c->id = fmt::format("c{}", ++next_id_);
    const auto g = static_cast<std::size_t>(Unit() * (kGroups + 1));
    if (g < kGroups) c->group = Group(g);
    c->lines = std::make_shared<Lines>(
        poller_, fd, [this, &r, c](std::string_view line) { Answered(r, c, line); },
        [this, &r, c] { ClientOver(r, c); });
    r.connections.push_back(c);
    // The connection may not be up yet; on loopback it is within this turn or refused.
    poller_.After(milliseconds(1), [this, &r, c, run = r.run] {
      if (c->over || r.run != run || r.paused) return;
      c->sent = true;
      ++figures_.connections;
      Changed(r);
      Tell(R"("e":"take","r":"{}"}})", r.name);
      c->lines->Send(
          fmt::format("OPEN {} k c=chat{},d=2000\r\n", c->id, c->group.empty() ? "" : ",t=" + c->group));
    });
  }

  void Changed(Relay& r) {
    r.changed.push_back(poller_.Now());
    if (r.changed.size() > 64) r.changed.pop_front();
  }

  void Ended(Relay& r, Connection& c, const char* how) {
    c.over = true;
    Changed(r);
    Tell(R"("e":"end","r":"{}","how":"{}"}})", r.name, how);
    ++(std::string_view(how) == "served"    ? figures_.served
       : std::string_view(how) == "refused" ? figures_.refused
                                            : figures_.failed);
  }

  void Answered(Relay& r, const std::shared_ptr<Connection>& c, std::string_view line) {
    if (c->over || c->up) return;
    if (line.starts_with("UP ")) {
      c->up = c->answered = true;
      const std::uint64_t run = r.run;
      poller_.After(milliseconds(300 + static_cast<int>(Unit() * 5000)),
                    [this, &r, c, run] { Leave(r, c, run); });
      return;
    }
    Ended(r, *c, line.starts_with("BUSY") ? "refused" : "failed");
    Drop(r, c);
  }

  void Leave(Relay& r, const std::shared_ptr<Connection>& c, std::uint64_t run) {
    if (c->over || r.run != run || r.pid == 0) return;
    if (r.paused) {  // Its clients wait for it.
      poller_.After(milliseconds(200), [this, &r, c, run] { Leave(r, c, run); });
      return;
    }
    Ended(r, *c, "served");
    Drop(r, c);
  }

  void ClientOver(Relay& r, const std::shared_ptr<Connection>& c) {
    if (c->over || r.pid == 0) return;
    if (c->up) {
      Ended(r, *c, "served");  // Moved, or its server ended it.
    } else if (c->sent) {
      Ended(r, *c, "failed");
      Tell(R"("e":"maybe","r":"{}","n":1}})", r.name);  // It may never have been heard.
    }
    c->over = true;
    Drop(r, c);
  }

  void Drop(Relay& r, const std::shared_ptr<Connection>& c) {
    c->lines->Close();
    Bury(c);
    std::erase(r.connections, c);
  }

  // ---- what relays say of themselves ----

  void Ask(Relay& r) {
    if (r.pid != 0 && !r.paused && setup_.fleet) {
      const int fd = Lines::Connect(Ip(1, r.k), kManagement);
      if (fd >= 0) {
        const auto lines = std::make_shared<std::shared_ptr<Lines>>();
        const std::uint64_t run = r.run;
        *lines = std::make_shared<Lines>(
            poller_, fd,
            [this, &r, run](std::string_view line) {
              if (!line.empty() && line[0] == '{' && r.run == run && r.pid != 0) Said(r, std::string(line));
            },
            [] {});
        r.asks.push_back(*lines);
        poller_.After(milliseconds(1),
                      [l = *lines] { l->Send("GET /v1/fleet HTTP/1.1\r\nHost: r\r\n\r\n"); });
        if (r.asks.size() > 4) {
          Bury(r.asks.front());
          r.asks.erase(r.asks.begin());
        }
      }
    }
    poller_.After(milliseconds(500), [this, &r] { Ask(r); });
  }

  void Said(Relay& r, const std::string& line) {
    simdjson::dom::element s;
    if (parser_.parse(line).get(s) != simdjson::SUCCESS) return;
    const simdjson::dom::element total = s["total"];
    std::string bounds;
    for (const char* kind : {"taken", "served", "refused", "failed", "open"}) {
      const simdjson::dom::array both(total[kind]);
      const simdjson::dom::element high = both.at(1);
      bounds += fmt::format(R"(,"{}":[{},{}])", kind, std::uint64_t(both.at(0)),
                            high.is_null() ? UINT64_MAX : std::uint64_t(high));
    }
    Tell(R"("e":"sum","r":"{}","oldest_us":{}{}}})", r.name, std::int64_t(total["oldest_ms"]) * 1000 + 1000,
         bounds);
    std::string avoided;
    for (const simdjson::dom::element server : simdjson::dom::array(s["servers"])) {
      if (!bool(server["avoided"])) continue;
      avoided += fmt::format("{}\"{}\"", avoided.empty() ? "" : ",", std::string_view(server["server"]));
    }
    Tell(R"("e":"hearsay","r":"{}","of":{},"s":[{}]}})", r.name, servers_.size(), avoided);
    if (!bool(s["balanced"])) {
      Tell(R"("e":"accounts","r":"{}","taken":1,"served":0,"refused":0,"failed":0,"open":0}})", r.name);
    }
    std::string standings;
    for (const simdjson::dom::element m : simdjson::dom::array(s["members"])) {
      standings += fmt::format("{}{} {}{}", standings.empty() ? "" : ", ", std::string_view(m["name"]),
                               std::string_view(m["standing"]), bool(m["twins"]) ? " twins" : "");
    }
    if (std::exchange(said_[r.name], standings) != standings)
      Tell(R"("e":"note","what":"{} knows: {}"}})", r.name, standings);
  }

  // ---- faults ----

  void Do(const simulation::Step& step) {
    const auto& w = step.words;
    const auto relay = [&](std::size_t n) -> Relay& { return *relays_[IndexOf(w[n])]; };
    const auto number = [&](std::size_t n) { return std::stoul(w[n]); };
    Tell(R"("e":"note","what":"{} {}"}})", step.verb, fmt::join(w, " "));
    if (step.verb == "cut") cuts_.insert({IndexOf(w[0]), IndexOf(w[1])});
    if (step.verb == "heal") cuts_.erase({IndexOf(w[0]), IndexOf(w[1])});
    if (step.verb == "split") side_ = simulation::IndicesOf(w[0]);
    if (step.verb == "join") {
      side_.clear();
      cuts_.clear();
    }
    if (step.verb == "loss") loss_ = static_cast<double>(number(0));
    if (step.verb == "double") double_ = static_cast<double>(number(0));
    if (step.verb == "corrupt") corrupt_ = static_cast<double>(number(0));
    if (step.verb == "delay") {
      delay_from_ = milliseconds(number(0));
      delay_to_ = milliseconds(number(1));
    }
    if (step.verb == "badlink" || step.verb == "goodlink") relay(0).bad_link = step.verb == "badlink";
    if (step.verb == "lie" || step.verb == "truth") relay(0).lies = step.verb == "lie";
    if (step.verb == "pause" && relay(0).pid != 0) {
      Unsure(relay(0));
      relay(0).paused = true;
      kill(relay(0).pid, SIGSTOP);
    }
    if (step.verb == "continue" && relay(0).pid != 0) {
      kill(relay(0).pid, SIGCONT);
      // Its clients come back when it has caught up.
      poller_.After(milliseconds(50), [&r = relay(0)] { r.paused = false; });
    }
    if (step.verb == "kill") Kill(relay(0));
    if (step.verb == "start") Start(relay(0));
    if (step.verb == "leave" && relay(0).pid != 0) {
      Relay& r = relay(0);
      kill(r.pid, SIGTERM);
    }
    if (step.verb == "bad" || step.verb == "good") servers_[IndexOf(w[0])].bad = step.verb == "bad";
    if (step.verb == "renew") Renew(IndexOf(w[0]));
    if (step.verb == "busy") relay(0).busy = std::max(0.1, static_cast<double>(number(1)) / 100);
    if (step.verb == "garbage") Garbage(relay(0), number(1));
    if (step.verb == "twin") Twin(relay(0));
    if (step.verb == "untwin" && relay(0).twin != 0) {
      Tell(R"("e":"untwin","r":"{}"}})", relay(0).name);
      kill(relay(0).twin, SIGKILL);
      waitpid(std::exchange(relay(0).twin, 0), nullptr, 0);
    }
    if (step.verb == "remove") {
      relay(0).removed = true;
      Tell(R"("e":"removed","r":"{}"}})", relay(0).name);
      for (auto& r : relays_) {
        WriteFiles(*r);
        if (r->pid != 0 && r->k != relay(0).k) kill(r->pid, SIGHUP);
      }
    }
  }

  // A server's process starts anew: its connections end, and discovery tells when it started.
  void Renew(std::size_t s) {
    servers_[s].start_ms = UnixMs();
    Tell(R"("e":"server","s":"{}"}})", servers_[s].name);
    for (auto& r : relays_) Push(*r, {s}, false);
  }

  void Twin(Relay& r) {
    if (r.twin != 0) return;
    Tell(R"("e":"twin","r":"{}"}})", r.name);
    Write(Path(r, "twin.json"), Config(r, Ip(4, r.k), fmt::format("{}:{}", Ip(4, r.k), kManagement)));
    Write(Path(r, "twin.txtpb"), OperatorFile(r, Ip(4, r.k)));
    r.twin = Spawn(Path(r, "twin.json"), Path(r, "twin.txtpb"), Path(r, "twin.log"));
  }

  const simulation::Schedule& schedule_;
  const RigSetup setup_;
  std::ostream& history_;
  std::mt19937_64 random_;
  int octet_ = 0;
  Poller poller_;
  std::unique_ptr<Watched> net_;
  simdjson::dom::parser parser_;
  std::vector<std::unique_ptr<Relay>> relays_;
  std::vector<Server> servers_;
  std::vector<std::shared_ptr<Leg>> legs_;
  std::map<Leg*, Relay*> owner_;
  std::set<std::string> tried_;
  std::vector<std::function<void()>> graveyard_;
  std::set<std::pair<std::size_t, std::size_t>> cuts_;
  std::set<std::size_t> side_;
  std::set<std::array<std::uint64_t, 4>> told_;
  std::map<std::string, std::string> said_;
  double loss_ = 0, double_ = 0, corrupt_ = 0;
  Micros delay_from_{0}, delay_to_{0};
  std::uint64_t next_id_ = 0, revision_ = 1;
  std::int64_t last_us_ = 0;
  RigFigures figures_;
};

}  // namespace

RigFigures Play(const simulation::Schedule& schedule, const RigSetup& setup, std::ostream& history) {
  return Rig(schedule, setup, history).Run();
}

}  // namespace stoatrun::fault_injection
