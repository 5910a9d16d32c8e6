// Runs a proxy on real loopback sockets with a manual clock that only `wait` advances. The test plays its
// clients, its endpoints and discovery by a script with one step per line:
//
// clang-format off
//   a send TEXT           client a, which connects at its first step, sends a line; `raw` omits the line end
//   a both LINE | LINE    sends two lines in one write
//   a expect TEXT         receives TEXT as its next line; a trailing * matches any rest
//   a answered            receives any complete line
//   a expect-end | expect-reset         the connection ends with a FIN, or with a reset
//   a half | close | reset              finishes sending (FIN); closes; resets the connection
//   a send-bytes N        sends N bytes without a line end, then finishes sending
//   a flood N             sends N numbered lines; `s-1 expect-flood` expects all of them
//   a expect-moved        receives the first of these lines, all complete, then MOVE and the end
//   a expect-all-moved    receives all of these lines, then MOVE and the end
//   a pings N             sends N PING lines in one write
//   a expect-pongs N      receives N PONG lines, in far fewer TCP segments
//   a read N              reads until N more bytes have been received
//   connect-idle N | expect-idle N      N clients connect and send nothing; N of them are still connected
//   exhaust a [STEP]      client a connects while no file descriptor is left; then plays STEP in that state
//   s-1 ...               the steps above, for the first attempt at endpoint s-1 (s-1#2: the second)
//   s-1 legs N            exactly N attempts have been made at s-1
//   s-1 break | idle-end                resets, or closes, the connections without a request
//   turns N | turn        runs N turns of the event loop after each following step (default 3), or 5 after a
//                         step of discovery, if N is not 0; runs one turn
//   s-1 down | full | load X            refuses connections; leaves them unanswered; sets its reported load
//   discovery send JSON | close | reset sends a line of the watch; ends, or resets, the watch
//   discovery refuse | serve | down | up    answers 503; serves again; refuses connections; accepts them
//   discovery raw TEXT    sends a part of a line; \n stands for a line end
//   discovery send-first JSON | raw-first TEXT    the same, on the watch of the first call
//   discovery mute | plain TEXT         accepts calls without an answer; sends TEXT with \r and \n replaced
//   discovery plain-first TEXT          the same, to the first call
//   discovery watches N | asked TEXT | expect-end   checks the open watches; discovery2 has the same steps
//   reload discovery2     applies a configuration with the address of discovery2
//   stall MS STEP         plays STEP while the proxy is held up for so long
//   wait MS | drain | stopped           advances the clock; starts the graceful shutdown (SIGTERM); has ended
//   drain-call | activate               the operators' calls at the management address
//   replace discovery     starts a new process of the relay, which takes all later clients and steps
//   drain-old | kill-old  the graceful shutdown of the oldest process, which then exits; its end without one,
//                         after which no process may be left until the next `replace`
// clang-format on
#ifndef STOATRUN_TESTS_PROXY_LOOPBACK_FIXTURE_H_
#define STOATRUN_TESTS_PROXY_LOOPBACK_FIXTURE_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/event_loop.h"
#include "base/fleet_client.h"
#include "base/shared_memory.h"
#include "proxy/loopback_peer.h"
#include "proxy/proxy.h"

namespace stoatrun {

// Configuration of the proxy under test.
struct LoopbackOptions {
  int descriptor_limit = 0;  // The configured limit; 0: not configured.
  int fleet_size = 1;        // Proxies in the fleet, including this one.
  // A listening socket that each process inherits a duplicate of, and that must stay open; -1: it binds one.
  int accept_fd = -1;
  std::string discovery_mode = "subscribe";  // The value of the setting `discovery`.
  int seed = 7;                              // Seeds the proxy's random numbers.
  FleetClient* fleet = nullptr;              // The rest of the fleet; may be null.
  SharedMemory* sent_ids = nullptr;          // Shared with another proxy; null: its own.
  // The file by which the processes share their endpoint lists; empty: they do not.
  std::string endpoint_list_path{};
};

// Owns the event loop, the proxy and the test's peers.
class LoopbackFixture {
 public:
  explicit LoopbackFixture(const std::vector<std::string>& endpoints, LoopbackOptions options = {});
  ~LoopbackFixture();
  LoopbackFixture(const LoopbackFixture&) = delete;
  LoopbackFixture& operator=(const LoopbackFixture&) = delete;

