// Parsing of request lines.
#include "proxy/line_protocol.h"

#include <catch2/catch.hpp>

namespace stoatrun {
namespace {

TEST_CASE("request lines are parsed, and malformed ones are rejected") {
  const auto request = ParseOpenRequest("OPEN 1 k c=chat,t=acme,d=2000,h=12.5,again=1,x=1");
  REQUIRE(request);
  CHECK(request->class_name == "chat");
  CHECK(request->timeout_ms == 2000);
  CHECK(request->load == 12.5);
  CHECK(request->is_reconnect);
  CHECK(request->before_timeout == "OPEN 1 k c=chat,t=acme,d=");
  CHECK(request->after_timeout == ",h=12.5,again=1,x=1");
  CHECK(ParseOpenRequest("OPEN 9b1f03aa5c7e2d41 tpl/c0d c=chat,d=4294967.5,at=s-1,r=1,new=a=b")->timeout_ms ==
        4'294'967);
  for (const char* malformed :
       {"", "OPEN", "OPEN 1", "OPEN 1 k", "OPEN 1 k d=5", "OPEN 1 k c=chat", "OPEN 1 k c=chat,d=x",
        "OPEN 1 k c=chat,d=1,d=2", "OPEN 1 k c=chat,d=nan", "GET / HTTP/1.1",
        // A lenient parser accepted each of these, and the request was served.
        "OPEN 1 k c=chat,d=99999999999999999999999", "OPEN 1 k c=chat,d=1e3", "OPEN 1 k c=chat,d=-0",
        "OPEN 1 k c=chat,d=0x10", "OPEN 1 k c=chat,d=", "OPEN 1 k c=chat,d=5,", "OPEN 1 k c=chat,,d=5",
        "OPEN 1 k c=chat,c=feed,d=5", "OPEN 1 k c=chat,t=,d=5", "OPEN 1 k c=chat,d=5,x",
        "OPEN 1 k c=chat,d=5 k", "OPEN 1 c=chat,d=5", "OPEN  k c=chat,d=5", "OPEN 1=2 k c=chat,d=5",
        "OPEN 1 k c=chat,d=5,h=nan"}) {
    INFO(malformed);
    CHECK_FALSE(ParseOpenRequest(malformed));
  }
}

}  // namespace
}  // namespace stoatrun
