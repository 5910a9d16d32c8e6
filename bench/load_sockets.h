// Creates and connects loopback TCP sockets for the load tool.
#ifndef STOATRUN_BENCH_LOAD_SOCKETS_H_
#define STOATRUN_BENCH_LOAD_SOCKETS_H_

namespace stoatrun::bench {

// A listening, non-blocking socket on a free port of the loopback interface.
struct Listener {
  int fd = -1;
  int port = 0;
};

// Throws std::runtime_error on failure.
Listener ListenOnFreePort();

// Returns a blocking socket connected to a loopback port, or -1 on failure.
int ConnectTo(int port);

// Sets TCP_NODELAY, so that small writes are sent without delay.
void DisableNagle(int fd);

}  // namespace stoatrun::bench

#endif  // STOATRUN_BENCH_LOAD_SOCKETS_H_
