// Event loop for the load tool's upstream servers and clients.
//
// Servers reply on their own; lines that clients receive are passed to a handler. Errors are thrown as
// std::runtime_error. Not thread-safe.
#ifndef STOATRUN_BENCH_LOAD_TRAFFIC_H_
#define STOATRUN_BENCH_LOAD_TRAFFIC_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace stoatrun::bench {

struct Socket {
  // kServer and kClient are the server's and the client's end of a connection.
  enum class Kind { kListener, kServer, kClient };
  Kind kind = Kind::kServer;
  int fd = -1;
  std::string input;         // Received data that has not been parsed yet.
  bool established = false;  // Set by the line handler.
  bool closing = false;      // Closed after its pending event has been handled.
};

// Owns all sockets and an epoll instance that watches them.
class LoadTraffic {
 public:
  using LineHandler = std::function<void(Socket& client, std::string_view line)>;

  LoadTraffic();
  LoadTraffic(const LoadTraffic&) = delete;
  LoadTraffic& operator=(const LoadTraffic&) = delete;

  // Starts an upstream server and returns its port.
  int AddServer();
  // Connects a client to the relay and requests a connection with the identifier `id`.
  void OpenClient(int relay_port, int id);
  // Sends `text`, which must include the line terminator.
  static void Send(const Socket& socket, std::string_view text);
  // Marks the socket to be closed after its current event has been handled.
  static void Close(Socket& socket) { socket.closing = true; }
  // Handles all readable sockets; waits up to 2 ms for the first.
  void PollOnce(const LineHandler& on_line);
  // Open clients that the handler has marked as established.
  std::vector<Socket*> EstablishedClients() const;

 private:
  Socket& Add(Socket::Kind kind, int fd);
  void HandleReadable(Socket& socket, const LineHandler& on_line);
  void Accept(const Socket& listener);
  static void Receive(Socket& socket);
  static void Reply(const Socket& server, const std::string& line);

  const int epoll_;
  std::vector<std::unique_ptr<Socket>> sockets_;  // Indexed by file descriptor.
};

}  // namespace stoatrun::bench

#endif  // STOATRUN_BENCH_LOAD_TRAFFIC_H_
