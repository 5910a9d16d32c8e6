#include "endpoint/endpoint_list.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace stoatrun {
namespace {

Endpoint MakeEndpoint(const std::string& id, const std::string& address = "127.0.0.1:1") {
  Endpoint endpoint;
  endpoint.id = id;
  endpoint.address = address;
  return endpoint;
}

std::vector<std::string> IdsOf(const EndpointList& list) {
  std::vector<std::string> ids;
  for (const Endpoint& endpoint : list.Entries()) ids.push_back(endpoint.id);
  return ids;
}

TEST_CASE("updates change the list, which keeps its order") {
  EndpointList list;
  list.Apply({1, true, {MakeEndpoint("s-3"), MakeEndpoint("s-1"), MakeEndpoint("s-2")}});
  CHECK(IdsOf(list) == std::vector<std::string>{"s-3", "s-1", "s-2"});
  Endpoint gone = MakeEndpoint("s-1");
  gone.state = EndpointState::kGone;
  list.Apply({2, false, {gone, MakeEndpoint("s-0")}});
  CHECK(IdsOf(list) == std::vector<std::string>{"s-3", "s-2", "s-0"});
  list.Apply({3, true, {MakeEndpoint("s-0"), MakeEndpoint("s-3")}});
  CHECK(IdsOf(list) == std::vector<std::string>{"s-3", "s-0"});
}

TEST_CASE("an endpoint that comes without a valid address keeps the one that it had") {
  EndpointList list;
  list.Apply({1, true, {MakeEndpoint("s-1", "127.0.0.1:7")}});
  Endpoint draining = MakeEndpoint("s-1", "");
  draining.state = EndpointState::kDraining;
  list.Apply({2, false, {draining}});
  REQUIRE(list.Entries().size() == 1);
  CHECK(list.Entries()[0].address == "127.0.0.1:7");
  CHECK(list.Entries()[0].state == EndpointState::kDraining);
}

TEST_CASE("endpoints beyond the limit are left out") {
  EndpointList list;
  EndpointUpdate update{1, false, {}};
  for (std::size_t k = 0; k < kMaxEndpoints; ++k) update.entries.push_back(MakeEndpoint(std::to_string(k)));
  list.Apply(update);
  list.Apply({2, false, {MakeEndpoint("one more"), MakeEndpoint("0", "127.0.0.1:2")}});
  CHECK(list.Entries().size() == kMaxEndpoints);
  CHECK(list.Entries()[0].address == "127.0.0.1:2");
}

}  // namespace
}  // namespace stoatrun
