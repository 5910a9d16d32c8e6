// The second address on loopback, under a clock that only the test moves; its routes, figures and the drain's
// plan alone.
#include "admin/admin_server.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "admin/metrics.h"
#include "admin/routes.h"
#include "proxy/drain_schedule.h"

namespace stoatrun {
namespace {

using std::chrono::milliseconds;

TEST_CASE("each path answers its own method, and others are told apart") {
  CHECK(RouteOf("GET", "/v1/readyz").call == ManagementCall::kReady);
  CHECK(RouteOf("GET", "/v1/metrics?format=text").call == ManagementCall::kMetrics);
  CHECK(RouteOf("POST", "/v1/relay/drain").call == ManagementCall::kDrain);
  CHECK(RouteOf("POST", "/v1/relay/activate").call == ManagementCall::kActivate);
  const Route wrong = RouteOf("GET", "/v1/relay/drain");
  CHECK_FALSE(wrong.call);
  CHECK(wrong.status == 405);
  CHECK(wrong.allow == "POST");
  CHECK(RouteOf("POST", "/v1/readyz").status == 405);
  CHECK(RouteOf("GET", "/v1/readyz/").status == 404);
  CHECK(RouteOf("GET", "/").status == 404);
  CHECK(RouteOf("GET", "").status == 404);
}

TEST_CASE("figures go under the operators' names, each class by itself") {
  Figures f;
  f.class_names = {"sighting-feed", "tally-watch"};
  f.classes.resize(2);
  f.classes[0] = {.succeeded = 812, .rejected = 3, .aborted = 1, .forwards = 820};
  f.classes[1].succeeded = 7;
  f.outstanding = 14;
  f.discovered = 9;
  f.ejected = 2;
  const std::string text = FormatFigures(f);
  CHECK_THAT(text, Catch::StartsWith("edge_proxy.results.sighting-feed.succeeded=812\n"));
  for (const char* line :
       {"edge_proxy.results.sighting-feed.declined=3\n", "edge_proxy.results.sighting-feed.aborted=1\n",
        "edge_proxy.results.sighting-feed.forwards=820\n", "edge_proxy.results.tally-watch.succeeded=7\n",
        "edge_proxy.results.tally-watch.declined=0\n", "edge_proxy.outstanding=14\n",
        "edge_proxy.discovered=9\n", "edge_proxy.ejected=2\n"}) {
    CHECK_THAT(text, Catch::Contains(line));
  }
}

TEST_CASE("the drain holds, spreads its moves evenly and moves late comers at once") {
  using drain::Micros;
  drain::Schedule plan;
  CHECK(plan.Healthy());
  CHECK(plan.Advance(Micros(5'000'000), 10).migrations == 0);
  CHECK(plan.Advance(Micros(5'000'000), 10).next_step_at.count() == 0);
  plan.Drain(Micros(1'000'000));
  plan.Drain(Micros(1'300'000));  // A second call keeps the first one's times.
  CHECK_FALSE(plan.Healthy());
  const drain::Step hold = plan.Advance(Micros(1'100'000), 44);
  CHECK(hold.migrations == 0);
  CHECK(hold.next_step_at == Micros(1'400'000));
  // 2.2 s in steps of 50 ms: 44 steps, one each.
  std::size_t standing = 44, steps = 0;
  Micros now = hold.next_step_at;
  while (standing > 0 && now < Micros(3'600'000)) {
    const drain::Step step = plan.Advance(now, standing);
    CHECK(step.migrations <= 1);
    standing -= step.migrations;
    steps += step.migrations > 0 ? 1 : 0;
    now = step.next_step_at;
  }
  CHECK(standing == 0);
  CHECK(steps == 44);
  CHECK(plan.Advance(Micros(3'600'000), 5).migrations == 5);
  // Few connections go evenly in time too, not all at the first steps.
  drain::Schedule few;
  few.Drain(Micros(0));
  std::vector<std::int64_t> at;
  for (Micros t(400'000); t < Micros(2'600'000); t += Micros(50'000)) {
    if (few.Advance(t, 4 - at.size()).migrations > 0) at.push_back(t.count());
  }
  REQUIRE(at.size() == 4);
  CHECK(at.front() >= 700'000);  // A quarter of the 2.2 s after the hold, less a step or two.
  for (std::size_t k = 1; k < at.size(); ++k) CHECK(at[k] - at[k - 1] >= 400'000);
  CHECK(at.back() < 2'600'000);
  plan.Activate();
  CHECK(plan.Healthy());
  CHECK(plan.Advance(Micros(3'700'000), 5).migrations == 0);
}

TEST_CASE("whom a drain moves first: the latest answered without a line under way, then the others") {
  using drain::Micros;
  const std::vector<drain::Candidate> all{
      {.id = 1, .request_in_flight = true, .answered_at = Micros(900)},
      {.id = 2, .request_in_flight = false, .answered_at = Micros(100)},
      {.id = 3, .request_in_flight = false, .answered_at = Micros(700)},
      {.id = 4, .request_in_flight = true, .answered_at = Micros(50)},
      {.id = 5, .request_in_flight = false, .answered_at = Micros(700)},
  };
  CHECK(drain::SelectForMigration(all, 0).empty());
  CHECK(drain::SelectForMigration(all, 2) == std::vector<std::uint64_t>{3, 5});
  CHECK(drain::SelectForMigration(all, 4) == std::vector<std::uint64_t>{3, 5, 2, 1});
  CHECK(drain::SelectForMigration(all, 9).size() == 5);
}

class Calls : public ManagementEvents {
 public:
  ManagementAnswer OnCall(ManagementCall call) override {
    made.push_back(call);
    return {call == ManagementCall::kReady && !ready ? 503 : 200, "told " + std::to_string(made.size())};
  }
  std::vector<ManagementCall> made;
  bool ready = true;
};

class Caller {
 public:
  explicit Caller(int port) : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_port = htons(static_cast<std::uint16_t>(port));
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(fd_, reinterpret_cast<const sockaddr*>(&a), sizeof a) == 0);
    fcntl(fd_, F_SETFL, O_NONBLOCK);
  }
  ~Caller() { close(fd_); }
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;
  void Send(std::string_view text) const {
    REQUIRE(send(fd_, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
  }
  void Half() const { shutdown(fd_, SHUT_WR); }
  void Read() {
    std::array<char, 4096> buffer{};
    for (;;) {
      const ssize_t n = recv(fd_, buffer.data(), buffer.size(), 0);
      if (n > 0) {
        in.append(buffer.data(), static_cast<std::size_t>(n));
        continue;
      }
      ended = ended || n == 0 || errno != EAGAIN;
      return;
    }
  }
  std::string in;
  bool ended = false;

 private:
  int fd_;
};

class Second {
 public:
  Second() : management_(loop_, calls_) { management_.Listen(*Address::Parse("127.0.0.1:0")); }
  // Turns the loop until the caller has seen the end of its connection, or 2 s of the wall have passed.
  std::string Ask(Caller& c) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(2);
    while (!c.ended && std::chrono::steady_clock::now() < end) {
      loop_.Poll();
      c.Read();
    }
    REQUIRE(c.ended);
    return c.in;
  }
  std::string Call(std::string_view request) {
    Caller c(management_.Port());
    c.Send(request);
    return Ask(c);
  }
  void Turns(int n) {
    for (int k = 0; k < n; ++k) loop_.Poll();
  }

  EventLoop loop_{Clock::Mode::kManual};
  Calls calls_;
  Management management_;
};

TEST_CASE_METHOD(Second, "each call is answered once with a length and the connection's end") {
  const std::string ready = Call("GET /v1/readyz HTTP/1.1\r\nHost: relay\r\n\r\n");
  CHECK_THAT(ready, Catch::StartsWith("HTTP/1.1 200 OK\r\n"));
  CHECK_THAT(ready, Catch::Contains("Content-Length: 7\r\n") && Catch::Contains("Connection: close\r\n"));
  CHECK_THAT(ready, Catch::EndsWith("\r\n\r\ntold 1\n"));
  calls_.ready = false;
  CHECK_THAT(Call("GET /v1/readyz HTTP/1.1\r\n\r\n"), Catch::StartsWith("HTTP/1.1 503 "));
  CHECK_THAT(Call("POST /v1/relay/drain HTTP/1.1\r\nContent-Length: 0\r\n\r\n"),
             Catch::StartsWith("HTTP/1.1 200"));
  CHECK_THAT(Call("POST /v1/relay/activate HTTP/1.0\r\n\r\n"), Catch::StartsWith("HTTP/1.1 200"));
  CHECK(calls_.made == std::vector{ManagementCall::kReady, ManagementCall::kReady, ManagementCall::kDrain,
                                   ManagementCall::kActivate});
  CHECK(management_.Counts().answered == 3);
}

TEST_CASE_METHOD(Second, "unknown paths, wrong methods and malformed or oversized requests harm nothing") {
  CHECK_THAT(Call("GET /v1/nothing HTTP/1.1\r\n\r\n"), Catch::StartsWith("HTTP/1.1 404 "));
  const std::string wrong = Call("DELETE /v1/metrics HTTP/1.1\r\n\r\n");
  CHECK_THAT(wrong, Catch::StartsWith("HTTP/1.1 405 ") && Catch::Contains("Allow: GET\r\n"));
  CHECK_THAT(Call("garbage\r\n\r\n"), Catch::StartsWith("HTTP/1.1 400 "));
  CHECK_THAT(Call("GET /v1/readyz HTTP/1.1\r\nX-Big: " + std::string(9000, 'x') + "\r\n\r\n"),
             Catch::StartsWith("HTTP/1.1 400 "));
  CHECK_THAT(Call("GET /" + std::string(3000, 'p') + " HTTP/1.1\r\n\r\n"),
             Catch::StartsWith("HTTP/1.1 400 "));
  CHECK_THAT(
      Call("POST /v1/relay/drain HTTP/1.1\r\nContent-Length: 100000\r\n\r\n" + std::string(17000, 'b')),
      Catch::StartsWith("HTTP/1.1 413 "));
  CHECK(calls_.made.empty());
  CHECK(management_.Counts().malformed == 4);
  CHECK(management_.Counts().refused == 2);
  CHECK_THAT(Call("GET /v1/metrics HTTP/1.1\r\n\r\n"), Catch::StartsWith("HTTP/1.1 200 "));
}

TEST_CASE_METHOD(Second, "a request in pieces is answered once whole, and a second one behind it is not") {
  Caller c(management_.Port());
  const std::string request = "GET /v1/metrics HTTP/1.1\r\nHost: r\r\n\r\nGET /v1/readyz HTTP/1.1\r\n\r\n";
  for (const char byte : request.substr(0, 20)) {
    c.Send(std::string(1, byte));
    Turns(2);
  }
  CHECK(calls_.made.empty());
  c.Send(request.substr(20));
  const std::string answer = Ask(c);
  CHECK(calls_.made == std::vector{ManagementCall::kMetrics});
  CHECK(answer.find("HTTP/1.1", 1) == std::string::npos);
}

TEST_CASE_METHOD(Second, "callers that never finish are closed in time and make way for one that asks") {
  std::vector<std::unique_ptr<Caller>> silent;
  for (std::size_t k = 0; k < Management::kMostCallers; ++k) {
    silent.push_back(std::make_unique<Caller>(management_.Port()));
    silent.back()->Send("GET /v1/rea");
  }
  Turns(20);
  CHECK_THAT(Call("GET /v1/readyz HTTP/1.1\r\n\r\n"), Catch::StartsWith("HTTP/1.1 200 "));
  CHECK(management_.Counts().crowded_out >= 1);
  CHECK(silent.front()->in.empty());
  loop_.clock.Advance(Management::kHeadWait + milliseconds(1));
  for (auto& s : silent) Ask(*s);
  CHECK(management_.Counts().unfinished + management_.Counts().crowded_out == Management::kMostCallers);
}

TEST_CASE_METHOD(Second,
                 "a caller that ends its sending after a request is answered, before one is told so") {
  Caller whole(management_.Port());
  whole.Send("GET /v1/readyz HTTP/1.1\r\n\r\n");
  whole.Half();
  CHECK_THAT(Ask(whole), Catch::StartsWith("HTTP/1.1 200 "));
  Caller cut(management_.Port());
  cut.Send("GET /v1/ready");
  cut.Half();
  CHECK_THAT(Ask(cut), Catch::StartsWith("HTTP/1.1 400 "));
  CHECK(calls_.made.size() == 1);
}

}  // namespace
}  // namespace stoatrun
