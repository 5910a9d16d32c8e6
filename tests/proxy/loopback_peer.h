// The test's ends of connections to a proxy on loopback sockets: clients, endpoints and discovery.
#ifndef STOATRUN_TESTS_PROXY_LOOPBACK_PEER_H_
#define STOATRUN_TESTS_PROXY_LOOPBACK_PEER_H_

#include <netinet/in.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/unique_fd.h"

namespace stoatrun {

// The address of a port on the loopback interface.
sockaddr_in LoopbackAddress(int port);
// A new TCP socket that is connected to `port`; fails the test if that is refused.
UniqueFd ConnectToLoopback(int port);
// Makes a descriptor non-blocking and returns it.
UniqueFd NonBlocking(UniqueFd fd);

// How a peer ends its connection.
enum class CloseMode : std::uint8_t { kOrderly, kReset };

// One connected socket of the test's. Sockets are non-blocking.
struct LoopbackPeer {
  UniqueFd socket;
  std::string input;  // Read and not yet consumed by the test.
  bool ended = false;
  bool reset = false;

  // Reads what there is.
  void Read();
  // Sends all of `text`; fails the test if the socket doesn't take it.
  void Send(std::string_view text) const;
  // Ends the sending, and goes on reading.
  void HalfClose() const;
  // Closes the connection. No effect if it is closed.
  void Close(CloseMode mode);
  // Whether a whole line has come, or no more will.
  bool HasLineOrEnded() const { return ended || input.find("\r\n") != std::string::npos; }
};

// A listening endpoint or discovery server of the test's.
struct LoopbackServer {
  UniqueFd listener;
  int port = 0;
  std::vector<std::unique_ptr<LoopbackPeer>> unidentified;  // Connections that have not sent a whole request.
  std::vector<std::unique_ptr<LoopbackPeer>> connections;   // Attempts at an endpoint, watches at discovery.
  std::vector<UniqueFd> queue_fillers;                      // Fill the listener's queue.
  std::string load = "0.2";                                 // What an endpoint's probes are answered.

  // Listens on any port, or on `port` if that is set.
  void Listen();
  // Accepts all connections that wait.
  void AcceptAll();
  // Accepts nothing from now on: fills the listener's queue.
  void FillQueue();
  // Serves an endpoint: answers probes and adds attempts to `connections`.
  void ServeEndpoint();
};

}  // namespace stoatrun

#endif  // STOATRUN_TESTS_PROXY_LOOPBACK_PEER_H_
