// The sockets of the load tool's servers and clients, served by one epoll loop.
//
// The servers answer by themselves; the lines that clients receive go to a handler. Errors are
// std::runtime_error. One thread.
#ifndef STOATRUN_BENCH_LOAD_TRAFFIC_H_
#define STOATRUN_BENCH_LOAD_TRAFFIC_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace stoatrun::bench {

// One socket.
struct Peer {
  // A server's listening socket, or one end of a connection.
  enum class Kind { kListener, kServer, kClient };
  Kind kind = Kind::kServer;
  int fd = -1;
  std::string input;         // Received and not yet parsed.
  bool established = false;  // Set by the handler.
  bool closing = false;      // Closed when it has been served.
};

// All sockets.
class LoadTraffic {
 public:
  using LineHandler = std::function<void(Peer& client, std::string_view line)>;

  LoadTraffic();
  LoadTraffic(const LoadTraffic&) = delete;
  LoadTraffic& operator=(const LoadTraffic&) = delete;

  // Starts an upstream server and returns its port.
  int AddServer();
  // Connects a client that requests a connection under the identifier `id`.
  void OpenClient(int relay_port, int id);
  // Sends a line with its end.
  static void Send(const Peer& peer, std::string_view text);
  // Closes the peer once it has been served.
  static void Close(Peer& peer) { peer.closing = true; }
  // Serves the sockets that are ready, waiting up to 2 ms for one.
  void Turn(const LineHandler& on_line);
  // The clients that a handler has marked as established.
  std::vector<Peer*> EstablishedClients() const;

 private:
  Peer& Add(Peer::Kind kind, int fd);
  void Serve(Peer& peer, const LineHandler& on_line);
  void Accept(const Peer& listener);
  static void Receive(Peer& peer);
  static void Answer(const Peer& server, const std::string& line);

  const int epoll_;
  std::vector<std::unique_ptr<Peer>> peers_;  // By descriptor.
};

}  // namespace stoatrun::bench

#endif  // STOATRUN_BENCH_LOAD_TRAFFIC_H_
