// The discovery client: holds a long-poll watch (HTTP/1.1, one JSON object per update) on the list of
// endpoints, and renews it when it ends, fails or times out.
//
// At most one call is under way. A call fails if it brings neither an update nor a heartbeat (an empty line)
// in time; the next call is then made after a backoff. The list in force stays so while there is no watch.
// All calls and callbacks are on the event loop's thread; nothing throws.
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

// Receives what discovery reports.
class DiscoveryListener {
 public:
  virtual ~DiscoveryListener() = default;
  // A watch event. It may call Watch and ChangeAddress.
  virtual void OnEndpointUpdate(const EndpointUpdate& update) = 0;
  // The first call after Watch failed.
  virtual void OnWatchFailed() = 0;
};

// The client of one discovery service.
class DiscoveryClient : public TcpConnectionHandler {
 public:
  // How the calls are paced.
  struct Callers {
    std::uint32_t relays = 1;        // Proxies that share the service, this one included.
    std::uint64_t seed = 0;          // Of the backoff's jitter.
    Micros longest_wait{6'000'000};  // Between two calls.
  };

  // `host`: the value of the Host header. `known_revision`: of the list that is in force already; 0: none.
  // The references must outlive the client, and the loop's last turn must come before its end.
  DiscoveryClient(EventLoop& loop, DiscoveryListener& listener, Counters& counters, const Address& address,
                  std::string host, std::uint64_t known_revision, const Callers& callers);

  // Holds a watch from now on. Each call is answered by one OnEndpointUpdate or one OnWatchFailed.
  void Watch();
  // Uses another address from now on. The list in force stays so until the new address answers.
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
  // What the present call has brought.
  struct Response {
    bool rejected = false;   // By its status.
    bool ended = false;      // The response is complete, so the watch is over.
    bool malformed = false;  // Its body can't be split into objects.
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
  SlotMap<Call> calls_;  // The present call, and ended ones until the end of the turn.
  SlotId call_;
  Timer retry_timer_;
  Timer watch_timeout_;
  Backoff backoff_;
  bool watching_ = false;
  bool answer_due_ = false;  // Watch has not been answered yet.
  Response response_;
  Micros last_event_at_{0};  // Of all calls.
  // From this time the platform assumes that the proxy has learned what the timed-out watch missed; 0: no
  // watch has timed out since the last update, or the deadline is not observed.
  Micros notified_deadline_{0};
  int consecutive_timeouts_ = 0;  // Since the last event.
  JsonObjectFramer framer_;
  http_parser parser_{};
  http_parser_settings parser_settings_{};
};

}  // namespace stoatrun

#endif  // STOATRUN_ENDPOINT_DISCOVERY_CLIENT_H_
