// Helpers of the discovery client's tests, for scripts of LoopbackFixture::Play.
#ifndef STOATRUN_TESTS_ENDPOINT_DISCOVERY_SCRIPT_H_
#define STOATRUN_TESTS_ENDPOINT_DISCOVERY_SCRIPT_H_

#include <cstddef>
#include <string>

#include "proxy/loopback_fixture.h"

namespace stoatrun {

// Replaces each K in a script by `number`.
inline std::string Numbered(std::string script, int number) {
  for (std::size_t at = 0; (at = script.find('K')) != std::string::npos;) {
    script.replace(at, 1, std::to_string(number));
  }
  return script;
}

// Waits until the service has been called more than `calls` times. Returns the time until then, in steps of
// 10 ms; `limit` if that does not happen.
inline int TimeToCall(LoopbackFixture& fixture, const std::string& service, std::size_t calls, int limit) {
  int waited = 0;
  while (fixture.DiscoveryCallCount(service) <= calls && waited < limit) {
    fixture.Play("wait 10");
    waited += 10;
  }
  return waited;
}

}  // namespace stoatrun

#endif  // STOATRUN_TESTS_ENDPOINT_DISCOVERY_SCRIPT_H_
