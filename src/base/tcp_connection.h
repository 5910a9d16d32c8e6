// One non-blocking TCP connection (IPv4) with bounded buffers, driven by the event loop. Client connections,
// attempts, health checks, discovery and the management server use it.
//
// Errors are not thrown: they end the connection and are reported by OnEnd. All calls and callbacks happen on
// the event loop's thread. A handler may close or erase the connection in any callback, provided that the
// object remains allocated until the callback has returned (see SlotMap::Reclaim).
#ifndef STOATRUN_BASE_TCP_CONNECTION_H_
#define STOATRUN_BASE_TCP_CONNECTION_H_

#include <ev.h>
#include <netinet/in.h>
#include <sys/uio.h>

#include <cstddef>
#include <cstdint>
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

  // Parses `IP:PORT`; nullopt for any other text. Host names are not resolved.
  static std::optional<Address> Parse(std::string_view text);
  bool operator==(const Address& other) const {
    return raw.sin_addr.s_addr == other.raw.sin_addr.s_addr && raw.sin_port == other.raw.sin_port;
  }
};

// How a connection ended.
enum class ConnectionEnd {
  kFinished,  // The peer has finished sending (FIN).
  kReset,     // The connection failed or could not be established.
};

// Receives the events of connections, which are identified by the id passed to their constructor.
class TcpConnectionHandler {
 public:
  virtual ~TcpConnectionHandler() = default;
  // The connection requested by Connect is established.
  virtual void OnConnected(SlotId /*id*/) {}
  // More input is available, see TcpConnection::input.
  virtual void OnData(SlotId id) = 0;
  // `size` bytes were received and discarded, after DiscardInput.
  virtual void OnInputDiscarded(SlotId /*id*/, std::size_t /*size*/) {}
  // The connection has ended. Called at most once per connection.
  virtual void OnEnd(SlotId id, ConnectionEnd end) = 0;
  // The peer has finished sending or closed, but some of its data has not been read yet; OnEnd follows once
  // it has been read.
  virtual void OnPeerClosing(SlotId /*id*/) {}
  // Queued output is about to be written. The handler may close the connection to prevent that.
  virtual void OnBeforeFlush(SlotId /*id*/) {}
  // All queued output has been written.
  virtual void OnWritable(SlotId /*id*/) {}
};

// Discards unread data in the socket's receive buffer: closing a socket with unread data sends a reset, which
// may reach the peer before the last bytes written.
void DiscardUnreadInput(int fd);

// In which order the connections that are ready in the same turn of the event loop are handled.
enum class IoPriority {
  kNormal,
  kBeforeOthers,  // Before the timers and connections of normal priority.
};

// An outgoing (Connect) or incoming (Adopt) connection. A closed connection can't be reopened.
class TcpConnection {
 public:
  // The capacity of the input buffer in bytes: two lines of maximum length.
  static constexpr std::size_t kInputCapacity = std::size_t{2} * 4096;
  // If more output than this is queued, the caller should stop reading from the source of the output.
  static constexpr std::size_t kHighWatermark = std::size_t{64} * 1024;

  // `handler` and `loop` must outlive the connection.
  TcpConnection(EventLoop& loop, TcpConnectionHandler& handler, SlotId id,
                IoPriority priority = IoPriority::kNormal);
  ~TcpConnection();
  TcpConnection(const TcpConnection&) = delete;
  TcpConnection& operator=(const TcpConnection&) = delete;

  // Takes ownership of a connected, non-blocking socket.
  void Adopt(int fd);
  // Starts to connect; OnConnected or OnEnd follows. Returns false on immediate failure, without a callback.
  bool Connect(const Address& address);

  // Returns true if there is a socket.
  bool IsOpen() const { return fd_ >= 0; }
  // Returns true if the peer has finished sending and all its data has been read.
  bool PeerFinished() const { return peer_finished_; }
  // Returns true if there is a connected socket.
  bool IsConnected() const { return IsOpen() && !connecting_; }
  // The error (errno) with which Connect failed, at once or later; 0: it has not failed.
  int ConnectError() const { return connect_error_; }
  // Returns true if the connection has failed; OnEnd has reported it or will.
  bool IsBroken() const { return broken_; }

  // The input that has been read but not consumed. The view stays valid until Consume, even if more is read.
  std::string_view input() const { return {input_.get(), input_size_}; }
  // Removes the first `size` bytes from the input.
  void Consume(std::size_t size);
  // Removes the input after its first `offset` bytes and returns it.
  std::string TakeInputAfter(std::size_t offset);
  // Puts `bytes` in front of the input. Reading goes on once all but kInputCapacity has been consumed.
  void PrependInput(std::string_view bytes);
  // Enables or disables reading from the socket; initially enabled.
  void SetReading(bool enabled);
  // Discards buffered and future input; OnInputDiscarded reports how much is received.
  void DiscardInput();
  // Reads available data and the peer's end of stream now, without waiting for the event loop to report them.
  void ReadNow();
  // The same repeatedly, until the socket holds no more data. Returns false if some may be left: the handler
  // holds reading back, or the limit on the work of one call is reached. Reads the rest of the data of a
  // connection that has failed, too.
  bool ReadUntilEmpty();

  // Writes the pieces in one system call; queues what the socket doesn't accept. OnEnd reports a failure
  // later.
  void Write(std::initializer_list<std::string_view> pieces);
  // The number of queued output bytes that the socket has not accepted yet.
  std::size_t QueuedBytes() const { return output_.size() - output_begin_; }
  // The number of output bytes that have not been sent to the peer yet, in the queue or in the socket.
  std::size_t UnsentBytes() const;
  // Shuts down the sending side (FIN) once all queued output has been written; later writes are ignored.
  void Finish();
  // Closes the socket immediately. No callback follows.
  void Close();
  // The same, but sends a reset to the peer.
  void Reset();

 private:
  static void OnIo(struct ev_loop* loop, ev_io* watcher, int events);
  void HandleIo(int events);
  void FinishConnect();
  // What became of one read from the socket.
  enum class ReadOutcome : std::uint8_t { kData, kEmpty, kEnded };
  ReadOutcome ReadSome();
  // Whether ReadSome can store more data and the handler wants it.
  bool CanRead() const { return reading_ && !peer_finished_ && input_size_ < kInputCapacity; }
  void FlushQueued();
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
  int connect_error_ = 0;
  bool connecting_ = false;
  bool reading_ = true;
  bool peer_finished_ = false;
  bool finish_requested_ = false;
  bool finish_sent_ = false;
  bool broken_ = false;
  bool discarding_ = false;
  bool peer_closing_reported_ = false;
  Timer peer_reset_check_;         // Set while the socket is not watched, see CheckPeerReset.
  std::unique_ptr<char[]> input_;  // kInputCapacity or more. Allocated on first use: idle ones need none.
  std::size_t input_size_ = 0;
  std::string output_;
  std::size_t output_begin_ = 0;  // Offset of the first unwritten byte.
};

}  // namespace stoatrun

#endif  // STOATRUN_BASE_TCP_CONNECTION_H_