  // Plays a script. Fails the test at the first step that does not succeed.
  void Play(std::string_view script);
  // The proxy's counters.
  const Counters& Counts() const { return Newest().proxy->Counts(); }
  // The proxy under test: that of the newest process.
  const Proxy& ProxyUnderTest() const { return *Newest().proxy; }
  // The number of processes that run.
  std::size_t ProcessCount() const { return processes_.size(); }
  // The number of attempts that have been made at an endpoint.
  std::size_t AttemptCount(const std::string& endpoint) const {
    return endpoints_.at(endpoint).connections.size();
  }
  // Whose endpoint lists the processes use.
  static SnapshotOrigin Origin() { return {"n0", "boot"}; }
  // The number of requests that a discovery service has received.
  std::size_t DiscoveryCallCount(const std::string& discovery = "discovery") const {
    return discoveries_.at(discovery).connections.size();
  }

 private:
  // One line of a script, split into words.
  struct Step {
    std::string line;
    std::string subject;   // The peer that acts, or the command.
    std::string verb;      // The peer's command, or the argument of `subject`.
    std::string argument;  // The rest of the line.
  };
  // Handlers of the commands of the fixture, of a peer and of a server.
  using Handler = void (LoopbackFixture::*)(const Step&);
  using PeerHandler = void (LoopbackFixture::*)(LoopbackPeer&, const Step&);
  using ServerHandler = void (LoopbackFixture::*)(LoopbackServer&, const Step&);
  static const std::map<std::string_view, Handler>& FixtureCommands();
  static const std::map<std::string_view, ServerHandler>& EndpointCommands();
  static const std::map<std::string_view, PeerHandler>& PeerCommands();
  static const std::map<std::string_view, ServerHandler>& DiscoveryCommands();

  // A process of the relay.
  struct Process {
    EventLoop loop{Clock::Mode::kManual};
    std::unique_ptr<Proxy> proxy;
  };

  static Step ParseStep(const std::string& line);
  void PlayStep(const Step& step);

  // Commands of the fixture itself.
  void Wait(const Step& step);
  void Stall(const Step& step);
  void SetTurns(const Step& step);
  void PlayTurn(const Step& step);
  void ConnectIdleClients(const Step& step);
  void CheckIdleClients(const Step& step);
  void BeginShutdown(const Step& step);
  void StartDrain(const Step& step);
  void Activate(const Step& step);
  void ExhaustDescriptors(const Step& step);
  void AwaitStopped(const Step& step);
  void Reload(const Step& step);
  void Replace(const Step& step);
  void DrainOldest(const Step& step);
  void KillOldest(const Step& step);
  // Commands of an endpoint.
  void TakeDown(LoopbackServer& endpoint, const Step& step);
  void BringUp(LoopbackServer& server, const Step& step);
  void FillQueue(LoopbackServer& endpoint, const Step& step);
  void EndUnidentified(LoopbackServer& endpoint, const Step& step);
  void SetLoad(LoopbackServer& endpoint, const Step& step);
  void CheckAttempts(LoopbackServer& endpoint, const Step& step);
  // Commands of discovery.
  void SetDiscoveryMode(LoopbackServer& discovery, const Step& step);
  void SendChunk(LoopbackServer& discovery, const Step& step);
  void SendPlain(LoopbackServer& discovery, const Step& step);
  void AwaitWatches(LoopbackServer& discovery, const Step& step);
  void CheckWatchRequest(LoopbackServer& discovery, const Step& step);
  void AwaitWatchEnd(LoopbackServer& discovery, const Step& step);
  void CloseWatch(LoopbackServer& discovery, const Step& step);
  // Commands of a client, or of an attempt at an endpoint.
  void SendLine(LoopbackPeer& peer, const Step& step);
  void SendTwoLines(LoopbackPeer& peer, const Step& step);
  void SendRaw(LoopbackPeer& peer, const Step& step);
  void ExpectLine(LoopbackPeer& peer, const Step& step);
  void ExpectAnswer(LoopbackPeer& peer, const Step& step);
  void ExpectEnd(LoopbackPeer& peer, const Step& step);
  void SendBytes(LoopbackPeer& peer, const Step& step);
  void Flood(LoopbackPeer& peer, const Step& step);
  void ExpectFlood(LoopbackPeer& peer, const Step& step);
  void ExpectMigrated(LoopbackPeer& peer, const Step& step);
  void ExpectFloodAndMigrated(LoopbackPeer& peer, const Step& step);
  void SendPings(LoopbackPeer& peer, const Step& step);
  void ExpectPongs(LoopbackPeer& peer, const Step& step);
  void ReadBytes(LoopbackPeer& peer, const Step& step);
  void HalfClose(LoopbackPeer& peer, const Step& step);
  void Close(LoopbackPeer& peer, const Step& step);

