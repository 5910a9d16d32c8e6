// The discovery client: maintains a watch on the endpoint list, and renews it when it ends, fails or times
// out.
//
// Calls are spread over time, because all proxies share the service, but never so far that an answer could
// arrive after the platform assumes that the proxy knows the changes (see UpdateDeadline). After a reload the
// old address's watch stays in use until the new address sends its first event. The current endpoint list
// remains in effect while there is no watch. All calls and callbacks happen on the event loop's thread;
// nothing throws.
#ifndef STOATRUN_ENDPOINT_DISCOVERY_CLIENT_H_
#define STOATRUN_ENDPOINT_DISCOVERY_CLIENT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/backoff.h"
#include "base/counters.h"
#include "base/event_loop.h"
#include "base/slot_map.h"
#include "base/tcp_connection.h"
#include "endpoint/endpoint_snapshot.h"
#include "endpoint/endpoint_update.h"
#include "endpoint/update_deadline.h"
#include "endpoint/watch_call.h"

namespace stoatrun {

// Receives endpoint updates and watch failures.
class DiscoveryListener {
 public:
  virtual ~DiscoveryListener() = default;
  // An update was received. The listener may call Watch and ChangeAddress.
  virtual void OnEndpointUpdate(const EndpointUpdate& update) = 0;
  // The first call made after Watch has failed.
  virtual void OnWatchFailed() = 0;
};

// The client of one discovery service.
class DiscoveryClient : public WatchCallHandler {
 public:
  // Determines the delays between calls.
  struct CallPacing {
    std::uint32_t callers = 1;      // Proxies that share the service, including this one.
    std::uint64_t jitter_seed = 0;  // Seed of the backoff's jitter.
    Micros max_delay{6'000'000};    // Maximum delay between two calls.
    ListSource source = ListSource::kSharedService;
  };

  // `host`: the value of the Host header. `known_revision`: the revision of the current endpoint list; 0:
  // none. The references must outlive the client, and the loop must not run after the client's destruction.
  DiscoveryClient(EventLoop& loop, DiscoveryListener& listener, Counters& counters, const Address& address,
                  std::string host, std::uint64_t known_revision, const CallPacing& pacing);

  // Where the current list comes from, and how fresh it is.
  struct ListStatus {
    std::string discovery;    // The address of the service that sent it.
    Micros service_since{0};  // When this client began to use its present service.
    std::uint64_t revision = 0;
    ListFreshness freshness;
    bool from_own_call = false;  // The service has sent an event to this client, not only to another process.

    friend bool operator==(const ListStatus&, const ListStatus&) = default;
  };
  // nullopt as long as nothing shows that the list was ever current.
  std::optional<ListStatus> Status() const;

  // Takes note of the list that another process of this relay has: what that process was told counts as known
  // here, too. Returns whether the caller has to put that list into effect.
  bool OnOtherProcess(const EndpointSnapshot& other);
  // The process counts as ready from now on; see UpdateDeadline.
  void OnReady() { deadline_.OnReady(loop_.Now()); }
  // Whether the service has sent an event to this client.
  bool HasReceivedEvent() const { return has_event_; }

  // Starts to maintain a watch. Each call of Watch is followed by one OnEndpointUpdate or OnWatchFailed.
  void Watch();
  // Switches to another address. The current endpoint list remains in effect until the new address responds.
  void ChangeAddress(const Address& address, std::string host);

  // Whether the list may lack changes that the platform assumes the proxy to know; see UpdateDeadline.
  bool IsListOverdue();

  void OnCallEvent(WatchCall& call) override;
  void OnCallUpdate(WatchCall& call, const EndpointUpdate& update) override;
  void OnCallUnanswered(WatchCall& call) override;
  void OnCallFailed(WatchCall& call, WatchFailure failure) override;

 private:
  bool HasCallToCurrentAddress();
  bool IsNewerThanList(const EndpointSnapshot& other) const;
  void ScheduleFirstCall();
  void ScheduleRetry(const WatchCall& call, WatchFailure failure);
  void StartCall();
  void LimitPendingCalls();
  void CloseCallsExcept(SlotId remaining);

  EventLoop& loop_;
  DiscoveryListener& listener_;
  Counters& counters_;
  Address address_;
  std::string host_;
  const Micros answer_timeout_;
  std::uint64_t revision_;  // Of the current list; 0 if it came from another address.
  // The current list.
  std::string list_host_;        // The address that sent it.
  std::uint64_t list_revision_;  // As that address counts.
  bool has_event_ = false;       // Some call has had one.
  // The revision of a list that another process received from the present address; 0: none.
  std::uint64_t other_process_revision_ = 0;
  Micros service_since_;  // The present address is used since then.
  // The established watch and the calls that have had no event yet. There are several calls if one was not
  // answered in time, or after a reload.
  SlotMap<WatchCall> calls_;
  SlotId watch_;  // The call that has delivered events; null if there is none.
  Timer next_call_;
  Backoff backoff_;
  UpdateDeadline deadline_;
  bool watching_ = false;
  bool overdue_logged_ = false;  // Since the last event.
  bool response_due_ = false;    // The last call of Watch has had no update or failure yet.
  Micros last_event_at_;         // Over all calls; initially the time of the construction.
};

}  // namespace stoatrun

#endif  // STOATRUN_ENDPOINT_DISCOVERY_CLIENT_H_
