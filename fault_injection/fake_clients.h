// Clients that the harness plays: opens connections at each relay at a mean rate, and closes them after a
// while.
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
  explicit FakeClients(Harness& harness) : harness_(harness), load_(harness.relays.size()) {}

  // Begins to open connections at the relay, and goes on for the rest of the run.
  void Start(ManagedRelay& relay) { ScheduleNext(relay); }
  // Records of how many connections it can't be known what the relay saw of them: those whose request it may
  // not have read, and those that have just come or gone. To be called when it is stopped or killed.
  void RecordUncertain(const ManagedRelay& relay);
  // Drops the relay's connections when its run has ended.
  void OnRunEnded(const ManagedRelay& relay);
  // Drops all connections, at the end of a run.
  void CloseAll();

 private:
  enum class Outcome { kServed, kRejected, kFailed };

  struct Connection {
    std::string id;
    std::shared_ptr<LineConnection> lines;
    std::string group;         // Empty: none.
    bool requested = false;    // Its OPEN was sent.
    bool established = false;  // Its OPEN was answered with UP.
    bool over = false;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  struct RelayLoad {
    std::vector<ConnectionPtr> connections;
    std::deque<Micros> changed_at;  // When its latest connections came or went.
  };

  RelayLoad& LoadOf(const ManagedRelay& relay) { return load_[relay.index]; }
  void ScheduleNext(ManagedRelay& relay);
  void Open(ManagedRelay& relay);
  void SendRequest(ManagedRelay& relay, const ConnectionPtr& connection, std::uint64_t run);
  void OnLine(ManagedRelay& relay, const ConnectionPtr& connection, std::string_view line);
  void OnPeerClosed(ManagedRelay& relay, const ConnectionPtr& connection);
  // The client closes an established connection; a paused relay's clients wait for it.
  void Leave(ManagedRelay& relay, const ConnectionPtr& connection, std::uint64_t run);
  void RecordChange(const ManagedRelay& relay);
  void RecordEnd(const ManagedRelay& relay, Connection& connection, Outcome outcome);
  void Remove(const ManagedRelay& relay, const ConnectionPtr& connection);

  Harness& harness_;
  std::vector<RelayLoad> load_;  // By relay.
  std::uint64_t last_id_ = 0;
};

}  // namespace stoatrun::fault_injection

#endif  // STOATRUN_FAULT_INJECTION_FAKE_CLIENTS_H_
