#include "fleet/io/gossip_transport.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <system_error>
#include <utility>
#include <variant>

namespace stoatrun::fleet {
namespace {

constexpr int kDatagramsATurn = 64;
constexpr std::array<std::string_view, 4> kStateNames{"alive", "suspected", "silent", "left"};

Incarnation FirstIncarnation(const GossipTransportSetup& setup) {
  return {static_cast<std::uint64_t>(std::max<std::int64_t>(1, setup.wall_ms)),
          Mixed(setup.seed, 0x11fe) | 1U};
}

}  // namespace

GossipTransport::GossipTransport(EventLoop& loop, const GossipTransportSetup& setup)
    : loop_(loop),
      setup_(setup),
      node_(setup.settings, setup.name, FirstIncarnation(setup), Mixed(setup.seed, 0xf1ee7), loop.Now()),
      tick_(loop.timers, [this] { Tick(); }) {
  ev_init(&io_, OnReadable);
  io_.data = this;
}

GossipTransport::~GossipTransport() {
  if (fd_ < 0) return;
  ev_io_stop(loop_.native_handle(), &io_);
  close(fd_);
}

void GossipTransport::Start() {
  const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) throw std::system_error(errno, std::generic_category(), "fleet: socket");
  // No address is shared: a second process of this name on this machine must be told so.
  if (bind(fd, reinterpret_cast<const sockaddr*>(&setup_.listen.raw), sizeof setup_.listen.raw) != 0) {
    const int error = errno;
    close(fd);
    throw std::system_error(error, std::generic_category(), "fleet: bind " + setup_.listen_text);
  }
  fd_ = fd;
  ev_io_set(&io_, fd_, EV_READ);
  ev_io_start(loop_.native_handle(), &io_);
  Tick();
}

int GossipTransport::Port() const {
  sockaddr_in bound{};
  socklen_t size = sizeof bound;
  return getsockname(fd_, reinterpret_cast<sockaddr*>(&bound), &size) == 0 ? ntohs(bound.sin_port) : 0;
}

void GossipTransport::Leave() {
  if (fd_ < 0) return;
  Outbox out;
  node_.Leave(loop_.Now(), out);
  Send(out);
  tick_.Cancel();
  ev_io_stop(loop_.native_handle(), &io_);
  close(std::exchange(fd_, -1));
}

void GossipTransport::Follow(const std::vector<Peer>& peers, const std::map<MemberId, Address>& addresses) {
  setup_.addresses = addresses;
  node_.Follow(peers, loop_.Now());
}

bool GossipTransport::TryAcquire(const std::string& quota) {
  loop_.clock.Read();
  Outbox out;
  const bool spent = node_.TryAcquire(loop_.Now(), quota, out);
  Send(out);
  return spent;
}

void GossipTransport::OnReadable(struct ev_loop* /*loop*/, ev_io* w, int /*events*/) {
  static_cast<GossipTransport*>(w->data)->Read();
}

void GossipTransport::Read() {
  std::array<char, 2048>
      buffer;  // OnIncarnationEnded the largest datagram: a longer one is cut, and its checksum fails.
  for (int k = 0; k < kDatagramsATurn; ++k) {
    Address from;
    socklen_t size = sizeof from.raw;
    const ssize_t n =
        recvfrom(fd_, buffer.data(), buffer.size(), 0, reinterpret_cast<sockaddr*>(&from.raw), &size);
    if (n < 0) {
      if (errno == EINTR || errno == ECONNREFUSED) continue;  // The latter is of a datagram that we sent.
      return;
    }
    ++counts_.received;
    counts_.bytes_in += static_cast<std::uint64_t>(n);
    auto read = Decode({buffer.data(), static_cast<std::size_t>(n)}, setup_.settings.fleet);
    if (const auto* why = std::get_if<DecodeError>(&read)) {
      switch (*why) {
        case DecodeError::kNotOurs:
          ++counts_.not_ours;
          break;
        case DecodeError::kSchema:
          ++counts_.other_schema;
          break;
        case DecodeError::kChecksum:
          ++counts_.damaged;
          break;
        case DecodeError::kMalformed:
          ++counts_.malformed;
          break;
      }
      continue;
    }
    const auto& datagram = std::get<Datagram>(read);
    const auto address = setup_.addresses.find(datagram.from);
    if (address == setup_.addresses.end() || !(address->second == from)) {
      ++counts_.wrong_address;
      continue;
    }
    Outbox out;
    node_.OnDatagram(loop_.Now(), datagram, out);
    Send(out);
  }
}

void GossipTransport::Send(const Outbox& out) {
  if (fd_ < 0) return;
  for (const Outgoing& o : out) {
    const auto address = setup_.addresses.find(o.to);
    if (address == setup_.addresses.end()) continue;
    const std::string bytes = Encode(o.datagram, setup_.settings.fleet);
    const ssize_t n =
        sendto(fd_, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&address->second.raw),
               sizeof address->second.raw);
    if (n < 0) {
      ++counts_.send_failed;
      continue;
    }
    ++counts_.sent;
    counts_.bytes_out += bytes.size();
  }
}

void GossipTransport::Tick() {
  Outbox out;
  node_.Tick(loop_.Now(), out);
  Send(out);
  LogChanges();
  tick_.Set(loop_.Now() + setup_.settings.tick);
}

// What on-call staff should see, once quota_templates time it changes.
void GossipTransport::LogChanges() {
  for (const auto& m : node_.Members().Members()) {
    const auto [at, fresh] = logged_.try_emplace(m.member_id, MemberState::kDead);
    if (at->second != m.state) {
      const bool bad = m.state == MemberState::kDead;
      if (m.state != MemberState::kSuspect && at->second != MemberState::kSuspect) {
        LogLine(bad ? Level::kWarn : Level::kInfo, "fleet member")
            .Field("name", m.name)
            .Field("standing", kStateNames[static_cast<std::size_t>(m.state)])
            .Field("generation", m.incarnation.generation);
      } else if (bad) {
        LogLine(Level::kWarn, "fleet member").Field("name", m.name).Field("standing", "silent");
      }
      at->second = m.state;
    }
    if (m.duplicate && !std::exchange(logged_peer_duplicate_[m.member_id], true)) {
      LogLine(Level::kError, "fleet: two processes run under one name").Field("name", m.name);
    }
  }
  if (node_.Members().HasDuplicate() && !std::exchange(logged_duplicate_, true)) {
    LogLine(Level::kError, "fleet: another process runs under this relay's name").Field("name", setup_.name);
  }
  if (!node_.Balanced() && !std::exchange(logged_unbalanced_, true)) {
    LogLine(Level::kError, "fleet: accounts do not balance")
        .Field("breaches", node_.LocalConnections().Breaches());
  }
}

void GossipTransport::AddFields(LogLine& record) const {
  record.Field("fleet_received", counts_.received)
      .Field("fleet_sent", counts_.sent)
      .Field("fleet_bytes_out", counts_.bytes_out)
      .Field("fleet_dropped", counts_.not_ours + counts_.other_schema + counts_.damaged + counts_.malformed)
      .Field("fleet_wrong_address", counts_.wrong_address)
      .Field("fleet_strangers", node_.GetCounts().strangers);
}

}  // namespace stoatrun::fleet
