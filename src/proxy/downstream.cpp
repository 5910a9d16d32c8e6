#include "proxy/downstream.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <string>
#include <system_error>
#include <vector>

#include "base/log.h"
#include "config/config.h"

namespace stoatrun {
namespace {

// A caller without a first line is owed an answer within 3 s of connecting.
constexpr Micros kHeadWait = std::chrono::milliseconds(2000);
// For the client's end after ours; longer while it still sends or has not read all, for a close on unread
// bytes is a reset, which may overtake the answer.
constexpr Micros kEndWait = std::chrono::milliseconds(800);
constexpr Micros kDropWait = std::chrono::milliseconds(2400);
// Read and thrown away of one that has its answer: what a machine's one core reads in the longest wait. Who
// sends more loses its answer to a reset.
constexpr std::size_t kDropMost = std::size_t{96} * 1024 * 1024;
// Descriptors for what is neither client nor attempt: 32 idle connections for probes, a dozen probes under
// way, and the listener, the loop, the log and discovery.
constexpr std::size_t kReserve = 48;
constexpr std::size_t kLeastCallers = 16;  // So many may always be heard, however many clients stand.
constexpr Micros kMayAsk = std::chrono::milliseconds(250);  // A first line comes with its connection.
// Each takes some 20 us: a flood must not keep the turn from those who stand for more than a millisecond or
// two.
constexpr int kAcceptsATurn = 64;
constexpr std::string_view kFailureLine = "ERR\r\n", kBusyLine = "BUSY\r\n";

// The start of what a client sent, fit for a log.
std::string Shown(std::string_view in) {
  std::string text(in.substr(0, 120));
  for (char& c : text) c = c < ' ' || c > '~' ? '.' : c;
  return text;
}

// A client waits after its first line. One that sends another before it is answered would have its second
// request read as lines of the first.
bool AsksAgain(std::string_view behind) { return behind.starts_with("OPEN "); }

int OpenSpare() { return open("/dev/null", O_RDONLY | O_CLOEXEC); }

}  // namespace

Downstream::Downstream(EventLoop& loop, DownstreamEvents& events, Counters& counters, std::size_t descriptors)
    : loop_(loop),
      events_(events),
      counters_(counters),
      spare_fd_(OpenSpare()),
      descriptors_(std::max(descriptors, kReserve + 2 * kLeastCallers)) {
  ev_init(&accept_, OnAccept);
  accept_.data = this;
  loop_.AddTurnEndHook([this] { clients_.Reclaim(); });
}

Downstream::~Downstream() {
  StopListening();
  if (spare_fd_ >= 0) close(spare_fd_);
}

void Downstream::Listen(const Address& address) {
  const auto fail = [](const char* what) { throw std::system_error(errno, std::generic_category(), what); };
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) fail("socket");
  // Kept only once it listens: what failed half-way is no door to empty or close at the end.
  const auto give_up = [fd, &fail](const char* what) {
    const int error = errno;
    close(fd);
    errno = error;
    fail(what);
  };
  const int on = 1;  // A restarted relay takes its address again though old connections linger there.
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address.raw), sizeof address.raw) != 0) give_up("bind");
  if (listen(fd, SOMAXCONN) != 0) give_up("listen");
  fd_ = fd;
  ev_io_set(&accept_, fd_, EV_READ);
  ev_io_start(loop_.native_handle(), &accept_);
}

void Downstream::AdoptListener(int fd) {
  const auto refuse = [fd](std::string_view why) {
    throw ConfigError("PROXY_ACCEPT_FD: descriptor " + std::to_string(fd) + " " + std::string(why));
  };
  struct stat about {};
  if (fstat(fd, &about) != 0) refuse("is not open");
  if (!S_ISSOCK(about.st_mode)) refuse("is not a socket");
  const auto option = [fd](int name) {
    int value = -1;
    socklen_t size = sizeof value;
    return getsockopt(fd, SOL_SOCKET, name, &value, &size) == 0 ? value : -1;
  };
  if (option(SO_DOMAIN) != AF_INET) refuse("is not an IPv4 socket");
  if (option(SO_TYPE) != SOCK_STREAM) refuse("is not a TCP socket");
  if (option(SO_ACCEPTCONN) != 1) refuse("does not listen");
  // Programs that this one might start must not keep the clients' door open.
  if (fcntl(fd, F_SETFD, FD_CLOEXEC) != 0 || fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK) != 0) {
    refuse("can't be made non-blocking");
  }
  fd_ = fd;
  inherited_ = true;
  ev_io_set(&accept_, fd_, EV_READ);
  ev_io_start(loop_.native_handle(), &accept_);
}

