// One non-blocking TCP connection (IPv4) with bounded buffers, driven by the event loop. Client connections,
// attempts, health checks, discovery and the management server use it.
//
// Errors don't throw: they end the connection, and OnEnd reports them. All calls and callbacks are on the
// event loop's thread. A handler may close or destroy the connection in any callback, provided that its
// memory stays until the callback has returned (see SlotMap::Reclaim).
#ifndef STOATRUN_BASE_TCP_CONNECTION_H_
#define STOATRUN_BASE_TCP_CONNECTION_H_

#include <ev.h>
#include <netinet/in.h>
#include <sys/uio.h>

#include <cstddef>
#include <initializer_list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/event_loop.h"
#include "base/slot_map.h"

namespace stoatrun {

// An IPv4 address with a port.
struct Address {
  sockaddr_in raw{};

  // Reads `IP:PORT`; nothing for any other text, as no names are resolved.
  static std::optional<Address> Parse(std::string_view text);
  bool operator==(const Address& other) const {
    return raw.sin_addr.s_addr == other.raw.sin_addr.s_addr && raw.sin_port == other.raw.sin_port;
  }
};

// How a connection ended.
enum class ConnectionEnd {
  kFinished,  // The peer has finished sending, in good order (FIN).
  kReset,     // The connection failed, or could not be made.
};

// Receives the events of connections, each named by the id that was passed to its constructor.
class TcpConnectionHandler {
 public:
  virtual ~TcpConnectionHandler() = default;
  // Connect has succeeded.
  virtual void OnConnected(SlotId /*id*/) {}
  // More input is there, see TcpConnection::input.
  virtual void OnData(SlotId id) = 0;
  // So many bytes came and were discarded, after DiscardInput.
  virtual void OnInputDiscarded(SlotId /*id*/, std::size_t /*size*/) {}
  // The connection ended; at most once for each connection.
  virtual void OnEnd(SlotId id, ConnectionEnd end) = 0;
  // The peer has finished sending or closed, but what it sent has not all been read; OnEnd follows once it
  // has.
  virtual void OnPeerClosing(SlotId /*id*/) {}
  // All queued output has been written.
  virtual void OnWritable(SlotId /*id*/) {}
};

// Discards what the socket holds unread: a close with unread bytes sends a reset, which may overtake the last
// bytes written.
void DiscardUnreadInput(int fd);

// A connection, outgoing (Connect) or incoming (Adopt). It is used once: a closed connection stays closed.
class TcpConnection {
 public:
  // Bytes of input that are held until they are consumed: two lines of the longest form.
  static constexpr std::size_t kInputCapacity = std::size_t{2} * 4096;
  // With more queued output than this the caller should stop reading from the source of the output.
  static constexpr std::size_t kHighWatermark = std::size_t{64} * 1024;

  // `handler` and `loop` must outlive the connection.
  TcpConnection(EventLoop& loop, TcpConnectionHandler& handler, SlotId id);
  ~TcpConnection();
  TcpConnection(const TcpConnection&) = delete;
  TcpConnection& operator=(const TcpConnection&) = delete;

  // Takes ownership of a connected, non-blocking socket.
  void Adopt(int fd);
  // Starts to connect; OnConnected or OnEnd follows. False: it failed at once, and no callback follows.
  bool Connect(const Address& address);

  // Is there a socket?
  bool IsOpen() const { return fd_ >= 0; }
  // Has the peer finished sending, and has all it sent been read?
  bool PeerFinished() const { return peer_finished_; }
  // Is there a socket that has connected?
  bool IsUp() const { return IsOpen() && !connecting_; }
  // Has the connection failed? OnEnd has reported it or is about to.
  bool IsBroken() const { return broken_; }

  // What has been read and not consumed. It stays at its place until Consume, also when more is read.
  std::string_view input() const { return {input_.get(), input_size_}; }
  // Removes the first `size` bytes of the input.
  void Consume(std::size_t size);
  // Enables or disables reading from the socket; it is enabled at first.
  void SetReading(bool enabled);
  // Discards all input from here on, read or not; OnInputDiscarded reports how much comes.
  void DiscardInput();
  // Reads what the socket holds by now, before the event loop reports it: bytes and the peer's end.
  void ReadNow();

  // Writes the pieces in one call; what the socket doesn't take is queued. A failure is reported by OnEnd,
  // later.
  void Write(std::initializer_list<std::string_view> pieces);
  // Bytes of output that the socket has not taken yet.
  std::size_t QueuedBytes() const { return output_.size() - output_begin_; }
  // Ends our sending (FIN) once all queued output has been written; later writes are ignored.
  void Finish();
  // Closes the socket at once. No callback follows.
  void Close();
  // The same, and the peer sees a reset.
  void Reset();

 private:
  static void OnIo(struct ev_loop* loop, ev_io* watcher, int events);
  void HandleIo(int events);
  void FinishConnect();
  void ReadSome();
  void Flush();
  void ReportReset();
  void ReportResetLater();
  void StopWatching();
  int WantedEvents() const;
  void UpdateWatcher();
  void CheckPeerReset();

  EventLoop& loop_;
  TcpConnectionHandler& handler_;
  SlotId id_;
  ev_io watcher_{};
  int fd_ = -1;
  bool connecting_ = false;
  bool reading_ = true;
  bool peer_finished_ = false;
  bool finish_requested_ = false;
  bool finish_sent_ = false;
  bool broken_ = false;
  bool discarding_ = false;
  bool peer_closing_reported_ = false;
  Timer peer_reset_check_;         // Set while the socket is not watched, see CheckPeerReset.
  std::unique_ptr<char[]> input_;  // Allocated at the first byte: idle connections need none.
  std::size_t input_size_ = 0;
  std::string output_;
  std::size_t output_begin_ = 0;  // What comes before has been written.
};

}  // namespace stoatrun

#endif  // STOATRUN_BASE_TCP_CONNECTION_H_
