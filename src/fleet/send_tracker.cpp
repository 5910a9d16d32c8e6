#include "fleet/send_tracker.h"

#include <algorithm>

namespace stoatrun::fleet {
namespace {

using std::chrono::milliseconds;

constexpr Micros kMaxReportDelay = milliseconds(1500);  // By then a load report includes the request.
constexpr Micros kPeerReportLifetime = milliseconds(1500);
constexpr std::size_t kMaxOwnSends = 4096;

}  // namespace

void SendTracker::OnRequestSent(Micros now, const std::string& endpoint) {
  sends_.push_back({now, endpoint});
  while (sends_.size() > kMaxOwnSends || (!sends_.empty() && sends_.front().at + kMaxReportDelay <= now)) {
    sends_.pop_front();
  }
}

std::vector<UnreportedSends> SendTracker::LocalSends(Micros now) const {
  std::map<std::string, std::uint32_t> by_endpoint;
  for (const Send& send : sends_) {
    if (now < send.at + kMaxReportDelay) ++by_endpoint[send.endpoint];
  }
  std::vector<UnreportedSends> out;
  out.reserve(by_endpoint.size());
  for (const auto& [endpoint, count] : by_endpoint) out.push_back({endpoint, count});
  return out;
}

void SendTracker::OnPeerReport(Micros now, MemberId peer, const std::vector<UnreportedSends>& sends) {
  PeerReport& report = peer_reports_[peer];
  report.sends.clear();
  for (const UnreportedSends& part : sends) report.sends[part.endpoint] = part.count;
  report.at = now;
}

void SendTracker::ErasePeer(MemberId peer) { peer_reports_.erase(peer); }

void SendTracker::SetPeers(const std::vector<Peer>& peers) {
  std::erase_if(peer_reports_, [&](const auto& report) {
    return std::none_of(peers.begin(), peers.end(),
                        [&](const Peer& peer) { return peer.member_id == report.first; });
  });
}

std::optional<double> SendTracker::UnreportedInFlight(Micros now, const std::string& endpoint,
                                                      std::size_t alive_peers) const {
  double reported = 0;
  std::size_t reporters = 0;
  for (const auto& [peer, report] : peer_reports_) {
    if (now >= report.at + kPeerReportLifetime) continue;
    ++reporters;
    const auto at = report.sends.find(endpoint);
    if (at != report.sends.end()) reported += at->second;
  }
  if (reporters == 0) return std::nullopt;
  return reported * static_cast<double>(std::max(alive_peers, reporters)) / static_cast<double>(reporters);
}

}  // namespace stoatrun::fleet
