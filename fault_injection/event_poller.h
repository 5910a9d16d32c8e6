// Sockets and timers of the rig on one libev loop. Everything is non-blocking; time is microseconds since the
// start.
#ifndef STOATRUN_FAULT_INJECTION_EVENT_POLLER_H_
#define STOATRUN_FAULT_INJECTION_EVENT_POLLER_H_

#include <ev.h>
#include <netinet/in.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace stoatrun::fault_injection {

using Micros = std::chrono::microseconds;

sockaddr_in At(const std::string& ip, int port);

class Poller {
 public:
  Poller();
  ~Poller();
  Poller(const Poller&) = delete;
  Poller& operator=(const Poller&) = delete;

  struct ev_loop* native_handle() {
    return loop_;
  }
  Micros Now() const;
  void After(Micros delay, std::function<void()> act);
  void Run() { ev_run(loop_, 0); }
  void Stop() { ev_break(loop_, EVBREAK_ALL); }

 private:
  static void OnTimer(struct ev_loop* loop, ev_timer* w, int events);
  static void OnPrepare(struct ev_loop* loop, ev_prepare* w, int events);
  struct ev_loop* loop_;
  ev_timer timer_{};
  ev_prepare prepare_{};
  std::multimap<Micros, std::function<void()>> due_;
  std::chrono::steady_clock::time_point start_;
};

// A descriptor that tells when it can be read.
class Watched {
 public:
  Watched(Poller& poller, int fd, std::function<void()> readable);
  ~Watched();
  Watched(const Watched&) = delete;
  Watched& operator=(const Watched&) = delete;
  int Fd() const { return fd_; }

 private:
  static void OnIo(struct ev_loop* loop, ev_io* w, int events);
  Poller& poller_;
  int fd_;
  ev_io io_{};
  std::function<void()> readable_;
};

// One TCP connection that speaks lines.
class Lines {
 public:
  using OnLine = std::function<void(std::string_view)>;
  using OnEnd = std::function<void()>;  // Once, when the peer has ended or broken it.

  Lines(Poller& poller, int fd, OnLine line, OnEnd end);
  static int Connect(const std::string& ip, int port);  // Under 0: refused at once.
  void Send(std::string_view text);
  // What the kernel knows already: true if the peer has ended it.
  bool PeerGone() const;
  bool Ended() const { return ended_; }
  void Close();

 private:
  void Read();
  std::unique_ptr<Watched> watched_;
  OnLine line_;
  OnEnd end_;
  std::string in_;
  bool ended_ = false;
};

int Listen(const std::string& ip, int port);  // Throws std::system_error.

}  // namespace stoatrun::fault_injection

#endif  // STOATRUN_FAULT_INJECTION_EVENT_POLLER_H_
