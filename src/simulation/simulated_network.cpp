#include "simulation/simulated_network.h"

#include <algorithm>
#include <chrono>

namespace stoatrun::simulation {
namespace {

constexpr std::size_t kMaxDeferred =
    128;  // Callbacks of a paused process; beyond, datagrams to it are dropped.
constexpr std::uint64_t kFalseObservations = 1000;
constexpr std::uint64_t kFalseVersionBase = 1'000'000;  // Makes it newer than any true evidence.
constexpr Micros kFalseValidity = std::chrono::hours(1);

}  // namespace

void SimulatedNetwork::Send(SimulatedRelay& sender, fleet::Outbox& out) {
  for (fleet::Outgoing& outgoing : out) {
    const std::size_t size = SizeOf(outgoing.datagram);
    if (size > fleet::kMaxDatagramBytes) ++state_.metrics.oversized_datagrams;
    if (sender.faults.misreports) AddFalseEvidence(sender, outgoing.datagram);
    ++state_.metrics.datagrams;
    state_.metrics.datagram_bytes += size;
    if (!state_.setup.sharing) continue;
    const int copies = state_.random.Below(100) < faults_.DuplicationPercent() ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) Transmit(sender, outgoing.to, outgoing.datagram);
  }
  out.clear();
}

void SimulatedNetwork::Transmit(const SimulatedRelay& sender, std::size_t receiver_index,
                                const fleet::Datagram& datagram) {
  if (state_.random.Below(100) < faults_.LossPercent()) return;
  const std::int64_t spread_us = (faults_.MaxDelay() - faults_.MinDelay()).count() + 1;
  const auto extra = state_.random.Below(static_cast<std::size_t>(std::max<std::int64_t>(1, spread_us)));
  const Micros delay = faults_.MinDelay() + Micros(static_cast<std::int64_t>(extra));
  SimulatedRelay& receiver = *state_.relays[receiver_index];
  state_.events.At(state_.Now() + delay,
                   [this, &sender, &receiver, sent = std::make_shared<const fleet::Datagram>(datagram)] {
                     Deliver(sender, receiver, sent);
                   });
}

void SimulatedNetwork::Deliver(const SimulatedRelay& sender, SimulatedRelay& receiver,
                               const DatagramPtr& datagram) {
  if (faults_.Blocks(sender.index, receiver.index) || !receiver.node) return;
  const std::uint64_t sender_run = sender.run;
  if (!receiver.paused) {
    HandleDatagram(sender, sender_run, receiver, *datagram);
  } else if (receiver.deferred.size() < kMaxDeferred) {
    receiver.deferred.emplace_back([this, &sender, sender_run, &receiver, datagram] {
      HandleDatagram(sender, sender_run, receiver, *datagram);
    });
  }
}

void SimulatedNetwork::HandleDatagram(const SimulatedRelay& sender, std::uint64_t sender_run,
                                      SimulatedRelay& receiver, const fleet::Datagram& datagram) {
  if (!receiver.node) return;
  const bool same_run = sender.run == sender_run && sender.node != nullptr;
  if (same_run && contacts_.insert({sender.index, sender_run, receiver.index, receiver.run}).second) {
    state_.history.FirstContact(receiver.name, sender.name);
  }
  fleet::Outbox out;
  receiver.node->OnDatagram(state_.LocalTime(receiver), datagram, out);
  Send(receiver, out);
}

void SimulatedNetwork::AddFalseEvidence(const SimulatedRelay& sender, fleet::Datagram& datagram) {
  const SimulatedServer& server = state_.RandomServer();
  fleet::Evidence evidence;
  evidence.author = datagram.from;
  evidence.incarnation = datagram.incarnation;
  evidence.endpoint = server.name;
  evidence.endpoint_start = server.start;
  evidence.verdict = fleet::HealthVerdict::kFailing;
  evidence.observations = kFalseObservations;
  evidence.version = kFalseVersionBase + state_.events.AddedCount();
  evidence.age = Micros(0);
  evidence.valid = kFalseValidity;
  datagram.evidence.insert(datagram.evidence.begin(), evidence);
  state_.history.FailureClaimed(sender.name, server.name);
}

}  // namespace stoatrun::simulation
