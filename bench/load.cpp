// Load test of one relay over loopback. Starts the relay, upstream servers and clients on one machine, and
// prints one JSON object: CPU time per connection set-up and per line, round-trip times of lines, and memory
// per established connection.
//
//   stoatrun_load --relay build/stoatrun [--arg A]... [--setups N] [--standing N] [--lines N] [--preload SO]
//
// Ends after the given numbers of set-ups, connections and lines, or with exit code 1 after --seconds.
// Single-threaded.
#include <fmt/format.h>
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <iostream>
#include <stdexcept>
#include <string_view>
#include <vector>

#include "load_traffic.h"
#include "relay_under_test.h"

namespace stoatrun::bench {
namespace {

using Clock = std::chrono::steady_clock;

constexpr double kMicrosPerSecond = 1e6;
constexpr int kMaxPendingSetups = 32;  // Clients that may wait for an answer at the same time.
// The first client identifiers of each phase; set-ups begin at 0.
constexpr int kFirstEstablishedId = 1'000'000, kFirstEstablishedRetryId = 2'000'000,
              kFirstSetupRetryId = 3'000'000;

struct Options {
  RelayCommand relay;
  int setups = 4000, established = 500, lines = 20000, servers = 40, seconds = 120, rate = 130;
};

std::int64_t MicrosSince(Clock::time_point start) {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - start).count();
}

// Runs the phases of the test: set-ups, then established connections, then lines on those connections.
class LoadTest {
 public:
  explicit LoadTest(const Options& options) : options_(options), started_at_(Clock::now()) {}

  void Run() {
    StartRelay();
    const std::int64_t memory_before = relay_.ResidentKib();
    MeasureSetups();
    EstablishConnections();
    const std::int64_t memory_after = relay_.ResidentKib();
    MeasureRoundTrips();
    std::cout << fmt::format(
        R"({{"answer_cpu_us":{:.2f},"set_ups_a_second":{:.0f},"declined":{},)"
        R"("trip_p50_us":{},"trip_p99_us":{},)"
        R"("line_cpu_us":{:.2f},"standing_kb_each":{:.2f},"rss_kb":{}}})"
        "\n",
        answer_cpu_us_, setups_per_second_, rejected_, RoundTripQuantile(0.5), RoundTripQuantile(0.99),
        line_cpu_us_, static_cast<double>(memory_after - memory_before) / options_.established, memory_after);
  }

 private:
  void StartRelay() {
    std::vector<int> server_ports;
    server_ports.reserve(static_cast<std::size_t>(options_.servers));
    for (int k = 0; k < options_.servers; ++k) server_ports.push_back(traffic_.AddServer());
    relay_.Start(options_.relay, server_ports);
  }

  void Open(int id) { traffic_.OpenClient(relay_.Port(), id); }

  void PollOnce(const LoadTraffic::LineHandler& on_line) {
    if (MicrosSince(started_at_) > std::int64_t{options_.seconds} * 1'000'000) {
      throw std::runtime_error(fmt::format("the test did not finish within {} s", options_.seconds));
    }
    traffic_.PollOnce(on_line);
  }

  // Opens connections and closes each as soon as it is answered. Paced at --rate, because servers accept a
  // limited number of set-ups between two load reports; a client rejected with BUSY is retried later.
  void MeasureSetups() {
    const double cpu_before = relay_.CpuMicros();
    const auto began_at = Clock::now();
    int opened = 0, established = 0, retried = 0;
    while (established < options_.setups) {
      const auto due = static_cast<std::int64_t>(static_cast<double>(MicrosSince(began_at)) * options_.rate /
                                                 kMicrosPerSecond);
      for (; opened + rejected_ - retried < due && opened - established < kMaxPendingSetups &&
             opened < options_.setups;
           ++opened) {
        Open(opened);
      }
      for (; retried < rejected_ && opened + retried < due; ++retried) Open(kFirstSetupRetryId + retried);
      PollOnce([&](Socket& client, std::string_view line) {
        ++(line.starts_with("UP") ? established : rejected_);
        LoadTraffic::Close(client);
      });
    }
    answer_cpu_us_ = (relay_.CpuMicros() - cpu_before) / (options_.setups + rejected_);
    setups_per_second_ = options_.setups * kMicrosPerSecond / static_cast<double>(MicrosSince(began_at));
  }

  // Opens the connections that stay open for the rest of the test.
  void EstablishConnections() {
    int opened = 0, established = 0;
    while (established < options_.established) {
      while (opened - established < kMaxPendingSetups && opened < options_.established) {
        Open(kFirstEstablishedId + opened++);
      }
      PollOnce([&](Socket& client, std::string_view line) {
        if (!line.starts_with("UP")) {
          LoadTraffic::Close(client);
          Open(kFirstEstablishedRetryId + ++rejected_);
          return;
        }
        client.established = true;
        ++established;
      });
    }
  }

  // Sends one line at a time, round-robin over the established connections, and waits for each echo.
  void MeasureRoundTrips() {
    const std::vector<Socket*> clients = traffic_.EstablishedClients();
    const double cpu_before = relay_.CpuMicros();
    for (int k = 0; k < options_.lines; ++k) {
      const Socket& sender = *clients[static_cast<std::size_t>(k) % clients.size()];
      const auto sent_at = Clock::now();
      LoadTraffic::Send(sender, "M 1 tick\r\n");
      bool answered = false;
      while (!answered) {
        PollOnce([&](const Socket& client, std::string_view /*line*/) {
          if (&client != &sender) return;
          answered = true;
          round_trips_us_.push_back(MicrosSince(sent_at));
        });
      }
    }
    line_cpu_us_ = (relay_.CpuMicros() - cpu_before) / options_.lines;
    std::sort(round_trips_us_.begin(), round_trips_us_.end());
  }

  std::int64_t RoundTripQuantile(double quantile) const {
    return round_trips_us_[static_cast<std::size_t>(quantile *
                                                    static_cast<double>(round_trips_us_.size() - 1))];
  }

  const Options& options_;
  const Clock::time_point started_at_;
  RelayUnderTest relay_;
  LoadTraffic traffic_;
  int rejected_ = 0;  // Clients whose first line was not UP: the relay rejected them, for example with BUSY.
  double answer_cpu_us_ = 0, setups_per_second_ = 0, line_cpu_us_ = 0;
  std::vector<std::int64_t> round_trips_us_;
};

void RaiseFileDescriptorLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
  }
}

}  // namespace
}  // namespace stoatrun::bench

int main(int argc, char** argv) {
  stoatrun::bench::Options options;
  CLI::App app("Load test of one relay over loopback", "stoatrun_load");
  app.add_option("--relay", options.relay.program, "path to the relay binary")->required();
  app.add_option("--arg", options.relay.args, "argument for the relay; repeatable");
  app.add_option("--preload", options.relay.preload, "shared object to preload into the relay");
  app.add_option("--setups", options.setups, "number of connection set-ups to measure");
  app.add_option("--standing", options.established, "number of connections kept open");
  app.add_option("--rate", options.rate, "connection set-ups per second");
  app.add_option("--lines", options.lines, "number of line round trips to measure");
  app.add_option("--seconds", options.seconds, "time limit for the whole test");
  CLI11_PARSE(app, argc, argv);
  stoatrun::bench::RaiseFileDescriptorLimit();
  std::signal(SIGPIPE, SIG_IGN);
  try {
    stoatrun::bench::LoadTest(options).Run();
    return 0;
  } catch (const std::exception& e) {
    std::cerr << "stoatrun_load: " << e.what() << '\n';
    return 1;
  }
}
