#include "fleet/member_list_sync.h"

#include <algorithm>

namespace stoatrun::fleet {
namespace {

constexpr Micros kPageTimeout = std::chrono::seconds(2);  // After that, another peer's list is read.
constexpr unsigned kBitsPerByte = 8;

std::set<MemberId> ParseBasis(const std::string& bitmap) {
  std::set<MemberId> basis;
  for (MemberId member_id = 0; member_id < bitmap.size() * kBitsPerByte; ++member_id) {
    const auto byte = static_cast<unsigned char>(bitmap[member_id / kBitsPerByte]);
    if (byte >> (member_id % kBitsPerByte) & 1U) basis.insert(member_id);
  }
  return basis;
}

}  // namespace

std::optional<MemberId> MemberListSync::StartReading(Micros now, MemberId peer) {
  if (complete_ || (reading_ && now < reading_->requested_at + kPageTimeout)) return std::nullopt;
  reading_ = Reading{peer, 0, now, true, {}};
  return 0;
}

std::string MemberListSync::BasisBitmap() const {
  std::string bitmap;
  for (const MemberId member_id : basis_) {
    const std::size_t at = member_id / kBitsPerByte;
    if (at >= bitmap.size()) bitmap.resize(at + 1, '\0');
    bitmap[at] = static_cast<char>(bitmap[at] | 1 << (member_id % kBitsPerByte));
  }
  return bitmap;
}

bool MemberListSync::HoldsAllBases(const Settings& settings) const {
  return std::all_of(settings.peers.begin(), settings.peers.end(),
                     [&](const Peer& peer) { return basis_.contains(peer.member_id); });
}

std::optional<MemberId> MemberListSync::OnPage(Micros now, MemberId peer, const MemberListPage& page,
                                               const Settings& settings) {
  if (!reading_ || reading_->peer != peer || reading_->next != page.from || page.next <= page.from) {
    return std::nullopt;
  }
  std::set<MemberId> basis = ParseBasis(page.basis);
  basis.insert(peer);
  // The intersection over all pages. The peer's knowledge only grows, so this is its basis at the first page.
  if (page.from == 0) reading_->basis = basis;
  std::erase_if(reading_->basis, [&](MemberId member_id) { return !basis.contains(member_id); });
  reading_->complete = reading_->complete && page.complete;
  if (page.next < settings.fleet_size) {
    reading_->next = page.next;
    reading_->requested_at = now;
    return page.next;
  }
  basis_.insert(reading_->basis.begin(), reading_->basis.end());
  complete_ = reading_->complete || HoldsAllBases(settings);
  reading_.reset();
  return std::nullopt;
}

}  // namespace stoatrun::fleet
