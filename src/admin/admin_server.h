// The second address: the operators' calls over HTTP/1.1, one call a connection.
//
// A caller is answered within the same turn of the loop in which its request is whole, so however busy the
// relay is, the answer waits for nothing but that turn. Callers that never finish a request are bounded in
// number and time: the oldest unfinished one makes way for a new caller, and none is kept past `kHeadWait`.
#ifndef STOATRUN_ADMIN_ADMIN_SERVER_H_
#define STOATRUN_ADMIN_ADMIN_SERVER_H_

#include <ev.h>
#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <string_view>

#include "admin/routes.h"
#include "base/event_loop.h"
#include "base/slot_map.h"
#include "base/tcp_connection.h"

namespace stoatrun {

struct ManagementAnswer {
  int status = 200;
  std::string body;  // Plain text; a line is added at its end if it has none.
};

class ManagementEvents {
 public:
  virtual ~ManagementEvents() = default;
  virtual ManagementAnswer OnCall(ManagementCall call) = 0;
  virtual bool HasFleet() const { return false; }
};

struct ManagementCounts {
  std::uint64_t calls = 0, answered = 0, refused = 0, malformed = 0, unfinished = 0, crowded_out = 0;
};

class Management : public TcpConnectionHandler {
 public:
  // A caller that has sent no whole request by then is closed.
  static constexpr Micros kHeadWait = std::chrono::milliseconds(1500);
  // So many callers at once; the next one makes the oldest unfinished one go.
  static constexpr std::size_t kMostCallers = 16;
  static constexpr std::size_t kMostHead = std::size_t{8} * 1024;
  static constexpr std::size_t kMostBody = std::size_t{16} * 1024;

  Management(EventLoop& loop, ManagementEvents& events);
  ~Management() override;
  Management(const Management&) = delete;
  Management& operator=(const Management&) = delete;

  void Listen(const Address& address);  // Throws std::system_error.
  void Stop();
  int Port() const;
  const ManagementCounts& Counts() const { return counts_; }

  void OnData(SlotId id) override;
  void OnEnd(SlotId id, ConnectionEnd end) override;
  void OnWritable(SlotId id) override;

 private:
  struct Caller {
    Caller(SlotId slot, Management& all);
    SlotId id;
    Management& all;
    TcpConnection stream;
    Timer deadline;
    http_parser parser{};
    std::string method, target;
    std::size_t head = 0, body = 0;
    bool head_done = false, answered = false;
    std::list<SlotId>::iterator place{};  // Among the unanswered, oldest first.
  };

  static void OnAccept(struct ev_loop* loop, ev_io* w, int events);
  void Accept();
  void Answer(Caller& c, int status, std::string_view body, std::string_view allow = {});
  void Drop(Caller& c);
  void Due(SlotId id);
  static Caller& Of(http_parser* p) { return *static_cast<Caller*>(p->data); }
  static int OnUrl(http_parser* p, const char* at, std::size_t size);
  static int OnHeaderPart(http_parser* p, const char* at, std::size_t size);
  static int OnHeadersComplete(http_parser* p);
  static int OnBody(http_parser* p, const char* at, std::size_t size);
  static int OnMessageComplete(http_parser* p);

  EventLoop& loop_;
  ManagementEvents& events_;
  ev_io accept_{};
  int fd_ = -1;
  SlotMap<Caller> callers_;
  std::list<SlotId> unanswered_;
  http_parser_settings settings_{};
  ManagementCounts counts_;
};

}  // namespace stoatrun

#endif  // STOATRUN_ADMIN_ADMIN_SERVER_H_