void Downstream::StopListening() {
  if (fd_ < 0) return;
  // Who already waits in the queue would be reset; it holds at most so many.
  for (int left = inherited_ ? 0 : SOMAXCONN; left > 0 && Accept();) left -= kAcceptsATurn;
  ev_io_stop(loop_.native_handle(), &accept_);
  close(fd_);
  fd_ = -1;
}

int Downstream::Port() const {
  sockaddr_in bound{};
  socklen_t size = sizeof bound;
  return getsockname(fd_, reinterpret_cast<sockaddr*>(&bound), &size) == 0 ? ntohs(bound.sin_port) : 0;
}

void Downstream::OnAccept(struct ev_loop* /*loop*/, ev_io* w, int /*events*/) {
  static_cast<Downstream*>(w->data)->Accept();
}

bool Downstream::Accept() {
  for (int k = 0; k < kAcceptsATurn; ++k) {
    const int fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      if (errno == EINTR || errno == ECONNABORTED) continue;
      if (errno == EAGAIN) return false;
      if ((errno == EMFILE || errno == ENFILE) && spare_fd_ >= 0) {
        if (RejectForCapacity()) continue;
        return false;  // Nobody waits: the want of a descriptor is told before the queue is looked at.
      }
      ++counters_.accept_failed;
      LogLine(Level::kWarn, "accept failed").Field("errno", errno);
      return false;
    }
    ++counters_.accepted;
    Client& c = clients_.Add(*this);
    c.place = callers_.insert(callers_.end(), c.id);
    c.since = loop_.Now();
    c.deadline.Set(loop_.Now() + kHeadWait);
    c.stream.Adopt(fd);
    EvictOldest();
  }
  return true;
}

// Of the clients that were opened each needs two descriptors, for itself and its attempt.
bool Downstream::CanAccept() const {
  const std::size_t opened = clients_.Size() - callers_.size() - ending_.size();
  return 2 * (opened + 1) + kReserve + kLeastCallers <= descriptors_;
}

// Hundreds that connect and say nothing must not take the descriptors that clients, attempts, probes and
// discovery need. First go those that have their answer, then the oldest without a first line.
void Downstream::EvictOldest() {
  const std::size_t opened = clients_.Size() - callers_.size() - ending_.size();
  const std::size_t room =
      std::max(kLeastCallers, descriptors_ - std::min(descriptors_, 2 * opened + kReserve));
  while (callers_.size() + ending_.size() > room) {
    const SlotId id = ending_.empty() ? callers_.front() : ending_.front();
    Client* c = clients_.Find(id);
    if (c->state == Client::State::kHead) {
      c->stream.ReadNow();  // Its line may be there, though the loop has not told of it yet.
      c = clients_.Find(id);
      if (c == nullptr || c->state != Client::State::kHead) continue;
      ++counters_.evicted;
      c->stream.Write({kFailureLine});
      c->stream.Finish();
      c->stream.DiscardInput();
    }
    c->stream.Close();
    Erase(*c);
  }
}

void Downstream::Erase(Client& c) {
  if (c.state == Client::State::kHead) callers_.erase(c.place);
  if (c.state == Client::State::kEnding) ending_.erase(c.place);
  c.deadline.Cancel();
  clients_.Erase(c.id);
}

