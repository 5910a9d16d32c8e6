// A proxy on real loopback sockets under a clock that only `wait` advances, with clients, endpoints and
// discovery of the test's, played from a script of one step a line:
//
// clang-format off
//   a send TEXT           client a (connected at its first step) sends a line; `raw` sends without its end
//   a both LINE | LINE    sends two lines in one write
//   a expect TEXT         its next line; a * at the end matches any rest
//   a answered            any one line of an answer comes
//   a expect-end | expect-reset         how its connection ends
//   a half | close | reset              ends its sending; closes; resets
//   a pour N              sends N bytes of one line that never ends, then ends its sending
//   a flood N             sends N numbered lines; `s-1 expect-flood` receives them all
//   a expect-moved        as many complete ones of them as came before, then MOVE and the end
//   crowd N | quiet N     N clients connect and send nothing; so many of them are still connected
//   exhaust a [STEP]      client a connects while no descriptor is left, then STEP is played in that state
//   s-1 ...               the same for the first attempt at endpoint s-1 (s-1#2: the second)
//   s-1 legs N            so many attempts were made there
//   s-1 break | idle-end                resets the connections without a request; closes those of probes
//   turns N | turn                      so many turns of the loop follow each step (3); one turn
//   s-1 down | full | load X            refuses connections; lets them wait unanswered; the load it reports
//   discovery send JSON | close | refuse | serve    a line of the watch; ends it; answers 503; serves again
//   discovery raw TEXT    a part of a line; \n in it is a line end
//   discovery mute | plain TEXT         accepts calls, answers nothing; sends TEXT, with \r and \n replaced
//   discovery watches N | asked TEXT | expect-end   of the watches open there; likewise for discovery2
//   reload discovery2     applies a configuration that names it
//   wait MS | drain | stopped           drain: the graceful shutdown of SIGTERM
//   drain-call | activate               the operators' calls at the second address
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
#include "proxy/loopback_peer.h"
#include "proxy/proxy.h"

namespace stoatrun {

// What distinguishes one test's proxy from another's.
struct LoopbackOptions {
  int descriptor_limit = 0;                  // As configured; 0: not configured.
  int fleet_size = 1;                        // Proxies in the fleet, this one included.
  int accept_fd = -1;                        // A listening socket that the proxy inherits; -1: it binds one.
  std::string discovery_mode = "subscribe";  // How endpoint lists come, as settings name it.
  FleetClient* fleet = nullptr;              // The rest of the fleet.
};

// A test fixture, see above.
class LoopbackFixture {
 public:
  explicit LoopbackFixture(const std::vector<std::string>& endpoints, LoopbackOptions options = {});
  ~LoopbackFixture();
  LoopbackFixture(const LoopbackFixture&) = delete;
  LoopbackFixture& operator=(const LoopbackFixture&) = delete;

  // Plays a script. Fails the test at the first step that does not hold.
  void Play(std::string_view script);
  // The proxy's counters.
  const Counters& Counts() const { return proxy_->Counts(); }
  // The proxy itself.
  const Proxy& ProxyUnderTest() const { return *proxy_; }
  // The number of calls that discovery has accepted.
  std::size_t DiscoveryCallCount() const { return discoveries_.at("discovery").connections.size(); }

 private:
  // One line of a script, split into its words.
  struct Step {
    std::string line;
    std::string subject;   // Who acts, or the whole command.
    std::string verb;      // What it does, or the command's argument.
    std::string argument;  // The rest of the line.
  };
  // How a peer of the test's must end.
  using Handler = void (LoopbackFixture::*)(const Step&);
  using PeerHandler = void (LoopbackFixture::*)(LoopbackPeer&, const Step&);
  using ServerHandler = void (LoopbackFixture::*)(LoopbackServer&, const Step&);
  static const std::map<std::string_view, Handler>& FixtureCommands();
  static const std::map<std::string_view, ServerHandler>& EndpointCommands();
  static const std::map<std::string_view, PeerHandler>& PeerCommands();
  static const std::map<std::string_view, ServerHandler>& DiscoveryCommands();

  static Step ParseStep(const std::string& line);
  void PlayStep(const Step& step);

  // Commands of the fixture itself.
  void Wait(const Step& step);
  void SetTurns(const Step& step);
  void PlayTurn(const Step& step);
  void ConnectCrowd(const Step& step);
  void CheckQuiet(const Step& step);
  void BeginShutdown(const Step& step);
  void StartDrain(const Step& step);
  void Activate(const Step& step);
  void ExhaustDescriptors(const Step& step);
  void AwaitStopped(const Step& step);
  void Reload(const Step& step);
  // Commands of an endpoint.
  void TakeDown(LoopbackServer& endpoint, const Step& step);
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
  void Pour(LoopbackPeer& peer, const Step& step);
  void Flood(LoopbackPeer& peer, const Step& step);
  void ExpectFlood(LoopbackPeer& peer, const Step& step);
  void ExpectMigrated(LoopbackPeer& peer, const Step& step);
  void HalfClose(LoopbackPeer& peer, const Step& step);
  void Close(LoopbackPeer& peer, const Step& step);

  // A turn of the loop, in which the test's servers serve, too.
  void Turn();
  void Turns(int count);
  void ServeDiscovery(LoopbackServer& discovery) const;
  // The configuration that names `discovery`, which is all that a reload changes.
  Config ConfigWith(const LoopbackServer& discovery) const;
  LoopbackPeer& FindOrConnectPeer(const std::string& name);
  LoopbackPeer& LastWatch(LoopbackServer& discovery);
  void ExpectLineOf(LoopbackPeer& peer, const std::string& pattern);
  // Turns the loop until the condition holds; false: it doesn't for seconds of real time.
  template <typename Condition>
  bool Until(Condition&& holds) {
    const auto end = std::chrono::steady_clock::now() + kPatience;
    while (!holds()) {
      if (std::chrono::steady_clock::now() > end) return false;
      Turn();
    }
    return true;
  }

  // For loopback sockets, in real time: only a failure waits so long.
  static constexpr auto kPatience = std::chrono::seconds(5);

  const LoopbackOptions options_;
  EventLoop loop_{Clock::Mode::kManual};
  std::map<std::string, LoopbackServer> endpoints_;
  std::map<std::string, LoopbackServer> discoveries_;  // discovery, and discovery2 for reloads.
  bool discovery_refuses_ = false, discovery_mute_ = false;
  std::string flood_;  // What the last flood sent.
  int turns_after_step_ = 3;
  std::map<std::string, std::unique_ptr<LoopbackPeer>> clients_;
  std::unique_ptr<Proxy> proxy_;
};

// Plays a script with the endpoints s-1 and s-2.
inline void Play(std::string_view script) { LoopbackFixture({"s-1", "s-2"}).Play(script); }

// One endpoint: the balancer has no choice.
class SingleEndpointFixture : public LoopbackFixture {
 public:
  SingleEndpointFixture() : LoopbackFixture({"s-1"}) {}
};

// Client a gets an established session there.
inline constexpr const char* kEstablishSession = R"(
  a send OPEN 1 k c=watch,d=2000
  s-1 expect OPEN 1 k c=watch,d=*
  s-1 send UP r1
  a expect UP r1
)";

}  // namespace stoatrun

#endif  // STOATRUN_TESTS_PROXY_LOOPBACK_FIXTURE_H_
