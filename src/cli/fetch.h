// A call on a relay's second address, as the operators' commands make it.
#ifndef STOATRUN_CLI_FETCH_H_
#define STOATRUN_CLI_FETCH_H_

#include <chrono>
#include <string>

#include "base/tcp_connection.h"

namespace stoatrun::cli {

struct Fetched {
  int status = 0;
  std::string body;
};

// GET over HTTP/1.1. Throws std::runtime_error with the reason if no whole answer came within `wait`.
Fetched Fetch(const Address& address, const std::string& path, std::chrono::milliseconds wait);

}  // namespace stoatrun::cli

#endif  // STOATRUN_CLI_FETCH_H_
