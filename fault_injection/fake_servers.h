// Simulated servers. Every server has a separate address for each relay. From it the harness knows which
// relay makes an attempt, and can record the use of quotas without asking the relay.
#ifndef STOATRUN_FAULT_INJECTION_FAKE_SERVERS_H_
#define STOATRUN_FAULT_INJECTION_FAKE_SERVERS_H_

#include <cstddef>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "harness.h"

namespace stoatrun::fault_injection {

// Runs on the harness's loop; not thread-safe.
class FakeServers {
 public:
  // Listens for all relays. Throws std::system_error.
  explicit FakeServers(Harness& harness);
  // Drops all connections, at the end of a run.
  void CloseAll();

 private:
  // A relay's connection to a server.
  struct Attempt {
    std::shared_ptr<LineConnection> stream;
    ManagedRelay* relay = nullptr;
    std::string group;        // The client's group, once the connection is established.
    bool holds_unit = false;  // Holds a unit of its group's quota.
    bool ended = false;
  };

  void Listen(ManagedRelay& relay, std::size_t server);
  void Accept(ManagedRelay& relay, std::size_t server, int fd);
  void OnLine(FakeServer& server, const std::shared_ptr<Attempt>& attempt, std::string_view line);
  void OnOpen(FakeServer& server, const std::shared_ptr<Attempt>& attempt, std::string_view line);
  // Answers a probe with a load report.
  void SendLoadReport(Attempt& attempt) const;
  void AcquireUnit(Attempt& attempt, const std::string& group);
  void OnAttemptEnded(const std::shared_ptr<Attempt>& attempt);
  // Ends attempts that their relay has closed but whose end of stream was not read yet. A relay may acquire a
  // unit right after it releases one; the release must be recorded first.
  void EndClosedAttempts();

  Harness& harness_;
  std::vector<std::unique_ptr<DescriptorWatcher>> listeners_;
  std::vector<std::shared_ptr<Attempt>> attempts_;
  std::set<std::string> attempted_requests_;  // Any further attempt of the same request is a retry.
};

}  // namespace stoatrun::fault_injection

#endif  // STOATRUN_FAULT_INJECTION_FAKE_SERVERS_H_
