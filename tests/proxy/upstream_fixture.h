// An endpoint's listening socket and event handlers, for tests of Upstream without a proxy.
#ifndef STOATRUN_TESTS_PROXY_UPSTREAM_FIXTURE_H_
#define STOATRUN_TESTS_PROXY_UPSTREAM_FIXTURE_H_

#include <sys/socket.h>

#include <string>
#include <string_view>

#include "base/unique_fd.h"
#include "proxy/loopback_peer.h"
#include "proxy/upstream.h"

namespace stoatrun {

// Ignores all events.
struct IgnoringEvents : UpstreamEvents {
  void OnAttemptEstablished(SlotId /*owner*/, std::string_view /*line*/) override {}
  void OnAttemptEnded(SlotId /*owner*/, AttemptEnd /*end*/, std::string_view /*line*/) override {}
  void OnAttemptBytes(SlotId /*owner*/) override {}
  void OnAttemptFinished(SlotId /*owner*/, ConnectionEnd /*end*/) override {}
  void OnAttemptWritable(SlotId /*owner*/) override {}
  void OnProbeCompleted(EndpointIndex /*endpoint*/, bool /*succeeded*/,
                        std::string_view /*report*/) override {}
};

// A listening endpoint whose connections the test accepts.
struct ListeningSocket {
  ListeningSocket() {
    server.Listen();
    address = "127.0.0.1:" + std::to_string(server.port);
  }
  // Accepts a connection as a blocking socket; returns an empty UniqueFd if none is queued.
  UniqueFd Accept() const { return UniqueFd(accept(server.listener.Get(), nullptr, nullptr)); }
  LoopbackServer server;
  std::string address;
};

}  // namespace stoatrun

#endif  // STOATRUN_TESTS_PROXY_UPSTREAM_FIXTURE_H_
