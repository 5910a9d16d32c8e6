#include "fleet/io/gossip_transport.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>
#include <utility>
#include <variant>

namespace stoatrun::fleet {
namespace {

// Bounds the work of one turn, so that a flood of datagrams can't starve the event loop.
constexpr int kMaxDatagramsPerTurn = 64;
// Values of the log field `standing`, indexed by MemberState.
constexpr std::array<std::string_view, 4> kStateNames{"alive", "suspected", "silent", "left"};

Incarnation FirstIncarnation(const GossipTransportSetup& setup) {
  return {static_cast<std::uint64_t>(std::max<std::int64_t>(1, setup.start_unix_ms)),
          HashCombine(setup.seed, 0x11fe) | 1U};
}

}  // namespace

GossipTransport::GossipTransport(EventLoop& loop, const GossipTransportSetup& setup)
    : loop_(loop),
      setup_(setup),
      node_(setup.settings, setup.name, FirstIncarnation(setup), HashCombine(setup.seed, 0xf1ee7),
            loop.Now()),
      tick_(loop.timers, [this] { Tick(); }) {
  ev_init(&read_watcher_, OnReadable);
  read_watcher_.data = this;
}

GossipTransport::~GossipTransport() {
  if (fd_ < 0) return;
  ev_io_stop(loop_.native_handle(), &read_watcher_);
  close(fd_);
}

void GossipTransport::Start() {
  const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) throw std::system_error(errno, std::generic_category(), "fleet: socket");
  // Without SO_REUSEADDR and SO_REUSEPORT: a second process of this name on this machine must fail to bind.
  if (bind(fd, reinterpret_cast<const sockaddr*>(&setup_.listen.raw), sizeof setup_.listen.raw) != 0) {
    const int error = errno;
    close(fd);
    throw std::system_error(error, std::generic_category(), "fleet: bind " + setup_.listen_text);
  }
  fd_ = fd;
  ev_io_set(&read_watcher_, fd_, EV_READ);
  ev_io_start(loop_.native_handle(), &read_watcher_);
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
  ev_io_stop(loop_.native_handle(), &read_watcher_);
  close(std::exchange(fd_, -1));
}

void GossipTransport::SetPeers(const std::vector<Peer>& peers, const std::map<MemberId, Address>& addresses) {
  setup_.addresses = addresses;
  node_.SetPeers(peers, loop_.Now());
}

bool GossipTransport::TryAcquire(const std::string& quota) {
  loop_.clock.Read();
  Outbox out;
  const bool acquired = node_.TryAcquire(loop_.Now(), quota, out);
  Send(out);
  return acquired;
}

void GossipTransport::OnReadable(struct ev_loop* /*loop*/, ev_io* watcher, int /*events*/) {
  static_cast<GossipTransport*>(watcher->data)->ReadAvailable();
}

void GossipTransport::ReadAvailable() {
  // Larger than kMaxDatagramBytes. A datagram longer than the buffer is truncated and fails its checksum.
  std::array<char, 2048> buffer;
  for (int k = 0; k < kMaxDatagramsPerTurn; ++k) {
    Address from;
    socklen_t from_size = sizeof from.raw;
    const ssize_t size =
        recvfrom(fd_, buffer.data(), buffer.size(), 0, reinterpret_cast<sockaddr*>(&from.raw), &from_size);
    if (size >= 0) {
      HandleDatagram({buffer.data(), static_cast<std::size_t>(size)}, from);
      continue;
    }
    // ECONNREFUSED reports the rejection of a datagram that was sent earlier; reading goes on.
    if (errno != EINTR && errno != ECONNREFUSED) return;
  }
}

void GossipTransport::HandleDatagram(std::string_view bytes, const Address& from) {
  ++counts_.received;
  counts_.bytes_in += bytes.size();
  const auto decoded = Decode(bytes, setup_.settings.fleet);
  if (const auto* error = std::get_if<DecodeError>(&decoded)) {
    CountDecodeError(*error);
    return;
  }
  const auto& datagram = std::get<Datagram>(decoded);
  const auto address = setup_.addresses.find(datagram.from);
  if (address == setup_.addresses.end() || !(address->second == from)) {
    ++counts_.wrong_address;
    return;
  }
  Outbox out;
  node_.OnDatagram(loop_.Now(), datagram, out);
  Send(out);
}

void GossipTransport::CountDecodeError(DecodeError error) {
  switch (error) {
    case DecodeError::kUnknownProtocol:
      ++counts_.unknown_protocol;
      break;
    case DecodeError::kUnsupportedSchema:
      ++counts_.unsupported_schema;
      break;
    case DecodeError::kBadChecksum:
      ++counts_.bad_checksum;
      break;
    case DecodeError::kMalformed:
      ++counts_.malformed;
      break;
  }
}

void GossipTransport::Send(const Outbox& out) {
  if (fd_ < 0) return;
  for (const Outgoing& outgoing : out) {
    const auto address = setup_.addresses.find(outgoing.to);
    if (address == setup_.addresses.end()) continue;
    const std::string bytes = Encode(outgoing.datagram, setup_.settings.fleet);
    const ssize_t sent =
        sendto(fd_, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&address->second.raw),
               sizeof address->second.raw);
    if (sent < 0) {
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

// Logs the changes that on-call staff need to see, each of them once.
void GossipTransport::LogChanges() {
  for (const Membership::Member& member : node_.Members().Members()) {
    LoggedMember& logged = logged_members_[member.member_id];
    LogMemberState(member, logged);
    if (member.duplicate && !std::exchange(logged.duplicate, true)) {
      LogLine(Level::kError, "fleet: two processes run under one name").Field("name", member.name);
    }
  }
  if (node_.Members().HasDuplicate() && !std::exchange(logged_duplicate_, true)) {
    LogLine(Level::kError, "fleet: another process runs under this relay's name").Field("name", setup_.name);
  }
  if (!node_.IsBalanced() && !std::exchange(logged_unbalanced_, true)) {
    LogLine(Level::kError, "fleet: accounts do not balance")
        .Field("breaches", node_.LocalConnections().Breaches());
  }
}

// Suspicions and their refutations are not logged.
void GossipTransport::LogMemberState(const Membership::Member& member, LoggedMember& logged) {
  const MemberState before = std::exchange(logged.state, member.state);
  if (before == member.state) return;
  const bool dead = member.state == MemberState::kDead;
  if (member.state != MemberState::kSuspect && before != MemberState::kSuspect) {
    LogLine(dead ? Level::kWarn : Level::kInfo, "fleet member")
        .Field("name", member.name)
        .Field("standing", kStateNames[static_cast<std::size_t>(member.state)])
        .Field("generation", member.incarnation.generation);
  } else if (dead) {
    LogLine(Level::kWarn, "fleet member").Field("name", member.name).Field("standing", "silent");
  }
}

void GossipTransport::AddFields(LogLine& record) const {
  record.Field("fleet_received", counts_.received)
      .Field("fleet_sent", counts_.sent)
      .Field("fleet_bytes_out", counts_.bytes_out)
      .Field("fleet_dropped", counts_.Undecodable())
      .Field("fleet_wrong_address", counts_.wrong_address)
      .Field("fleet_strangers", node_.GetCounts().unknown_senders);
}

}  // namespace stoatrun::fleet
