// Forwards the bytes of established sessions between client and endpoint, with backpressure both ways, and
// reads the endpoint's lines as they pass.
#ifndef STOATRUN_PROXY_FORWARDER_H_
#define STOATRUN_PROXY_FORWARDER_H_

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
  // What is forwarded to the client.
  enum class Extent : std::uint8_t {
    kCompleteLines,  // An incomplete line stays, so that a MOVE of the proxy's own always falls between
                     // lines.
    kEverything,     // The endpoint has ended: no more will come.
  };

  // All references must outlive the object.
  Forwarder(EventLoop& loop, SessionTable& sessions, Downstream& downstream, Upstream& upstream,
            BalancerDriver& balancer, MessageLatencyReporter& latency_reporter);

  // Forwards what the client has sent to the session's endpoint.
  void ForwardToEndpoint(Session& session);
  // Forwards what the endpoint has sent to the client, and reports loads and latencies to the balancer: any
  // session may have been erased afterwards. No effect if the session has been erased.
  void ForwardToClient(SlotId session_id, Extent extent);
  // All output to the client is written: reads from the endpoint again.
  void OnClientWritable(SlotId session_id);
  // All output to the endpoint is written: reads from the client again.
  void OnEndpointWritable(SlotId session_id);

 private:
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
