// The downstream side: client connections. Reads a client's request line and reports it to DownstreamEvents,
// answers health checks, and ends connections in a way that does not lose the last line sent to the client.
//
// Used by the event loop's thread only.
#ifndef STOATRUN_PROXY_DOWNSTREAM_H_
#define STOATRUN_PROXY_DOWNSTREAM_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <string_view>

#include "base/counters.h"
#include "base/event_loop.h"
#include "base/linger_schedule.h"
#include "base/log.h"
#include "base/slot_map.h"
#include "base/tcp_connection.h"
#include "base/unique_fd.h"
#include "proxy/line_protocol.h"
#include "proxy/listener.h"

namespace stoatrun {

// Why a well-formed request is rejected.
enum class OpenRequestError : std::uint8_t { kUnknownClass, kDuplicateId };

// How a client's connection ends after the last line.
enum class EndMode : std::uint8_t {
  kFinish,  // With a FIN.
  kReset,   // With a TCP reset, once the client has been sent everything.
};

// Receives the requests and events of clients. `owner` is the id that OnOpen returned for the client.
class DownstreamEvents {
 public:
  virtual ~DownstreamEvents() = default;
  // Checks a well-formed request. Returns nullopt if it is valid.
  virtual std::optional<OpenRequestError> Validate(const OpenRequest& request) = 0;
  // Accepts a valid request and returns the id for the client's further events. The views in `request` stay
  // valid until Establish or End is called for the client.
  virtual SlotId OnOpen(SlotId client, const OpenRequest& request) = 0;
  // The client has input.
  virtual void OnClientBytes(SlotId owner) = 0;
  // The client finished sending (FIN), its connection failed, or it sent a second request before its answer.
  virtual void OnClientEnd(SlotId owner, ConnectionEnd end) = 0;
  // All output to the client has been written.
  virtual void OnClientWritable(SlotId owner) = 0;
  // A valid request was rejected because too few file descriptors are available.
  virtual void OnRejectedForCapacity(const OpenRequest& /*request*/) {}
  // The number of descriptors of ended sessions that still deliver to an endpoint.
  virtual std::size_t LingeringCount() const { return 0; }
  // Closes the oldest of them, as its descriptor is needed.
  virtual void CloseOldestLingering() {}
};

// Owns the listener and all client connections.
class Downstream : public TcpConnectionHandler, private ListenerEvents {
 public:
  // All references must outlive the object. `descriptor_limit` is that of the whole process.
  Downstream(EventLoop& loop, DownstreamEvents& events, Counters& counters, std::size_t descriptor_limit);

  // The following methods forward to Listener. Listen and AdoptListener throw as described there.
  void Listen(const Address& address) { listener_.Listen(address); }
  // Takes over a listening socket that the platform provides.
  void AdoptListener(int fd) { listener_.Adopt(fd); }
  // Stops accepting clients.
  void StopListening() { listener_.Stop(); }
  // Whether the listening socket was provided by the platform.
  bool IsInherited() const { return listener_.IsInherited(); }
  // The local port of the listening socket.
  int Port() const { return listener_.Port(); }

  // Sets the answer to health checks (PING): PONG if healthy, otherwise ERR.
  void SetHealthy(bool healthy) { healthy_ = healthy; }

  // Returns the connection of a client with a session, or null if it has ended.
  TcpConnection* Find(SlotId client);
  // Answers the request line with `line` and removes the request from the client's input: all that follows it
  // belongs to the session.
  void Establish(SlotId client, std::string_view line);
  // Sends `last_line`, which may be empty, and closes the connection when the client has been sent
  // everything.
  void End(SlotId client, std::string_view last_line, EndMode mode = EndMode::kFinish);
  // Closes the connection with a TCP reset.
  void Reset(SlotId client);

  // Whether a client may still send a request, or has not received all of its answer. Idle clients without a
  // request line, and those that do not close after their answer, do not count.
  bool HasPendingClients();
  // For a graceful shutdown: answers idle clients without a request line with BUSY and closes their
  // connections without a reset. A client that has sent part of its request line is kept while
  // `others_pending`.
  void EndIdle(bool others_pending);

  void OnData(SlotId id) override;
  void OnInputDiscarded(SlotId id, std::size_t size) override;
  void OnEnd(SlotId id, ConnectionEnd end) override;
  void OnPeerClosing(SlotId id) override;
  void OnWritable(SlotId id) override;

 private:
  // kAwaitingRequest -> kInSession -> kEnding, or kAwaitingRequest -> kEnding. The connection may fail in any
  // state.
  enum class State : std::uint8_t { kAwaitingRequest, kInSession, kEnding };
  struct Client {
    Client(SlotId slot, Downstream& downstream)
        : id(slot),
          tcp(downstream.loop_, downstream, slot),
          timer(downstream.loop_.timers, [&downstream, slot] { downstream.OnTimeout(slot); }) {}
    SlotId id, owner;
    TcpConnection tcp;
    Timer timer;
    State state = State::kAwaitingRequest;
    std::list<SlotId>::iterator position{};  // In awaiting_request_ or ending_.
    Micros since{0};                         // When it was accepted, or entered kEnding.
    std::size_t request_line_size = 0;       // Of an unanswered request, still in the input; 0: none.
    std::string early_input;                 // What came after an unanswered request and left the input.
    std::size_t discarded_bytes = 0;
    EndMode end_mode = EndMode::kFinish;  // Valid in kEnding.
    LingerSchedule linger;                // Valid in kEnding.
  };

  void OnAccepted(UniqueFd socket) override;
  void OnTimeout(SlotId id);
  void ReadRequestLines(Client& client);
  // Handles one complete line of `size` bytes that is no PING.
  void HandleLine(Client& client, std::size_t size);
  // Answers all PING lines at the start of the input at once. Returns whether a request line may follow.
  bool AnswerPings(Client& client);
  void HandleOpen(Client& client, const OpenRequest& request, std::size_t size);
  void RejectForCapacity(Client& client, const OpenRequest& request);
  void RejectMalformed(Client& client, std::string_view reason);
  std::size_t SessionCount() const;
  // Whether enough descriptors are available for one more session.
  bool CanAddSession() const;
  void EvictOldest();
  void RejectEvicted(Client& client);
  void ReadEarlyInput(Client& client);
  // Whether the unanswered client may go on: sets aside what it has sent after its request, so that its end
  // can be read.
  bool StoreEarlyInput(Client& client);
  void DropEarlyInput(Client& client);
  void Erase(Client& client);
  // Closes or resets an ending client's connection.
  void CloseEnding(Client& client);

  EventLoop& loop_;
  DownstreamEvents& events_;
  Counters& counters_;
  bool healthy_ = true;
  const std::size_t descriptor_limit_;
  SlotMap<Client> clients_;
  // The clients in kAwaitingRequest and in kEnding, oldest first.
  std::list<SlotId> awaiting_request_, ending_;
  std::size_t early_input_bytes_ = 0;  // Of all clients.
  LogRateLimiter malformed_log_, capacity_log_;
  Listener listener_;
};

}  // namespace stoatrun

#endif  // STOATRUN_PROXY_DOWNSTREAM_H_
