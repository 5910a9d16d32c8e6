// Blocking set-up of loopback TCP sockets for the load tool.
#ifndef STOATRUN_BENCH_LOAD_SOCKETS_H_
#define STOATRUN_BENCH_LOAD_SOCKETS_H_

namespace stoatrun::bench {

// A listening, non-blocking socket on a free port of the loopback interface.
struct Listener {
  int fd = -1;
  int port = 0;
};

// Throws std::runtime_error if there is none to be had.
Listener ListenOnFreePort();

// Returns a connected, blocking socket, or -1.
int ConnectTo(int port);

// Sends small writes at once.
void DisableNagle(int fd);

}  // namespace stoatrun::bench

#endif  // STOATRUN_BENCH_LOAD_SOCKETS_H_
