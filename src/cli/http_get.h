// A blocking HTTP/1.1 GET, as the operators' commands send it to a relay's admin server.
//
// No redirects, no TLS, no names to resolve; one connection a request. Safe to call from any thread.
#ifndef STOATRUN_CLI_HTTP_GET_H_
#define STOATRUN_CLI_HTTP_GET_H_

#include <chrono>
#include <string>

#include "base/tcp_connection.h"

namespace stoatrun::cli {

// A complete response.
struct HttpResponse {
  int status = 0;
  std::string body;
};

// Sends `GET path` to `address` and returns the response. Throws std::runtime_error with the reason (as
// std::system_error for an error of the socket) if no complete response has come within `timeout`.
HttpResponse HttpGet(const Address& address, const std::string& path, std::chrono::milliseconds timeout);

}  // namespace stoatrun::cli

#endif  // STOATRUN_CLI_HTTP_GET_H_