// Without a descriptor the queue would stay ready and spin the loop, and who waits in it would get no answer.
// The spare descriptor takes one caller at a time and tells it to come again.
bool Downstream::RejectForCapacity() {
  close(spare_fd_);
  const int surplus = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (surplus >= 0) {
    ++counters_.accept_failed;
    std::array<char, kMaxLine> unread{};
    const bool told = write(surplus, kBusyLine.data(), kBusyLine.size()) > 0;
    shutdown(surplus, SHUT_WR);
    const bool asked = read(surplus, unread.data(), unread.size()) > 0;
    if (wants_.Allows(loop_.Now())) {
      LogLine(Level::kWarn, "turned away without a descriptor,")
          .Field("asked", asked)
          .Field("told", told)
          .Field("left_out", wants_.TakeSuppressed());
    }
    DiscardUnreadInput(surplus);
    close(surplus);
  }
  spare_fd_ = OpenSpare();
  return surplus >= 0;
}

bool Downstream::Asking() {
  const auto lately = [this](const std::list<SlotId>& all) {
    return !all.empty() && loop_.Now() < clients_.Find(all.back())->since + kMayAsk;
  };
  const auto unsent = [this](SlotId id) { return clients_.Find(id)->stream.QueuedBytes() > 0; };
  return clients_.Size() > callers_.size() + ending_.size() || lately(callers_) || lately(ending_) ||
         std::any_of(ending_.begin(), ending_.end(), unsent);
}

void Downstream::EndResting(bool else_asks) {
  std::vector<SlotId> resting;
  for (const SlotId id : callers_) {
    if (loop_.Now() < clients_.Find(id)->since + kMayAsk) break;  // As all behind it, which came later.
    resting.push_back(id);
  }
  for (const SlotId id : resting) {
    Client* c = clients_.Find(id);
    if (c == nullptr) continue;  // It went to make room for one before it that asked.
    c->stream.ReadNow();         // Its line may be there.
    if (c->state == Client::State::kHead && (c->stream.input().empty() || !else_asks)) End(id, kBusyLine);
  }
}

TcpConnection* Downstream::Find(SlotId client) {
  Client* c = clients_.Find(client);
  return c == nullptr || c->state != Client::State::kOpened ? nullptr : &c->stream;
}

void Downstream::Up(SlotId client, std::string_view line) {
  Client* c = clients_.Find(client);
  if (c == nullptr || c->state != Client::State::kOpened) return;
  c->stream.Write({line});
  c->stream.Consume(c->head_size);
  c->head_size = 0;
}

void Downstream::End(SlotId client, std::string_view last_line) {
  Client* c = clients_.Find(client);
  if (c == nullptr || c->state == Client::State::kEnding) return;
  // Closing at once would answer bytes on their way with a reset, which may overtake the last line.
  if (c->state == Client::State::kHead) callers_.erase(c->place);
  c->state = Client::State::kEnding;
  c->place = ending_.insert(ending_.end(), c->id);
  c->since = loop_.Now();
  if (!last_line.empty()) c->stream.Write({last_line});
  c->stream.Finish();
  if (c->stream.PeerFinished() && c->stream.QueuedBytes() == 0) {  // Nothing is left to wait for.
    c->stream.Close();
    return Erase(*c);
  }
  c->stream.DiscardInput();
  c->deadline.Set(loop_.Now() + kEndWait);
}

void Downstream::Reset(SlotId client) {
  Client* c = clients_.Find(client);
  if (c == nullptr) return;
  c->stream.Reset();
  Erase(*c);
}

void Downstream::Due(SlotId id) {
  Client* c = clients_.Find(id);
  if (c == nullptr) return;
  if (c->state == Client::State::kHead) {
    Malformed(*c, "no first line in time");
    return;
  }
  // One that reads late is still owed the rest of what it was sent.
  if (c->stream.QueuedBytes() > 0 && loop_.Now() < c->since + kDropWait) {
    return c->deadline.Set(c->since + kDropWait);
  }
  c->stream.Close();
  Erase(*c);
}

