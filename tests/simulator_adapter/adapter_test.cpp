// Tests of the simulator's JSON wire protocol: replies, 64-bit ids, accepted and rejected input.
#include "simulator_adapter/adapter.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <string>

namespace stoatrun {
namespace {

const char* const kFacts =
    R"({"balancers":1,"classes":[{"effect":"idempotent","target":300000,"name":"a"}],)"
    R"("discovery":"automatic",)"
    R"("familyInfo":{"mode":"proxy","messageAim":[100000.0]},"invariants":{"cold":9000000,"coldFrom":0.3,)"
    R"("fall":1000000,"fallMultiple":4.0,"stopSendingWithin":500000},"limits":{"cancel":true,"probes":false,)"
    R"("sendCap":3},"stats":{"fields":["x0"],"how":"on_probe"},"zone":0,"somethingNew":{"a":[1,null]}})";

std::string Batch(const std::string& input, std::int64_t time = 1000000) {
  return R"({"atTime":)" + std::to_string(time) + R"(,"input":[)" + input + "]}";
}
// Messages that attach an instance and give it one ready endpoint.
std::string AttachMessages(int id) {
  const std::string n = std::to_string(id);
  return R"(["Attach",)" + n + ",5," + kFacts + R"(],["Members",)" + n +
         R"(,2,1,[[4294967295,0,0,0,1,1,null]]])";
}
// The message of the WireError that `line` causes; empty if there is none.
std::string ErrorFrom(SimulatorAdapter& adapter, const std::string& line) {
  try {
    adapter.HandleLine(line);
  } catch (const WireError& error) {
    return error.what();
  }
  return "";
}

TEST(SimulatorAdapterTest, EmptyBatch) {
  EXPECT_EQ(SimulatorAdapter().HandleLine(Batch("")), R"({"cmds":[]})");
}

TEST(SimulatorAdapterTest, RequestIdsKeep64BitPrecision) {
  SimulatorAdapter adapter;
  adapter.HandleLine(Batch(AttachMessages(3)));
  const std::string reply = adapter.HandleLine(
      Batch(R"(["Incoming",3,9007199254740993,0,null,"s-k",2000000,null,null,false,false,false])"));
  EXPECT_NE(reply.find(R"(["Send",3,9007199254740993,4294967295,)"), std::string::npos) << reply;
}

TEST(SimulatorAdapterTest, RestartWithinABatchDiscardsEndpoints) {
  SimulatorAdapter adapter;
  adapter.HandleLine(Batch(AttachMessages(3)));
  const std::string request = R"(["Incoming",3,7,0,null,null,2000000,null,null,false,false,false])";
  const std::string attach =
      std::string(R"(["CrashNow",3],["Attach",3,6,)") + kFacts + R"(],["Members",3,2,1,[]],)";
  EXPECT_EQ(adapter.HandleLine(Batch(attach + request)).find("Send"), std::string::npos);
}

TEST(SimulatorAdapterTest, EventsForInstancesThatAreNotAttachedAreIgnored) {
  SimulatorAdapter adapter;
  EXPECT_EQ(adapter.HandleLine(Batch(R"(["Gone",5,2928369074121497],["Due",5,77])")), R"({"cmds":[]})");
}

TEST(SimulatorAdapterTest, ReportsWithNullsAndUnknownOutcomesAreAccepted) {
  SimulatorAdapter adapter;
  adapter.HandleLine(
      Batch(AttachMessages(3) + R"(,["Incoming",3,7,0,null,null,2000000,null,null,false,false,false])"));
  const std::string reply = adapter.HandleLine(Batch(
      R"(["ProbeDone",3,4294967295,1500,"pass",[null]],["ProbeDone",3,4294967295,1500,"no_route",null],)"
      R"(["Result",3,7,18500,"never_heard_of",false,0,4294967295,null],["PeerData",3,1,"00ff"],)"
      R"(["Notice",3,7,0,4294967295,1,12.5],["Notice",3,7,0,4294967295,9,1])"));
  EXPECT_EQ(reply.substr(0, 9), R"({"cmds":[)");
}

TEST(SimulatorAdapterTest, MalformedInputNamesTheField) {
  SimulatorAdapter adapter;
  adapter.HandleLine(Batch(AttachMessages(3)));
  EXPECT_NE(ErrorFrom(adapter, "{").find("not JSON"), std::string::npos);
  EXPECT_EQ(ErrorFrom(adapter, "[]"), "line: expected an object");
  EXPECT_EQ(ErrorFrom(adapter, R"({"input":[]})"), "atTime: missing");
  EXPECT_EQ(ErrorFrom(adapter, Batch(R"(["Gone",3])")), "Gone.xid: missing");
  EXPECT_EQ(ErrorFrom(adapter, Batch(R"(["Gone",3,"x"])")), "Gone.xid: expected a whole number of 0 or more");
  EXPECT_EQ(ErrorFrom(adapter, Batch(R"(["Gone",3,-1])")), "Gone.xid: expected a whole number of 0 or more");
  EXPECT_EQ(ErrorFrom(adapter, Batch(R"(["Members",3,7,1,[]])")), "Members.form: expected 0 to 3");
  EXPECT_EQ(ErrorFrom(adapter, Batch(R"(["Members",3,1,1,[[5,0,0,0,4,1,0]]])")),
            "Members.rows.stageState: expected 0 to 2");
  EXPECT_EQ(ErrorFrom(adapter, Batch(R"(["Mystery",3])")), "Mystery.type: unknown message");
  EXPECT_EQ(ErrorFrom(adapter, Batch("7")), "input[0]: expected an array");
}

TEST(SimulatorAdapterTest, InstancesAreIndependent) {
  const std::string requests[] = {R"(["Incoming",%,11,0,null,null,2000000,null,null,false,false,false])",
                                  R"(["Incoming",%,12,0,null,null,2000000,null,null,false,false,false])"};
  auto fill = [](std::string text, int id) {
    text.replace(text.find('%'), 1, std::to_string(id));
    return text;
  };
  SimulatorAdapter together, first, second;
  together.HandleLine(Batch(AttachMessages(1) + "," + AttachMessages(2)));
  first.HandleLine(Batch(AttachMessages(1)));
  second.HandleLine(Batch(AttachMessages(2)));
  for (const std::string& request : requests) {
    const std::string both = together.HandleLine(Batch(fill(request, 1) + "," + fill(request, 2)));
    std::string one = first.HandleLine(Batch(fill(request, 1)));
    const std::string two = second.HandleLine(Batch(fill(request, 2)));
    one.replace(one.size() - 2, 2, "," + two.substr(9));
    EXPECT_EQ(both, one);
  }
}

}  // namespace
}  // namespace stoatrun
