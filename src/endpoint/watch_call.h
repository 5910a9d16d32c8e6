// One call of the discovery service: an HTTP/1.1 long poll whose response carries one JSON object per update
// of the endpoint list, and empty lines as heartbeats.
//
// All calls and callbacks happen on the event loop's thread; nothing throws.
#ifndef STOATRUN_ENDPOINT_WATCH_CALL_H_
#define STOATRUN_ENDPOINT_WATCH_CALL_H_

#include <http_parser.h>

#include <cerrno>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/event_loop.h"
#include "base/slot_map.h"
#include "base/tcp_connection.h"
#include "endpoint/endpoint_update.h"
#include "endpoint/json_framing.h"

namespace stoatrun {

// Why a call has failed.
enum class WatchFailure : std::uint8_t { kRejected, kEnded, kMalformed, kReset, kTimedOut };

class WatchCall;

// Receives the events of calls. It may close the call in any of them.
class WatchCallHandler {
 public:
  virtual ~WatchCallHandler() = default;
  // A complete event was received: a heartbeat, or an update that OnCallUpdate then passes on.
  virtual void OnCallEvent(WatchCall& call) = 0;
  virtual void OnCallUpdate(WatchCall& call, const EndpointUpdate& update) = 0;
  // The service has not answered within the call's answer timeout. The call goes on: the answer may be near,
  // and a service that handles abandoned calls too would only get another one.
  virtual void OnCallUnanswered(WatchCall& call) = 0;
  // The call has failed and is closed.
  virtual void OnCallFailed(WatchCall& call, WatchFailure failure) = 0;
};

// A call, from Start to its failure or Close. It must stay allocated until a running callback has returned.
class WatchCall : public TcpConnectionHandler {
 public:
  // `host`: the value of the Host header. `answer_timeout`: after which OnCallUnanswered is called. `loop`
  // and `handler` must outlive the call.
  WatchCall(SlotId id, EventLoop& loop, WatchCallHandler& handler, std::string host, Micros answer_timeout);

  // Connects and requests the changes after `revision`; 0: the complete list.
  void Start(const Address& address, std::uint64_t revision);
  // Ends the call without a further callback.
  void Close();

  // The id that the constructor was given.
  SlotId Id() const { return id_; }
  // The value of the Host header, which identifies the address.
  const std::string& Host() const { return host_; }
  // Whether the service refused the connection.
  bool WasRefused() const { return connection_.ConnectError() == ECONNREFUSED; }
  // Whether a connection to the service was made.
  bool HasConnected() const { return connected_; }
  // Whether any part of an answer other than a rejection was received.
  bool HasAnswer() const { return received_ && !rejected_; }
  // The time of Start.
  Micros StartedAt() const { return started_at_; }

  void OnConnected(SlotId id) override;
  void OnData(SlotId id) override;
  void OnEnd(SlotId id, ConnectionEnd end) override;

 private:
  enum class Phase : std::uint8_t { kWaiting, kOverdue, kAnswered, kClosed };

  static int OnHeadersComplete(http_parser* parser);
  static int OnBody(http_parser* parser, const char* data, std::size_t size);
  static int OnMessageComplete(http_parser* parser);

  void OnTimeout();
  void Fail(WatchFailure failure);
  void HandleHeaders();
  void HandleBody(std::string_view body);
  void HandleEvent();
  bool HandleUpdate(std::string_view object);

  const SlotId id_;
  EventLoop& loop_;
  WatchCallHandler& handler_;
  const std::string host_;
  const Micros answer_timeout_;
  TcpConnection connection_;
  Timer timeout_;
  Micros started_at_{0};
  std::uint64_t revision_ = 0;  // Requested.
  Phase phase_ = Phase::kWaiting;
  bool rejected_ = false;        // The status is not 200.
  bool updated_ = false;         // An update was received.
  bool ended_ = false;           // The response is complete.
  bool malformed_ = false;       // The body can't be split into valid objects.
  bool connect_failed_ = false;  // At once, in Start.
  bool connected_ = false;
  bool received_ = false;  // Any part of the response.
  JsonObjectFramer framer_;
  http_parser parser_{};
  http_parser_settings parser_settings_{};
};

}  // namespace stoatrun

#endif  // STOATRUN_ENDPOINT_WATCH_CALL_H_
