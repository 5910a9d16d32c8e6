// Forwards the bytes of established sessions between client and endpoint, with backpressure in both
// directions, and parses the endpoint's lines on the way.
#ifndef STOATRUN_PROXY_FORWARDER_H_
#define STOATRUN_PROXY_FORWARDER_H_

#include <chrono>
#include <cstdint>
#include <string_view>

#include "base/event_loop.h"
#include "base/slot_map.h"
#include "proxy/balancer_driver.h"
#include "proxy/downstream.h"
#include "proxy/message_latency_reporter.h"
#include "proxy/session_table.h"
#include "proxy/upstream.h"

namespace stoatrun {

// Used by the event loop's thread only.
class Forwarder {
 public:
  // Clients send a line every 2 s and are answered immediately. The client of a silent endpoint must be
  // migrated within 7 s of the last answer.
  static constexpr Micros kAnswerTimeout = std::chrono::milliseconds(4300);

  // How much of an endpoint's input is forwarded to the client.
  enum class Extent : std::uint8_t {
    // An incomplete line stays buffered, so that a MOVE that the proxy sends is never inside a line.
    kCompleteLines,
    // For an endpoint that has ended the connection: the rest of an incomplete line will not come.
    kEverything,
  };

  // All references must outlive the object.
  Forwarder(EventLoop& loop, SessionTable& sessions, Downstream& downstream, Upstream& upstream,
            BalancerDriver& balancer, MessageLatencyReporter& latency_reporter);

  // Forwards the client's input to the session's endpoint.
  void ForwardToEndpoint(Session& session);
  // Forwards the endpoint's input to the client, and reports loads and latencies to the balancer, which may
  // erase any session. No effect if the session has been erased.
  void ForwardToClient(SlotId session_id, Extent extent);
  // For a closing session: reads all that its sides have sent and forwards it. Returns false if something is
  // left: a side does not take it, or has sent only a part of a line that the session waits for. May erase
  // any session.
  bool ForwardRest(SlotId session_id);
  // Resumes reading from the endpoint, as all output to the client has been written.
  void OnClientWritable(SlotId session_id);
  // Resumes reading from the client, as all output to the endpoint has been written.
  void OnEndpointWritable(SlotId session_id);

 private:
  bool ForwardRestToEndpoint(SlotId session_id);
  bool ForwardRestToClient(SlotId session_id);
  void OnEndpointLine(Session& session, std::string_view line);

  EventLoop& loop_;
  SessionTable& sessions_;
  Downstream& downstream_;
  Upstream& upstream_;
  BalancerDriver& balancer_;
  MessageLatencyReporter& latency_reporter_;
};

}  // namespace stoatrun

#endif  // STOATRUN_PROXY_FORWARDER_H_
