#include "net/acquirer.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <string>
#include <system_error>

#include "net/log.h"

namespace stoatrun {
namespace {

constexpr Micros kHeadWait = std::chrono::seconds(10);  // For a first line; the front pings far more often.
constexpr Micros kEndWait = std::chrono::milliseconds(800);  // For the client's end after ours.
constexpr int kAcceptsATurn = 64;
constexpr std::string_view kFailureLine = "ERR\r\n", kBusyLine = "BUSY\r\n";

// The start of what a client sent, fit for a log.
std::string Shown(std::string_view in) {
  std::string text(in.substr(0, 120));
  for (char& c : text) c = c < ' ' || c > '~' ? '.' : c;
  return text;
}

int OpenSpare() { return open("/dev/null", O_RDONLY | O_CLOEXEC); }

}  // namespace

Acquirer::Acquirer(Loop& loop, AcquirerEvents& events, Counters& counters)
    : loop_(loop), events_(events), counters_(counters), spare_fd_(OpenSpare()) {
  ev_init(&accept_, OnAccept);
  accept_.data = this;
  loop_.AddSweeper([this] { clients_.Sweep(); });
}

Acquirer::~Acquirer() {
  StopListening();
  if (spare_fd_ >= 0) close(spare_fd_);
}

void Acquirer::Listen(const Address& address) {
  const auto fail = [](const char* what) { throw std::system_error(errno, std::generic_category(), what); };
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd_ < 0) fail("socket");
  const int on = 1;  // A restarted relay takes its address again though old connections linger there.
  setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind(fd_, reinterpret_cast<const sockaddr*>(&address.raw), sizeof address.raw) != 0) fail("bind");
  if (listen(fd_, SOMAXCONN) != 0) fail("listen");
  ev_io_set(&accept_, fd_, EV_READ);
  ev_io_start(loop_.Raw(), &accept_);
}

void Acquirer::StopListening() {
  if (fd_ < 0) return;
  Accept();  // What already waits in the queue would be reset.
  ev_io_stop(loop_.Raw(), &accept_);
  close(fd_);
  fd_ = -1;
}

int Acquirer::Port() const {
  sockaddr_in bound{};
  socklen_t size = sizeof bound;
  return getsockname(fd_, reinterpret_cast<sockaddr*>(&bound), &size) == 0 ? ntohs(bound.sin_port) : 0;
}

void Acquirer::OnAccept(struct ev_loop* /*loop*/, ev_io* w, int /*events*/) {
  static_cast<Acquirer*>(w->data)->Accept();
}

void Acquirer::Accept() {
  for (int k = 0; k < kAcceptsATurn; ++k) {
    const int fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      if (errno == EINTR || errno == ECONNABORTED) continue;
      if (errno == EAGAIN) return;
      if ((errno == EMFILE || errno == ENFILE) && spare_fd_ >= 0) {
        if (TurnAway()) continue;
        return;  // Nobody waits: the want of a descriptor is told before the queue is looked at.
      }
      ++counters_.accept_failed;
      LogLine(Level::kWarn) << "accept failed errno=" << errno;
      return;
    }
    ++counters_.accepted;
    Client& c = clients_.Add(*this);
    c.deadline.Set(loop_.Now() + kHeadWait);
    c.stream.Adopt(fd);
  }
}

// Without a descriptor the queue would stay ready and spin the loop, and who waits in it would get no answer.
// The spare descriptor takes one caller at a time and tells it to come again.
bool Acquirer::TurnAway() {
  close(spare_fd_);
  const int surplus = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (surplus >= 0) {
    ++counters_.accept_failed;
    std::array<char, kMaxLine> unread{};  // Bytes left unread would turn the end into a reset.
    const bool told = write(surplus, kBusyLine.data(), kBusyLine.size()) > 0;
    shutdown(surplus, SHUT_WR);
    const bool asked = read(surplus, unread.data(), unread.size()) > 0;
    LogLine(Level::kWarn) << "turned away without a descriptor, asked=" << asked << " told=" << told;
    close(surplus);
  }
  spare_fd_ = OpenSpare();
  return surplus >= 0;
}

