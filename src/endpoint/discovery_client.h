// Discovery: holds a watch on the list of upstream hosts and renews it when it ends, fails or falls silent.
#ifndef STOATRUN_ENDPOINT_DISCOVERY_CLIENT_H_
#define STOATRUN_ENDPOINT_DISCOVERY_CLIENT_H_

#include <http_parser.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "base/backoff.h"
#include "base/counters.h"
#include "base/event_loop.h"
#include "base/slot_map.h"
#include "base/tcp_connection.h"
#include "endpoint/endpoint_update.h"
#include "endpoint/json_framing.h"

namespace stoatrun {

class DiscoveryEvents {
 public:
  virtual ~DiscoveryEvents() = default;
  virtual void OnEndpointUpdate(const EndpointUpdate& list) = 0;
  virtual void OnWatchFailed() = 0;
};

class Discovery : public TcpConnectionHandler {
 public:
  struct Callers {             // What paces the calls.
    std::uint32_t relays = 1;  // That share the service, this one included.
    std::uint64_t seed = 0;
    Micros longest_wait{6'000'000};  // Between two calls.
  };

  Discovery(EventLoop& loop, DiscoveryEvents& events, Counters& counters, const Address& address,
            std::string host, std::uint64_t known_revision, const Callers& callers);

  // Keeps a watch from now on. Answered by one OnEndpointUpdate or one OnWatchFailed.
  void Watch();
  // Holds the watch at another address from now on.
  void MoveTo(const Address& address, std::string host);

  void OnConnected(SlotId id) override;
  void OnBytes(SlotId id) override;
  void OnEnd(SlotId id, ConnectionEnd end) override;

 private:
  struct Call {
    Call(SlotId slot, Discovery& all) : id(slot), stream(all.loop_, all, slot) {}
    SlotId id;
    TcpConnection stream;
  };

  void Begin();
  void Connect();
  void Drop();
  void Fail(std::string_view why);
  void FallSilent();
  void Hear();
  void TakeBody(std::string_view body);
  bool TakeObject(std::string_view object);
  static int OnStatus(http_parser* p);
  static int OnBody(http_parser* p, const char* at, std::size_t size);
  static int OnComplete(http_parser* p);

  EventLoop& loop_;
  DiscoveryEvents& events_;
  Counters& counters_;
  Address address_;
  std::string host_;
  std::uint64_t revision_;
  SlotMap<Call> calls_;
  SlotId call_;
  Timer retry_, silence_;
  Backoff backoff_;
  bool watching_ = false, owes_answer_ = false, refused_ = false, ended_ = false, malformed_ = false;
  bool spoke_ = false;  // This call has brought a word.
  Micros heard_{0};     // When the last word of all calls came.
  Micros told_by_{0};   // What a silent call misses counts as told from here on.
  int silences_ = 0;    // Since the last word.
  ObjectFrames frames_;
  http_parser parser_{};
  http_parser_settings parser_settings_{};
};

}  // namespace stoatrun

#endif  // STOATRUN_ENDPOINT_DISCOVERY_CLIENT_H_
