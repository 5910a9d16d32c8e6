// The downstream side: client connections. Reads a client's request line, passes it on as a session, answers
// health checks, and ends connections so that the last answer reaches the client.
//
// Used by the event loop's thread only.
#ifndef STOATRUN_PROXY_DOWNSTREAM_H_
#define STOATRUN_PROXY_DOWNSTREAM_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <string_view>

#include "base/counters.h"
#include "base/event_loop.h"
#include "base/log.h"
#include "base/slot_map.h"
#include "base/tcp_connection.h"
#include "base/unique_fd.h"
#include "proxy/line_protocol.h"
#include "proxy/listener.h"

namespace stoatrun {

// Why a well-formed request is not valid here.
enum class OpenRequestError : std::uint8_t { kUnknownClass, kDuplicateId };

// Receives what clients request and send. `owner` is the id that OnOpen returned for the client.
class DownstreamEvents {
 public:
  virtual ~DownstreamEvents() = default;
  // Checks a well-formed request; nullopt: it is valid.
  virtual std::optional<OpenRequestError> Validate(const OpenRequest& request) = 0;
  // Takes over a valid request and returns the id for the client's further events. The views in `request`
  // stay valid until Establish or End is called for the client.
  virtual SlotId OnOpen(SlotId client, const OpenRequest& request) = 0;
  // The client sent bytes.
  virtual void OnClientBytes(SlotId owner) = 0;
  // The client ended its sending, or its connection broke.
  virtual void OnClientEnd(SlotId owner, ConnectionEnd end) = 0;
  // All output to the client is written.
  virtual void OnClientWritable(SlotId owner) = 0;
  // A valid request was rejected because too few descriptors are left.
  virtual void OnRejectedForCapacity(const OpenRequest& /*request*/) {}
};

// Owns the listener and all client connections.
class Downstream : public TcpConnectionHandler, private ListenerEvents {
 public:
  // All references must outlive the object. `descriptor_limit`: descriptors that the whole process may use.
  Downstream(EventLoop& loop, DownstreamEvents& events, Counters& counters, std::size_t descriptor_limit);

  // The listening socket: see the methods of Listener. Listen and AdoptListener throw.
  void Listen(const Address& address) { listener_.Listen(address); }
  // Takes over a listening socket of the platform's.
  void AdoptListener(int fd) { listener_.Adopt(fd); }
  // Accepts no further clients.
  void StopListening() { listener_.Stop(); }
  // Whether the listening socket is the platform's.
  bool IsInherited() const { return listener_.IsInherited(); }
  // The local port of the listening socket.
  int Port() const { return listener_.Port(); }

  // What health checks (PING) are answered from now on: PONG or ERR.
  void SetHealthy(bool healthy) { healthy_ = healthy; }

  // The connection of a client with a session; null if it has ended.
  TcpConnection* Find(SlotId client);
  // Answers the request line. What the client sends from here on belongs to the session.
  void Establish(SlotId client, std::string_view line);
  // Sends a last line (may be empty) and ends the connection in order.
  void End(SlotId client, std::string_view last_line);
  // Ends the connection with a TCP reset.
  void Reset(SlotId client);

  // Whether a client may yet send a request, or has not received all of its answer. Clients that have sent no
  // request line for a while, and those that do not close after their answer, do not count.
  bool HasPendingClients();
  // For a graceful shutdown: tells clients that have been connected for a while without a request line to
  // retry, and ends their connections in order. One that has sent a part of its line is spared while
  // `others_pending`.
  void EndIdle(bool others_pending);

  void OnData(SlotId id) override;
  void OnInputDiscarded(SlotId id, std::size_t size) override;
  void OnEnd(SlotId id, ConnectionEnd end) override;
  void OnPeerClosing(SlotId id) override;
  void OnWritable(SlotId id) override;

 private:
  // kRequestLine -> kOpened -> kEnding, or kRequestLine -> kEnding. The connection may break in any state.
  enum class State : std::uint8_t { kRequestLine, kOpened, kEnding };
  struct Client {
    Client(SlotId slot, Downstream& downstream)
        : id(slot),
          tcp(downstream.loop_, downstream, slot),
          timer(downstream.loop_.timers, [&downstream, slot] { downstream.OnTimeout(slot); }) {}
    SlotId id, owner;
    TcpConnection tcp;
    Timer timer;
    State state = State::kRequestLine;
    std::list<SlotId>::iterator position{};  // In unopened_ or ending_.
    Micros since{0};                         // Accepted, or ended by this side.
    std::size_t request_line_size = 0;  // While it is in the input buffer: until the request is answered.
    std::size_t discarded = 0;          // Bytes.
  };

  void OnAccepted(UniqueFd socket) override;
  void OnTimeout(SlotId id);
  void ReadRequestLines(Client& client);
  // Handles one complete line. False: no further line may be read.
  bool HandleLine(Client& client, std::size_t size);
  bool AnswerPing(Client& client, std::size_t size);
  void HandleOpen(Client& client, const OpenRequest& request, std::size_t size);
  void RejectForCapacity(Client& client, const OpenRequest& request);
  void RejectMalformed(Client& client, std::string_view reason);
  std::size_t OpenedCount() const;
  // Whether there are descriptors for one more client and its attempt.
  bool CanAccept() const;
  void EvictOldest();
  void EndEvicted(Client& client);
  void Erase(Client& client);

  EventLoop& loop_;
  DownstreamEvents& events_;
  Counters& counters_;
  bool healthy_ = true;
  const std::size_t descriptor_limit_;
  SlotMap<Client> clients_;
  std::list<SlotId> unopened_, ending_;  // Clients in kRequestLine and in kEnding, oldest first.
  LogRateLimiter malformed_log_, capacity_log_;
  Listener listener_;
};

}  // namespace stoatrun

#endif  // STOATRUN_PROXY_DOWNSTREAM_H_
