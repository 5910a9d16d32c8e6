// TCP of the fake clients and servers: connections that speak lines, and listening sockets.
#ifndef STOATRUN_FAULT_INJECTION_LINE_CONNECTION_H_
#define STOATRUN_FAULT_INJECTION_LINE_CONNECTION_H_

#include <netinet/in.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "event_loop.h"

namespace stoatrun::fault_injection {

// An IPv4 address with a port, for the socket functions.
sockaddr_in SocketAddress(const std::string& host, int port);

// A TCP connection that receives lines. The loop must outlive it. A callback may close it, but not destroy
// it.
class LineConnection {
 public:
  using OnLine = std::function<void(std::string_view line)>;  // Without the line's end.
  using OnClosed = std::function<void()>;                     // Once, when the peer has closed or reset it.

  // Takes over the connected or connecting descriptor.
  LineConnection(EventLoop& loop, int fd, OnLine on_line, OnClosed on_closed);
  // A descriptor on which a connection is made, or a negative number if it was rejected at once.
  static int Connect(const std::string& host, int port);

  // Sends at once; a closed connection passes it over.
  void Send(std::string_view text);
  // Whether the peer has closed it, as the kernel knows already; it need not have been read yet.
  bool PeerHasClosed() const;
  // By either side.
  bool IsClosed() const { return closed_; }
  // Closes without calling `on_closed`.
  void Close();

 private:
  void Read();
  // Passes complete lines on; false if a callback has closed the connection.
  bool DispatchLines();

  std::unique_ptr<DescriptorWatcher> watcher_;
  OnLine on_line_;
  OnClosed on_closed_;
  std::string input_;
  bool closed_ = false;
};

// A listening socket. Throws std::system_error.
int ListenTcp(const std::string& host, int port);

// Accepts a waiting connection, non-blocking; a negative number if there is none.
int AcceptTcp(int listen_fd);

}  // namespace stoatrun::fault_injection

#endif  // STOATRUN_FAULT_INJECTION_LINE_CONNECTION_H_
