// The discovery client: maintains a long-poll watch (HTTP/1.1, one JSON object per update) on the endpoint
// list, and renews it when it ends, fails or times out.
//
// At most one call is in progress. A call fails if it delivers neither an update nor a heartbeat (an empty
// line) in time; it is retried after a backoff. The current endpoint list remains in effect while there is no
// watch. All calls and callbacks happen on the event loop's thread; nothing throws.
#ifndef STOATRUN_ENDPOINT_DISCOVERY_CLIENT_H_
#define STOATRUN_ENDPOINT_DISCOVERY_CLIENT_H_

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/backoff.h"
#include "base/counters.h"
#include "base/event_loop.h"
#include "base/slot_map.h"
#include "base/tcp_connection.h"
#include "endpoint/endpoint_update.h"
#include "endpoint/json_framing.h"

namespace stoatrun {

// Receives endpoint updates and watch failures.
class DiscoveryListener {
 public:
  virtual ~DiscoveryListener() = default;
  // An update was received. The listener may call Watch and ChangeAddress.
  virtual void OnEndpointUpdate(const EndpointUpdate& update) = 0;
  // The first call made after Watch has failed.
  virtual void OnWatchFailed() = 0;
};

// The client of one discovery service.
class DiscoveryClient : public TcpConnectionHandler {
 public:
  // Determines the delays between calls.
  struct CallPacing {
    std::uint32_t callers = 1;      // Proxies that share the service, including this one.
    std::uint64_t jitter_seed = 0;  // Seed of the backoff's jitter.
    Micros max_delay{6'000'000};    // Maximum delay between two calls.
  };

  // `host`: the value of the Host header. `known_revision`: the revision of the current endpoint list; 0:
  // none. The references must outlive the client, and the loop must not run after the client's destruction.
  DiscoveryClient(EventLoop& loop, DiscoveryListener& listener, Counters& counters, const Address& address,
                  std::string host, std::uint64_t known_revision, const CallPacing& pacing);

  // Starts to maintain a watch. Each call of Watch is followed by one OnEndpointUpdate or OnWatchFailed.
  void Watch();
  // Switches to another address. The current endpoint list remains in effect until the new address responds.
  void ChangeAddress(const Address& address, std::string host);

  void OnConnected(SlotId id) override;
  void OnData(SlotId id) override;
  void OnEnd(SlotId id, ConnectionEnd end) override;

 private:
  enum class WatchFailure { kRejected, kEnded, kMalformed, kReset, kTimedOut };
  struct Call {
    Call(SlotId call_id, DiscoveryClient& client) : id(call_id), connection(client.loop_, client, call_id) {}
    SlotId id;
    TcpConnection connection;
  };
  // The state of the current call's response.
  struct Response {
    bool rejected = false;   // Its status is not 200.
    bool ended = false;      // It is complete, so the watch has ended.
    bool malformed = false;  // Its body can't be split into valid objects.
    bool received_event = false;
  };

  static const char* LogName(WatchFailure failure);
  static int OnHeadersComplete(http_parser* parser);
  static int OnBody(http_parser* parser, const char* data, std::size_t size);
  static int OnMessageComplete(http_parser* parser);

  void ScheduleFirstCall();
  void StartCall();
  void CancelCall();
  void FailWatch(WatchFailure failure);
  void OnWatchTimeout();
  void RecordEvent();
  void HandleBody(std::string_view body);
  bool HandleUpdate(std::string_view object);

  EventLoop& loop_;
  DiscoveryListener& listener_;
  Counters& counters_;
  Address address_;
  std::string host_;
  std::uint64_t revision_;
  SlotMap<Call> calls_;  // The current call, and ended calls until the end of the turn.
  SlotId call_;
  Timer retry_timer_;
  Timer watch_timeout_;
  Backoff backoff_;
  bool watching_ = false;
  bool response_due_ = false;  // The last call of Watch has had no update or failure yet.
  Response response_;
  Micros last_event_at_;       // Over all calls; initially the time of the construction.
  Micros call_started_at_{0};  // The start of the latest call.
  // The time from which the platform assumes that the proxy knows the updates missed by the timed-out watch.
  // 0: no watch has timed out since the last update, or there were too many timeouts to meet the deadline.
  Micros notified_deadline_{0};
  int consecutive_timeouts_ = 0;  // Since the last event.
  JsonObjectFramer framer_;
  http_parser parser_{};
  http_parser_settings parser_settings_{};
};

}  // namespace stoatrun

#endif  // STOATRUN_ENDPOINT_DISCOVERY_CLIENT_H_