  const Process& Newest() const { return *processes_.back(); }
  Process& Newest() { return *processes_.back(); }
  void StartProcess(const LoopbackServer& discovery);
  void AdvanceClocks(std::chrono::milliseconds duration);
  // Runs one turn of the event loop of each process and of the test's servers.
  void Turn();
  // Runs `count` turns.
  void Turns(int count);
  void ServeDiscovery(LoopbackServer& discovery) const;
  // The configuration with the address of `discovery`. A reload changes nothing else.
  Config ConfigWith(const LoopbackServer& discovery) const;
  LoopbackPeer& FindOrConnectPeer(const std::string& name);
  LoopbackPeer& LastWatch(LoopbackServer& discovery);
  void ExpectLineOf(LoopbackPeer& peer, const std::string& pattern);
  // Runs turns of the event loop until the condition holds. Returns false if it does not within
  // kConditionTimeout.
  template <typename Condition>
  bool Until(Condition&& holds) {
    const auto end = std::chrono::steady_clock::now() + kConditionTimeout;
    while (!holds()) {
      if (std::chrono::steady_clock::now() > end) return false;
      Turn();
    }
    return true;
  }

  // In real time. Only failing tests wait this long.
  static constexpr auto kConditionTimeout = std::chrono::seconds(5);

  const LoopbackOptions options_;
  SharedMemory sent_ids_{SentRequestIds::kMemorySize};
  std::map<std::string, LoopbackServer> endpoints_;
  std::map<std::string, LoopbackServer> discoveries_;  // discovery2 is used by reloads.
  bool discovery_refuses_ = false, discovery_mute_ = false;
  std::string flood_;  // All bytes sent by `flood`.
  int turns_after_step_ = 3;
  std::map<std::string, std::unique_ptr<LoopbackPeer>> clients_;
  std::chrono::milliseconds elapsed_{0};  // On the clock of all processes.
  // None between the end of one and the start of the next. From the oldest to the newest.
  std::vector<std::unique_ptr<Process>> processes_;
};

// Plays a script with a new proxy and the endpoints s-1 and s-2.
inline void Play(std::string_view script) { LoopbackFixture({"s-1", "s-2"}).Play(script); }

// A proxy with the single endpoint s-1.
class SingleEndpointFixture : public LoopbackFixture {
 public:
  SingleEndpointFixture() : LoopbackFixture({"s-1"}) {}
};

// A script that establishes a session of client a at s-1.
inline constexpr const char* kEstablishSession = R"(
  a send OPEN 1 k c=watch,d=2000
  s-1 expect OPEN 1 k c=watch,d=*
  s-1 send UP r1
  a expect UP r1
)";

}  // namespace stoatrun

#endif  // STOATRUN_TESTS_PROXY_LOOPBACK_FIXTURE_H_