std::size_t Acquirer::Asking() {
  std::size_t asking = 0;
  clients_.ForEach(
      [&](const Client& c) { asking += c.state != Client::State::kHead || !c.stream.In().empty() ? 1 : 0; });
  return asking;
}

Stream* Acquirer::Find(SlotId client) {
  Client* c = clients_.Find(client);
  return c == nullptr || c->state != Client::State::kOpened ? nullptr : &c->stream;
}

void Acquirer::Up(SlotId client, std::string_view line) {
  Client* c = clients_.Find(client);
  if (c == nullptr || c->state != Client::State::kOpened) return;
  c->stream.Write({line});
  c->stream.Consume(c->head_size);
  c->head_size = 0;
}

void Acquirer::End(SlotId client, std::string_view last_line) {
  Client* c = clients_.Find(client);
  if (c == nullptr || c->state == Client::State::kEnding) return;
  // Closing at once would answer bytes on their way with a reset, which may overtake the last line.
  c->state = Client::State::kEnding;
  if (!last_line.empty()) c->stream.Write({last_line});
  c->stream.Finish();
  c->stream.Consume(c->stream.In().size());
  c->stream.SetReading(true);
  c->deadline.Set(loop_.Now() + kEndWait);
}

void Acquirer::Reset(SlotId client) {
  Client* c = clients_.Find(client);
  if (c == nullptr) return;
  c->stream.Reset();
  c->deadline.Cancel();
  clients_.Erase(client);
}

void Acquirer::Due(SlotId id) {
  Client* c = clients_.Find(id);
  if (c == nullptr) return;
  if (c->state == Client::State::kHead) {
    Malformed(*c, "no first line in time");
    return;
  }
  c->stream.Close();
  clients_.Erase(id);
}

void Acquirer::Malformed(Client& c, std::string_view why) {
  ++counters_.malformed;
  LogLine(Level::kInfo) << "bad first line: " << why << ": '" << Shown(c.stream.In()) << "'";
  End(c.id, kFailureLine);
}

void Acquirer::ReadHead(Client& c) {
  for (;;) {
    const std::string_view in = c.stream.In();
    const auto size = LineLength(in);
    if (!size) {
      if (in.size() >= kMaxLine) Malformed(c, "too long");
      return;
    }
    if (*size > kMaxLine) return Malformed(c, "too long");
    const std::string_view line = Stripped(in.substr(0, *size));
    if (line == "PING") {
      ++counters_.pings;
      c.stream.Write({"PONG\r\n"});
      c.stream.Consume(*size);
      c.deadline.Set(loop_.Now() + kHeadWait);
      continue;
    }
    const auto head = ParseOpen(line);
    if (!head) return Malformed(c, "not of the form");
    if (!events_.TakesClass(head->class_name)) return Malformed(c, "unknown class");
    c.state = Client::State::kOpened;
    c.head_size = *size;
    c.deadline.Cancel();
    c.owner = events_.OnOpen(c.id, *head);
    return;
  }
}

void Acquirer::OnBytes(SlotId id) {
  Client* c = clients_.Find(id);
  if (c == nullptr) return;
  if (c->state == Client::State::kHead) {
    ReadHead(*c);
  } else if (c->state == Client::State::kOpened) {
    events_.OnClientBytes(c->owner);
  } else {
    c->stream.Consume(c->stream.In().size());
  }
}

void Acquirer::OnEnd(SlotId id, StreamEnd end) {
  Client* c = clients_.Find(id);
  if (c == nullptr) return;
  if (c->state == Client::State::kOpened) {
    events_.OnClientEnd(c->owner, end);
    return;
  }
  if (c->state == Client::State::kHead && end == StreamEnd::kFinished && !c->stream.In().empty()) {
    Malformed(*c, "unterminated");
    return;
  }
  if (c->state == Client::State::kEnding && end == StreamEnd::kFinished && c->stream.Queued() > 0) return;
  c->stream.Close();
  c->deadline.Cancel();
  clients_.Erase(id);
}

void Acquirer::OnRoom(SlotId id) {
  Client* c = clients_.Find(id);
  if (c != nullptr && c->state == Client::State::kOpened) events_.OnClientRoom(c->owner);
}

}  // namespace stoatrun
