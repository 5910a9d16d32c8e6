#include "datagram_switch.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace stoatrun::fault_injection {
namespace {

constexpr std::size_t kMaxSamples = 64;
constexpr std::size_t kMaxNoiseBytes = 1300;
constexpr std::size_t kReceiveBytes = 2048;

}  // namespace

DatagramSwitch::DatagramSwitch(Harness& harness) : harness_(harness), sockets_(harness.relays.size()) {
  for (std::size_t relay = 0; relay < sockets_.size(); ++relay) Open(relay);
}

void DatagramSwitch::Open(std::size_t relay) {
  const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in address = SocketAddress(harness_.network.PeerIp(relay), kGossipPort);
  if (fd < 0 || bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    if (fd >= 0) close(fd);
    throw std::runtime_error("datagram switch: can't bind " + harness_.network.PeerIp(relay));
  }
  sockets_[relay].watcher =
      std::make_unique<DescriptorWatcher>(harness_.loop, fd, [this, relay] { Receive(relay); });
}

void DatagramSwitch::Receive(std::size_t receiver) {
  std::array<char, kReceiveBytes> buffer;
  while (true) {
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const ssize_t count = recvfrom(sockets_[receiver].watcher->Fd(), buffer.data(), buffer.size(), 0,
                                   reinterpret_cast<sockaddr*>(&from), &size);
    if (count < 0) return;
    // The last byte of a relay's address is its index plus one.
    const std::size_t sender = (ntohl(from.sin_addr.s_addr) & 0xff) - 1;
    if (sender >= sockets_.size()) continue;
    Forward(sender, receiver, std::string(buffer.data(), static_cast<std::size_t>(count)));
  }
}

void DatagramSwitch::Forward(std::size_t sender, std::size_t receiver, const std::string& datagram) {
  ++harness_.results.datagrams;
  harness_.results.datagram_bytes += datagram.size();
  if (sockets_[receiver].samples.size() < kMaxSamples) sockets_[receiver].samples.push_back(datagram);
  RandomSource& random = harness_.random;
  const int copies = random.Percent(faults_.DuplicationPercent()) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    if (random.Percent(faults_.LossPercent())) continue;
    std::string sent = datagram;
    if (random.Percent(faults_.CorruptionPercent())) Corrupt(sent);
    const auto spread = static_cast<double>((faults_.MaxDelay() - faults_.MinDelay()).count());
    const Micros delay = faults_.MinDelay() + Micros(static_cast<std::int64_t>(random.Unit() * spread));
    const std::uint64_t run = harness_.relays[sender]->run;
    if (delay.count() == 0) {
      Deliver(sender, run, receiver, sent);
    } else {
      harness_.loop.RunAfter(delay,
                             [this, sender, run, receiver, sent] { Deliver(sender, run, receiver, sent); });
    }
  }
}

void DatagramSwitch::Corrupt(std::string& datagram) {
  if (datagram.empty()) return;
  char& byte = datagram[harness_.random.Below(datagram.size())];
  byte = static_cast<char>(byte ^ 0x55);
}

void DatagramSwitch::Deliver(std::size_t sender_index, std::uint64_t sender_run, std::size_t receiver_index,
                             const std::string& datagram) {
  if (faults_.Blocks(sender_index, receiver_index)) return;
  const ManagedRelay& sender = *harness_.relays[sender_index];
  const ManagedRelay& receiver = *harness_.relays[receiver_index];
  if (!receiver.process.IsRunning()) return;
  Send(sender_index, harness_.network.RelayIp(receiver_index), datagram);
  if (receiver.duplicate.IsRunning()) {
    Send(sender_index, harness_.network.DuplicateIp(receiver_index), datagram);
  }
  const bool same_run = sender.process.IsRunning() && sender.run == sender_run;
  if (!same_run || receiver.paused || faults_.CorruptionPercent() != 0) return;
  if (run_contacts_.insert({sender_index, sender.run, receiver_index, receiver.run}).second) {
    harness_.history.FirstContact(receiver.name, sender.name);
  }
}

void DatagramSwitch::SendGarbage(std::size_t receiver, std::uint64_t count) {
  for (std::uint64_t number = 0; number < count; ++number) {
    const std::size_t sender = harness_.random.Below(sockets_.size());
    Send(sender, harness_.network.RelayIp(receiver), GarbageDatagram(receiver, number));
  }
}

std::string DatagramSwitch::GarbageDatagram(std::size_t receiver, std::uint64_t number) {
  const std::vector<std::string>& samples = sockets_[receiver].samples;
  if (number % 2 == 0 || samples.empty()) {
    std::string noise(harness_.random.Below(kMaxNoiseBytes), '\0');
    for (char& byte : noise) byte = static_cast<char>(harness_.random.Bits());
    return noise;
  }
  // A replay; three of four are truncated or have the schema or the fleet's name altered.
  std::string datagram = samples[harness_.random.Below(samples.size())];
  if (number % 8 == 1) datagram.resize(datagram.size() / 2);
  if (number % 8 == 3 && datagram.size() > 2) datagram[2] = 0;
  if (number % 8 == 5 && datagram.size() > 20) datagram[20] = static_cast<char>(datagram[20] ^ 1);
  return datagram;
}

void DatagramSwitch::Send(std::size_t sender, const std::string& receiver_ip, const std::string& datagram) {
  const sockaddr_in address = SocketAddress(receiver_ip, kGossipPort);
  sendto(sockets_[sender].watcher->Fd(), datagram.data(), datagram.size(), 0,
         reinterpret_cast<const sockaddr*>(&address), sizeof address);
}

}  // namespace stoatrun::fault_injection
