// Simulated clients: open connections to each relay as a Poisson process, and close them after a random time.
#ifndef STOATRUN_FAULT_INJECTION_FAKE_CLIENTS_H_
#define STOATRUN_FAULT_INJECTION_FAKE_CLIENTS_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "harness.h"

namespace stoatrun::fault_injection {

// Runs on the harness's loop; not thread-safe.
class FakeClients {
 public:
  // Opens nothing before Start.
  explicit FakeClients(Harness& harness) : harness_(harness), clients_(harness.relays.size()) {}

  // Opens connections to the relay from now to the end of the run.
  void Start(ManagedRelay& relay) { ScheduleNext(relay); }
  // Records the number of connections whose state the relay may not have observed: those whose request it may
  // not have read, and those that were opened or closed just now. To be called when the relay is paused or
  // has ended.
  void RecordUncertain(const ManagedRelay& relay);
  // Drops the connections to a relay whose run has ended.
  void OnRunEnded(const ManagedRelay& relay);
  // Drops all connections, at the end of a run.
  void CloseAll();

 private:
  enum class Outcome { kServed, kRejected, kFailed };

  struct Connection {
    std::string id;
    std::shared_ptr<LineConnection> stream;
    std::string group;         // Empty if it has none.
    bool requested = false;    // OPEN was sent.
    bool established = false;  // OPEN was answered with UP.
    bool ended = false;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  struct RelayClients {
    std::vector<ConnectionPtr> connections;
    std::deque<Micros> changed_at;  // When its latest connections were opened or closed.
  };

  RelayClients& ClientsOf(const ManagedRelay& relay) { return clients_[relay.index]; }
  void ScheduleNext(ManagedRelay& relay);
  void Open(ManagedRelay& relay);
  void SendOpenRequest(ManagedRelay& relay, const ConnectionPtr& connection, std::uint64_t run);
  void OnLine(ManagedRelay& relay, const ConnectionPtr& connection, std::string_view line);
  void OnPeerClosed(ManagedRelay& relay, const ConnectionPtr& connection);
  // Closes an established connection from the client's side; while the relay is paused, waits for it to
  // resume.
  void CloseByClient(ManagedRelay& relay, const ConnectionPtr& connection, std::uint64_t run);
  void RecordChange(const ManagedRelay& relay);
  void RecordEnd(const ManagedRelay& relay, Connection& connection, Outcome outcome);
  void Remove(const ManagedRelay& relay, const ConnectionPtr& connection);

  Harness& harness_;
  std::vector<RelayClients> clients_;  // By relay.
  std::uint64_t last_id_ = 0;
};

}  // namespace stoatrun::fault_injection

#endif  // STOATRUN_FAULT_INJECTION_FAKE_CLIENTS_H_