void Downstream::Malformed(Client& c, std::string_view why) {
  ++counters_.malformed;
  if (bad_lines_.Allows(loop_.Now())) {
    LogLine(Level::kInfo, "bad first line")
        .Reason(why)
        .Field("line", Shown(c.stream.input()))
        .Field("left_out", bad_lines_.TakeSuppressed());
  }
  End(c.id, kFailureLine);
}

void Downstream::ReadHead(Client& c) {
  for (;;) {
    const std::string_view in = c.stream.input();
    const auto size = LineLength(in);
    if (!size) {
      if (in.size() >= kMaxLine) Malformed(c, "too long");
      return;
    }
    if (*size > kMaxLine) return Malformed(c, "too long");
    const std::string_view line = Stripped(in.substr(0, *size));
    if (line == "PING") {
      ++counters_.pings;
      if (c.stream.QueuedBytes() > TcpConnection::kHighWatermark) return Malformed(c, "reads no answers");
      c.stream.Write({says_yes_ ? std::string_view("PONG\r\n") : kFailureLine});
      c.stream.Consume(*size);
      c.deadline.Set(loop_.Now() + kHeadWait);
      continue;
    }
    const auto head = ParseOpen(line);
    if (!head) return Malformed(c, "not of the form");
    if (AsksAgain(in.substr(*size))) return Malformed(c, "more than one");
    if (const auto objection = events_.Validate(*head); !objection.empty()) return Malformed(c, objection);
    if (!CanAccept()) {
      ++counters_.rejected_for_capacity;
      events_.OnNoRoom(*head);
      if (wants_.Allows(loop_.Now())) {
        LogLine(Level::kWarn, "no descriptors for another client,")
            .Field("left_out", wants_.TakeSuppressed());
      }
      return End(c.id, kBusyLine);
    }
    callers_.erase(c.place);
    c.state = Client::State::kOpened;
    c.head_size = *size;
    c.deadline.Cancel();
    const SlotId id = c.id;
    const SlotId owner = events_.OnOpen(id, *head);
    if (Client* opened = clients_.Find(id)) opened->owner = owner;
    EvictOldest();
    return;
  }
}

void Downstream::OnData(SlotId id) {
  Client* c = clients_.Find(id);
  if (c == nullptr) return;
  if (c->state == Client::State::kHead) {
    ReadHead(*c);
  } else if (c->state == Client::State::kOpened) {
    if (c->head_size > 0 && AsksAgain(c->stream.input().substr(c->head_size))) {
      ++counters_.malformed;
      events_.OnClientEnd(c->owner, ConnectionEnd::kFinished);
      return;
    }
    events_.OnClientBytes(c->owner);
  }
}

void Downstream::OnInputDiscarded(SlotId id, std::size_t size) {
  Client* c = clients_.Find(id);
  if (c == nullptr) return;
  c->dropped += size;
  if (c->dropped > kDropMost) return c->stream.SetReading(false);
  c->deadline.Set(std::min(c->since + kDropWait, loop_.Now() + kEndWait));
}

void Downstream::OnEnd(SlotId id, ConnectionEnd end) {
  Client* c = clients_.Find(id);
  if (c == nullptr) return;
  if (c->state == Client::State::kOpened) {
    events_.OnClientEnd(c->owner, end);
    return;
  }
  if (c->state == Client::State::kHead && end == ConnectionEnd::kFinished && !c->stream.input().empty()) {
    Malformed(*c, "unterminated");
    return;
  }
  if (c->state == Client::State::kEnding && end == ConnectionEnd::kFinished && c->stream.QueuedBytes() > 0)
    return;
  c->stream.Close();
  Erase(*c);
}

// A client that stands is owed a passing on of all it sent first; one that waits has left.
void Downstream::OnPeerClosing(SlotId id) {
  Client* c = clients_.Find(id);
  if (c == nullptr || c->state != Client::State::kOpened || c->head_size == 0) return;
  events_.OnClientEnd(c->owner, ConnectionEnd::kFinished);
}

void Downstream::OnWritable(SlotId id) {
  Client* c = clients_.Find(id);
  if (c != nullptr && c->state == Client::State::kOpened) events_.OnClientWritable(c->owner);
}

}  // namespace stoatrun
