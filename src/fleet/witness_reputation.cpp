#include "fleet/witness_reputation.h"

namespace stoatrun::fleet {
namespace {

constexpr unsigned kMaxMisreports = 3;
constexpr Micros kDistrustPeriod = std::chrono::seconds(60);
constexpr std::size_t kMaxCounted = 256;  // Per author; all are forgotten when this is reached.

}  // namespace

bool WitnessReputation::OnMisreport(Micros now, MemberId author, const std::string& endpoint,
                                    std::uint64_t version) {
  Record& record = records_[author];
  if (record.counted.size() >= kMaxCounted) record.counted.clear();
  if (!record.counted.emplace(endpoint, version).second) return false;
  if (++record.misreports >= kMaxMisreports) {
    record.distrusted_until = now + kDistrustPeriod;
    record.misreports = 0;
  }
  return true;
}

std::vector<MemberId> WitnessReputation::DistrustedAuthors(Micros now) const {
  std::vector<MemberId> out;
  for (const auto& [author, record] : records_) {
    if (now < record.distrusted_until) out.push_back(author);
  }
  return out;
}

}  // namespace stoatrun::fleet
