// Shares the endpoint list between the processes of one relay, while one replaces the other: what one of them
// has been told counts for all. Each process publishes its list in a file, and follows what others publish.
//
// Runs on the event loop's thread. The file is small and usually in memory; it is written after a change, and
// at least every 2 s. Failures are logged and don't disturb the process.
#ifndef STOATRUN_ENDPOINT_ENDPOINT_LIST_SHARING_H_
#define STOATRUN_ENDPOINT_ENDPOINT_LIST_SHARING_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "base/event_loop.h"
#include "base/replaceable_file.h"
#include "base/timer_queue.h"
#include "endpoint/discovery_client.h"
#include "endpoint/endpoint_list.h"
#include "endpoint/endpoint_snapshot.h"
#include "endpoint/endpoint_update.h"

namespace stoatrun {

// The file of a relay.
struct EndpointListFile {
  std::string path;
  SnapshotOrigin origin;
};

// Used by the event loop's thread only.
class EndpointListSharing {
 public:
  // `file`: nullopt: the list is not shared, and no method has an effect. `loop` must outlive the object.
  EndpointListSharing(EventLoop& loop, const std::optional<EndpointListFile>& file);

  // The list that another process has published lately; nullopt if there is none.
  std::optional<EndpointSnapshot> Load();
  // Begins to follow other processes and to publish the list of `discovery`. `apply` puts a list that another
  // process has been told into effect.
  void Start(DiscoveryClient& discovery, std::function<void(const EndpointUpdate&)> apply);
  // An update has been put into effect, whatever its source.
  void OnUpdateApplied(const EndpointUpdate& update);
  // Publishes what has changed since the last time.
  void Publish();
  // Whether another process may depend on what discovery tells this one: none has lately published a list
  // that discovery sent to itself.
  bool IsOnlySource() const;

 private:
  void Step();
  void Follow();
  // Whether `other` lacks changes that this process has been told.
  bool IsBehind(const EndpointSnapshot& other) const;
  std::optional<EndpointSnapshot> ReadIfReplaced();
  bool IsPublicationDue(const DiscoveryClient::ListStatus& status) const;
  EndpointSnapshot MakeSnapshot(const DiscoveryClient::ListStatus& status) const;
  void LogFailure(const char* event, const std::string& reason);

  EventLoop& loop_;
  std::optional<ReplaceableFile> file_;
  const SnapshotOrigin origin_;
  DiscoveryClient* discovery_ = nullptr;  // Set by Start.
  std::function<void(const EndpointUpdate&)> apply_;
  Timer next_step_;

  EndpointList list_;          // The current one.
  std::uint64_t updates_ = 0;  // Applied to the list.

  // The latest publication of this process.
  std::optional<DiscoveryClient::ListStatus> published_status_;
  std::uint64_t published_updates_ = 0;
  Micros written_at_{0};  // The latest publication of any process.
  // The latest one of another process.
  Micros other_written_at_{0};
  std::string other_discovery_;
  Micros other_service_since_{0};
  std::string last_failure_;  // Logged; empty after a success.
};

}  // namespace stoatrun

#endif  // STOATRUN_ENDPOINT_ENDPOINT_LIST_SHARING_H_
