// A blocking HTTP/1.1 GET request to a relay's admin server.
//
// Does not support redirects, TLS or host names; uses one connection per request. Thread-safe.
#ifndef STOATRUN_CLI_HTTP_GET_H_
#define STOATRUN_CLI_HTTP_GET_H_

#include <chrono>
#include <string>

#include "base/tcp_connection.h"

namespace stoatrun::cli {

// A complete HTTP response.
struct HttpResponse {
  int status = 0;
  std::string body;
};

// Sends `GET path` to `address` and returns the response. Throws std::runtime_error with the reason
// (std::system_error for a socket error) if no complete response is received within `timeout`.
HttpResponse HttpGet(const Address& address, const std::string& path, std::chrono::milliseconds timeout);

}  // namespace stoatrun::cli

#endif  // STOATRUN_CLI_HTTP_GET_H_
