// TCP for the simulated clients and servers: line-based connections and listening sockets.
#ifndef STOATRUN_FAULT_INJECTION_LINE_CONNECTION_H_
#define STOATRUN_FAULT_INJECTION_LINE_CONNECTION_H_

#include <netinet/in.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "event_loop.h"

namespace stoatrun::fault_injection {

// Converts an IPv4 address and a port for the socket functions.
sockaddr_in SocketAddress(const std::string& host, int port);

// A TCP connection that splits its input into lines. The loop must outlive it. A callback may close the
// connection, but must not destroy it.
class LineConnection {
 public:
  using OnLine = std::function<void(std::string_view line)>;  // Without the line terminator.
  using OnClosed = std::function<void()>;  // Called once, when the peer has closed or reset it.

  // Takes ownership of the connected or connecting descriptor.
  LineConnection(EventLoop& loop, int fd, OnLine on_line, OnClosed on_closed);
  // Starts a non-blocking connect. Returns the descriptor, or a negative number if it failed at once.
  static int Connect(const std::string& host, int port);

  // Sends without buffering; does nothing on a closed connection.
  void Send(std::string_view text);
  // Sends what the socket accepts now; returns the number of bytes.
  std::size_t SendSome(std::string_view text);
  // Whether the kernel has already received the peer's close or reset, even if the end of stream was not read
  // yet.
  bool PeerHasClosed() const;
  // True once either side has closed it.
  bool IsClosed() const { return closed_; }
  // Closes without calling `on_closed`.
  void Close();
  // The same, but sends a reset to the peer.
  void Reset();

 private:
  void Read();
  // Calls `on_line` for each complete line; false if a callback has closed the connection.
  bool DispatchLines();

  std::unique_ptr<DescriptorWatcher> watcher_;
  OnLine on_line_;
  OnClosed on_closed_;
  std::string input_;
  bool closed_ = false;
};

// Opens a listening socket. Throws std::system_error.
int ListenTcp(const std::string& host, int port);

// Accepts a pending connection in non-blocking mode; a negative number if there is none.
int AcceptTcp(int listen_fd);

}  // namespace stoatrun::fault_injection

#endif  // STOATRUN_FAULT_INJECTION_LINE_CONNECTION_H_
