// Parsing of request lines.
#include "proxy/line_protocol.h"

#include <catch2/catch.hpp>

namespace stoatrun {
namespace {

TEST_CASE("request lines") {
  const auto head = ParseOpenRequest("OPEN 1 k c=chat,t=acme,d=2000,h=12.5,again=1,x=1");
  REQUIRE(head);
  CHECK(head->class_name == "chat");
  CHECK(head->timeout_ms == 2000);
  CHECK(head->load == 12.5);
  CHECK(head->is_reconnect);
  CHECK(head->before_timeout == "OPEN 1 k c=chat,t=acme,d=");
  CHECK(head->after_timeout == ",h=12.5,again=1,x=1");
  CHECK(ParseOpenRequest("OPEN 9b1f03aa5c7e2d41 tpl/c0d c=chat,d=4294967.5,at=s-1,r=1,new=a=b")->timeout_ms ==
        4'294'967);
  for (const char* bad :
       {"", "OPEN", "OPEN 1", "OPEN 1 k", "OPEN 1 k d=5", "OPEN 1 k c=chat", "OPEN 1 k c=chat,d=x",
        "OPEN 1 k c=chat,d=1,d=2", "OPEN 1 k c=chat,d=nan", "GET / HTTP/1.1",
        // Read leniently, each of these was once taken for a request and served.
        "OPEN 1 k c=chat,d=99999999999999999999999", "OPEN 1 k c=chat,d=1e3", "OPEN 1 k c=chat,d=-0",
        "OPEN 1 k c=chat,d=0x10", "OPEN 1 k c=chat,d=", "OPEN 1 k c=chat,d=5,", "OPEN 1 k c=chat,,d=5",
        "OPEN 1 k c=chat,c=feed,d=5", "OPEN 1 k c=chat,t=,d=5", "OPEN 1 k c=chat,d=5,x",
        "OPEN 1 k c=chat,d=5 k", "OPEN 1 c=chat,d=5", "OPEN  k c=chat,d=5", "OPEN 1=2 k c=chat,d=5",
        "OPEN 1 k c=chat,d=5,h=nan"}) {
    INFO(bad);
    CHECK_FALSE(ParseOpenRequest(bad));
  }
}

}  // namespace
}  // namespace stoatrun
