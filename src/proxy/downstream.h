// The downstream side: takes client connections, reads their first line, answers them and ends them.
#ifndef STOATRUN_PROXY_DOWNSTREAM_H_
#define STOATRUN_PROXY_DOWNSTREAM_H_

#include <ev.h>

#include <cstddef>
#include <list>
#include <string_view>

#include "base/counters.h"
#include "base/event_loop.h"
#include "base/log.h"
#include "base/slot_map.h"
#include "base/tcp_connection.h"
#include "proxy/line_protocol.h"

namespace stoatrun {

class DownstreamEvents {
 public:
  virtual ~DownstreamEvents() = default;
  // Why a first line of the right form is no request here; empty: it is one.
  virtual std::string_view Validate(const OpenHead& head) = 0;
  // Gives the number by which the client's further events name it. The head's views are good until Up or End.
  virtual SlotId OnOpen(SlotId client, const OpenHead& head) = 0;
  // Of a client that was opened: bytes or the end of its sending, and room for more.
  virtual void OnClientBytes(SlotId owner) = 0;
  virtual void OnClientEnd(SlotId owner, ConnectionEnd end) = 0;
  virtual void OnClientWritable(SlotId owner) = 0;
  // A first line of the right form that is turned away for want of descriptors.
  virtual void OnNoRoom(const OpenHead& /*head*/) {}
};

class Downstream : public TcpConnectionHandler {
 public:
  // `descriptors`: what the whole relay may hold.
  Downstream(EventLoop& loop, DownstreamEvents& events, Counters& counters, std::size_t descriptors);
  ~Downstream() override;
  Downstream(const Downstream&) = delete;
  Downstream& operator=(const Downstream&) = delete;

  void Listen(const Address& address);  // Throws std::system_error.
  // Takes a listening socket that the platform holds and hands to each process in turn. Throws ConfigError if
  // `fd` is no listening TCP socket over IPv4.
  void AdoptListener(int fd);
  bool Inherited() const { return inherited_; }
  // What PING is answered: PONG while the front may send clients here, ERR while not.
  void SetHealthy(bool yes) { says_yes_ = yes; }
  // Ends the taking of clients. Of a socket of its own the queue is emptied first, for closing it would reset
  // those who wait there; an inherited one keeps them for the process that comes next.
  void StopListening();
  int Port() const;

  TcpConnection* Find(SlotId client);
  // The first line is answered: what the client sends from here on is its own.
  void Up(SlotId client, std::string_view line);
  // Sends a last line (or none) and ends the connection in order.
  void End(SlotId client, std::string_view last_line);
  void Reset(SlotId client);
  // Is anyone there that may yet ask, or is owed an answer or the rest of one? Callers that have said nothing
  // of use for a while and those that do not end are not waited for.
  bool Asking();
  // A planned end: who has rested for a while without a first line is told to come again and ended in order,
  // so that a request in that moment finds an answer. Who has sent a part of one only where nobody
  // `else_asks`.
  void EndResting(bool else_asks);

  void OnData(SlotId id) override;
  void OnInputDiscarded(SlotId id, std::size_t size) override;
  void OnEnd(SlotId id, ConnectionEnd end) override;
  void OnPeerClosing(SlotId id) override;
  void OnWritable(SlotId id) override;

 private:
  struct Client {
    Client(SlotId slot, Downstream& all)
        : id(slot),
          stream(all.loop_, all, slot),
          deadline(all.loop_.timers, [&all, slot] { all.Due(slot); }) {}
    enum class State { kHead, kOpened, kEnding };
    SlotId id, owner;
    TcpConnection stream;
    Timer deadline;
    State state = State::kHead;
    std::list<SlotId>::iterator place{};  // Among the callers or the ending.
    Micros since{0};                      // Accepted, or ended by us.
    std::size_t head_size = 0, dropped = 0;
  };

  static void OnAccept(struct ev_loop* loop, ev_io* w, int events);
  bool Accept();             // False: nobody waits any more, or none can be taken now.
  bool RejectForCapacity();  // False: nobody waited.
  void Due(SlotId id);
  void ReadHead(Client& c);
  void Malformed(Client& c, std::string_view why);
  bool CanAccept() const;  // Are there descriptors for one more client and its attempt?
  void EvictOldest();
  void Erase(Client& c);

  EventLoop& loop_;
  DownstreamEvents& events_;
  Counters& counters_;
  ev_io accept_{};
  int fd_ = -1;
  bool inherited_ = false;
  bool says_yes_ = true;
  int spare_fd_ = -1;
  const std::size_t descriptors_;
  SlotMap<Client> clients_;
  std::list<SlotId> callers_, ending_;  // Without a first line, and answered; oldest first.
  LogRateLimiter bad_lines_, wants_;
};

}  // namespace stoatrun

#endif  // STOATRUN_PROXY_DOWNSTREAM_H_
