// Servers that the harness plays. Each relay finds every server at an address of its own, so that the
// harness knows which relay makes an attempt, and sees quotas spent and held from outside.
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
    std::shared_ptr<LineConnection> lines;
    ManagedRelay* relay = nullptr;
    std::string group;        // Of the client's connection, once it is established.
    bool holds_unit = false;  // Of its group's quota.
    bool over = false;
  };

  void Listen(ManagedRelay& relay, std::size_t server);
  void Accept(ManagedRelay& relay, std::size_t server, int fd);
  void OnLine(FakeServer& server, const std::shared_ptr<Attempt>& attempt, std::string_view line);
  void OnOpen(FakeServer& server, const std::shared_ptr<Attempt>& attempt, std::string_view line);
  // Answers a probe with a load report.
  void SendLoadReport(Attempt& attempt) const;
  void AcquireUnit(Attempt& attempt, const std::string& group);
  void OnAttemptOver(const std::shared_ptr<Attempt>& attempt);
  // Ends attempts that their relay has closed, though this was not read yet: units that it acquires
  // afterwards must be recorded after those that it released.
  void EndClosedAttempts();

  Harness& harness_;
  std::vector<std::unique_ptr<DescriptorWatcher>> listeners_;
  std::vector<std::shared_ptr<Attempt>> attempts_;
  std::set<std::string> seen_requests_;  // A second attempt of a request is a retry.
};

}  // namespace stoatrun::fault_injection

#endif  // STOATRUN_FAULT_INJECTION_FAKE_SERVERS_H_
