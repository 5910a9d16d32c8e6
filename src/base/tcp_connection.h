// One non-blocking socket with bounded buffers; the downstream side, the attempts, probes and discovery share
// it.
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

// An address as `IP:PORT`; no names are looked up.
struct Address {
  sockaddr_in raw{};
  static std::optional<Address> Parse(std::string_view text);
  bool operator==(const Address& o) const {
    return raw.sin_addr.s_addr == o.raw.sin_addr.s_addr && raw.sin_port == o.raw.sin_port;
  }
};

enum class ConnectionEnd { kFinished, kReset };  // An orderly end of the peer's sending, or a break.

class TcpConnectionHandler {
 public:
  virtual ~TcpConnectionHandler() = default;
  virtual void OnConnected(SlotId /*id*/) {}
  virtual void OnData(SlotId id) = 0;
  virtual void OnInputDiscarded(SlotId /*id*/, std::size_t /*size*/) {}
  virtual void OnEnd(SlotId id, ConnectionEnd end) = 0;  // At most once a stream.
  // The peer has ended its sending, though what it sent before is not all read; OnEnd follows once it is.
  virtual void OnPeerClosing(SlotId /*id*/) {}
  virtual void OnWritable(SlotId /*id*/) {}  // All that was queued is written.
};

// Reads what a socket holds and throws it away: a close over unread bytes is a reset, which may overtake what
// was written last.
void DiscardUnreadInput(int fd);

class TcpConnection {
 public:
  static constexpr std::size_t kInSize = std::size_t{2} * 4096;  // Two lines of the longest form.
  static constexpr std::size_t kHighWatermark =
      std::size_t{64} * 1024;  // QueuedBytes output over this stops the other side's reading.

  TcpConnection(EventLoop& loop, TcpConnectionHandler& handler, SlotId id);
  ~TcpConnection();
  TcpConnection(const TcpConnection&) = delete;
  TcpConnection& operator=(const TcpConnection&) = delete;

  void Adopt(int fd);                    // A socket that is up, already non-blocking.
  bool Connect(const Address& address);  // False: refused at once or no descriptor to be had.

  bool IsOpen() const { return fd_ >= 0; }
  bool PeerFinished() const { return in_ended_; }
  bool IsUp() const { return IsOpen() && !connecting_; }
  bool IsBroken() const { return broken_; }  // OnEnd tells of it, or is about to.
  // What was read and not consumed. It stays where it is until Consume, also when more comes.
  std::string_view input() const { return {in_.get(), size_}; }
  void Consume(std::size_t n);
  void SetReading(bool on);
  // What was read and what comes is thrown away; OnInputDiscarded tells how much came.
  void DiscardInput();
  // What the socket holds by now, before the loop tells of it: bytes and the peer's end.
  void ReadNow();
  // A gathered write; what the socket does not take is queued. A break is told by OnEnd, later.
  void Write(std::initializer_list<std::string_view> pieces);
  std::size_t QueuedBytes() const { return out_.size() - out_begin_; }
  void Finish();  // Ends our sending once all queued is written.
  void Close();   // At once. Nothing more is told.
  void Reset();   // At once, and the peer sees a break.

 private:
  static void OnIo(struct ev_loop* loop, ev_io* w, int events);
  void Ready(int events);
  void ReadSome();
  void Flush();
  void Break();
  void Watch();
  void CheckPeerReset();

  EventLoop& loop_;
  TcpConnectionHandler& handler_;
  SlotId id_;
  ev_io io_{};
  int fd_ = -1;
  bool connecting_ = false, reading_ = true, in_ended_ = false, finish_ = false, finished_ = false,
       broken_ = false, dropping_ = false, leaving_ = false;
  Timer peer_reset_check_;      // For the peer's end, while nothing is read or written that would tell of it.
  std::unique_ptr<char[]> in_;  // Taken at the first byte: those who say nothing cost none.
  std::size_t size_ = 0;
  std::string out_;
  std::size_t out_begin_ = 0;
};

}  // namespace stoatrun

#endif  // STOATRUN_BASE_TCP_CONNECTION_H_
