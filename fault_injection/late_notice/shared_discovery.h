// Simulated discovery for late-notice trials: one service that handles the calls of all relays one after
// another, or an agent for each relay that answers at once.
#ifndef STOATRUN_FAULT_INJECTION_LATE_NOTICE_SHARED_DISCOVERY_H_
#define STOATRUN_FAULT_INJECTION_LATE_NOTICE_SHARED_DISCOVERY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "event_loop.h"
#include "line_connection.h"

namespace stoatrun::fault_injection {

// Which of the service's two addresses a relay has called: the original one, or the one that a reload names.
enum class ServiceAddress : std::uint8_t { kOriginal, kNew };

// How the open watches are broken.
enum class WatchBreak : std::uint8_t { kSilent, kReset, kEnded, kMalformed };

// Settings of the service.
struct SharedDiscoverySettings {
  std::size_t relays = 0;
  Micros service_time{0};   // Of one call; 0: calls are answered at once.
  Micros extra_latency{0};  // See SetExtraLatency.
  // How long a call may wait in the queue, or while the service is down, before it is answered 503.
  Micros queue_timeout = std::chrono::seconds(3), outage_timeout = std::chrono::seconds(2);
  bool answers_queued_calls = false;  // Calls made during an outage are answered at its end (an agent).
};

// Runs on the harness's loop; not thread-safe.
class SharedDiscovery {
 public:
  using ListText = std::function<std::string()>;  // The present list as a JSON object in one line.
  using OnWritten = std::function<void(std::size_t relay)>;

  // `on_written` is called for each relay to which the present list or a change of it was written.
  SharedDiscovery(EventLoop& loop, SharedDiscoverySettings settings, ListText list, OnWritten on_written);

  // Listens for a relay at one of the service's addresses. Throws std::system_error.
  void Listen(std::size_t relay, ServiceAddress address, const std::string& host, int port);

  // Sends the present list to the open watches, except those of a frozen address.
  void Publish();
  // Lists and changes are no longer told at the original address; its watches stay open with heartbeats.
  void FreezeOriginalAddress() { original_frozen_ = true; }
  // Breaks the open watches in the same way, without effect on later calls.
  void BreakWatches(WatchBreak how);
  // Calls that begin from now to RejectCalls(false) are answered 503 at once.
  void RejectCalls(bool reject) { rejecting_ = reject; }
  // Delays each further answer, without occupying the service.
  void SetExtraLatency(Micros latency) { settings_.extra_latency = latency; }
  // Resets the watches; calls are held until their timeout or the end of the outage.
  void BeginOutage();
  // Handles calls again, those that are still queued first.
  void EndOutage();

  // The number of relays with an answered watch.
  std::size_t WatchingRelays() const;
  // When something was last written to the relay's watch.
  Micros LastWrittenTo(std::size_t relay) const { return last_written_[relay]; }
  // The number of calls so far.
  std::size_t Calls() const { return calls_; }
  // The number of calls that were answered 503.
  std::size_t RejectedCalls() const { return rejected_calls_; }
  // The longest time between a call and its answer.
  Micros LongestAnswer() const { return longest_answer_; }

 private:
  enum class State : std::uint8_t { kRequesting, kQueued, kWatching, kBroken };
  struct Watch {
    std::size_t relay = 0;
    ServiceAddress address = ServiceAddress::kOriginal;
    State state = State::kRequesting;
    Micros called_at{0};
    std::string unsent;
    std::shared_ptr<LineConnection> stream;
  };
  using WatchPtr = std::shared_ptr<Watch>;

  void Accept(std::size_t relay, ServiceAddress address, int fd);
  void OnCall(const WatchPtr& watch);
  void ServeNext();
  void Answer(const WatchPtr& watch);
  void Reject(const WatchPtr& watch);
  void WriteList(Watch& watch);
  void WriteChunk(Watch& watch, const std::string& text);
  void Write(Watch& watch, const std::string& text);
  void FlushOutput();
  void SendHeartbeats();

  EventLoop& loop_;
  SharedDiscoverySettings settings_;
  const ListText list_;
  const OnWritten on_written_;
  std::vector<std::unique_ptr<DescriptorWatcher>> listeners_;
  std::list<WatchPtr> watches_;  // All connections, until they are closed.
  std::deque<WatchPtr> queue_;
  std::vector<Micros> last_written_;  // By relay.
  bool serving_ = false, original_frozen_ = false, rejecting_ = false, down_ = false;
  std::size_t calls_ = 0, rejected_calls_ = 0;
  Micros longest_answer_{0};
};

}  // namespace stoatrun::fault_injection

#endif  // STOATRUN_FAULT_INJECTION_LATE_NOTICE_SHARED_DISCOVERY_H_
