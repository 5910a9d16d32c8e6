// Loopback sockets of the test that act as the proxy's clients, endpoints and discovery.
#ifndef STOATRUN_TESTS_PROXY_LOOPBACK_PEER_H_
#define STOATRUN_TESTS_PROXY_LOOPBACK_PEER_H_

#include <netinet/in.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/unique_fd.h"

namespace stoatrun {

// The address of a port on the loopback interface.
sockaddr_in LoopbackAddress(int port);
// Returns a new TCP socket that is connected to `port`. Fails the test if the connection is refused.
UniqueFd ConnectToLoopback(int port);
// Makes a descriptor non-blocking, and its writes undelayed if it is a TCP socket, and returns it.
UniqueFd NonBlocking(UniqueFd fd);

// How a peer ends its connection.
enum class CloseMode : std::uint8_t { kOrderly, kReset };

// One connected, non-blocking socket of the test.
struct LoopbackPeer {
  UniqueFd socket;
  std::string input;  // Read and not yet consumed by the test.
  bool ended = false;
  bool reset = false;

  // Reads all input that is available.
  void Read();
  // The same, but reads at most `size` bytes.
  void ReadAtMost(std::size_t size);
  // Sends all of `text`; fails the test if the socket does not accept it.
  void Send(std::string_view text) const;
  // Finishes sending (FIN); the peer can still read.
  void HalfClose() const;
  // Closes the connection. No effect if it is closed.
  void Close(CloseMode mode);
  // Whether a complete line has been received, or the connection has ended.
  bool HasLineOrEnded() const { return ended || input.find("\r\n") != std::string::npos; }
};

// A listening endpoint or discovery server of the test.
struct LoopbackServer {
  UniqueFd listener;
  int port = 0;
  std::vector<std::unique_ptr<LoopbackPeer>> unidentified;  // Connections without a request as yet.
  std::vector<std::unique_ptr<LoopbackPeer>> connections;   // Attempts at an endpoint, watches at discovery.
  std::vector<UniqueFd> queue_fillers;                      // Fill the listener's queue.
  std::string load = "0.2";                                 // The load in the answers to probes.

  // Listens on any port, or on `port` if that is set.
  void Listen();
  // Accepts all connections in the listen queue.
  void AcceptAll();
  // Stops accepting and fills the listen queue, so that further connections stay unanswered.
  void FillQueue();
  // Acts as an endpoint: answers probes and adds attempts to `connections`.
  void ServeEndpoint();
};

}  // namespace stoatrun

#endif  // STOATRUN_TESTS_PROXY_LOOPBACK_PEER_H_
