// The one helper of the network tests: a relay on real loopback sockets under a clock that only `wait` moves,
// with toy clients, sync servers and discovery, played from a script of one step a line:
//
// clang-format off
//   a send TEXT           client a (connected at its first step) sends a line; `raw` sends without its end
//   a both LINE | LINE    sends two lines in one write
//   a expect TEXT         its next line; a * at the end takes any rest
//   a answered            any one line of an answer comes
//   a expect-end | expect-reset         how it ends
//   a half | close | reset              ends its sending; closes; breaks
//   a pour N              sends N bytes of one line that never ends, then its end
//   a flood N             sends N numbered lines; `s-1 expect-flood` takes them all
//   a expect-moved        as many whole ones of them as came before, then MOVE and the end
//   crowd N | quiet N     N callers connect and say nothing; so many of them are still there
//   exhaust a [STEP]      client a connects while no descriptor is left, then STEP is played so
//   s-1 ...               the same for the first leg at host s-1 (s-1#2: the second); `s-1 legs N`: so many
//   s-1 break | idle-end                resets the connections that said nothing yet; closes those of probes
//   turns N | turn                      so many turns of the loop follow each step (3); one turn
//   s-1 down | full | load X            refuses connections; lets them wait unanswered; what its probes tell
//   discovery send JSON | close | refuse | serve    a line of the watch; ends it; answers 503; serves again
//   discovery raw TEXT    a part of a line; \n in it is an end of line
//   discovery mute | plain TEXT         takes calls and answers nothing; sends TEXT as it is, \r and \n read
//   discovery watches N | asked TEXT | expect-end   of the watches held there; likewise for discovery2
//   reload discovery2     takes up a configuration that names it
//   wait MS | drain | stopped           drain: SIGTERM's planned end
//   drain-call | activate               the operators' calls at the second address
// clang-format on
#ifndef STOATRUN_TESTS_PROXY_LOOPBACK_FIXTURE_H_
#define STOATRUN_TESTS_PROXY_LOOPBACK_FIXTURE_H_

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/event_loop.h"
#include "proxy/proxy.h"

namespace stoatrun {

class LoopbackFixture {
 public:
  // `descriptors`: what the relay is told that it may hold; 0: not told. `relays`: of its fleet, itself
  // included.
  // `accept_fd`: a listening socket that the relay is handed, as the platform hands one down; -1: it binds.
  // `discovery`: how lists come, as the settings say it. `fellows`: the rest of the fleet, if there is one.
  explicit LoopbackFixture(const std::vector<std::string>& hosts, int descriptors = 0, int relays = 1,
                           int accept_fd = -1, std::string discovery = "subscribe",
                           FleetClient* peers = nullptr);
  ~LoopbackFixture();
  LoopbackFixture(const LoopbackFixture&) = delete;
  LoopbackFixture& operator=(const LoopbackFixture&) = delete;

  void Play(std::string_view script);  // Fails the test at the first step that does not hold.
  const Counters& Counts() const { return proxy_->Counts(); }
  const Proxy& ProxyUnderTest() const { return *proxy_; }
  std::size_t DiscoveryCallCount() const {
    return discoveries_.at("discovery").attempts.size();
  }  // Calls that it took.

 private:
  struct Peer {  // One socket of the toy side.
    int fd = -1;
    std::string in;
    bool ended = false, reset = false;
    void Read();
    void Send(std::string_view text) const;
    void Close(bool hard);
  };
  struct Server {  // A toy host or discovery.
    int fd = -1;
    int port = 0;
    std::vector<std::unique_ptr<Peer>> fresh, attempts;
    std::vector<int> waiting;  // Connections that fill its queue: no more come up.
    std::string load = "0.2";  // What its probes tell.
  };

  void Step(const std::string& line);
  void Turn();
  void TurnAfter();
  void Serve(Server& host);
  void ServeDiscovery(Server& discovery);
  int descriptors_, relays_, accept_fd_;
  std::string mode_;
  Config ConfigWith(const Server& discovery) const;  // Which is all that a reload changes.
  Peer& PeerOf(const std::string& who, const std::string& step);
  void Expect(Peer& peer, const std::string& text, const std::string& step);
  template <typename F>
  bool Until(F&& holds);

  static void Listen(Server& s);

  EventLoop loop_{Clock::Mode::kManual};
  std::map<std::string, Server> hosts_;
  std::map<std::string, Server> discoveries_;  // discovery, and discovery2 that a reload may name.
  bool discovery_refuses_ = false, discovery_mute_ = false;
  std::string flood_;
  int turns_ = 3;  // After a step.
  std::map<std::string, std::unique_ptr<Peer>> clients_;
  std::unique_ptr<Proxy> proxy_;
};

// Plays a script in a fixture of the hosts s-1 and s-2 of its own.
inline void Play(std::string_view script) { LoopbackFixture({"s-1", "s-2"}).Play(script); }

// A fixture of one host: a lone one makes the landing certain.
class SingleEndpointFixture : public LoopbackFixture {
 public:
  SingleEndpointFixture() : LoopbackFixture({"s-1"}) {}
};

// A client that stands there.
inline constexpr const char* kEstablishSession = R"(
  a send OPEN 1 k c=watch,d=2000
  s-1 expect OPEN 1 k c=watch,d=*
  s-1 send UP r1
  a expect UP r1
)";

}  // namespace stoatrun

#endif  // STOATRUN_TESTS_PROXY_LOOPBACK_FIXTURE_H_
