#include "fleet/io/seat.h"

#include <algorithm>
#include <utility>

namespace stoatrun::fleet {

Seat::Seat(Loop& loop, Talk& talk, std::vector<std::string> quotas)
    : loop_(loop), talk_(talk), adviser_(talk.Seat()), quotas_(std::move(quotas)) {}

bool Seat::MaySpend(const std::string& budget) {
  return !talk_.Seat().Purses().Knows(budget) || talk_.Spend(budget);
}

Peers::Ticket Seat::Take(std::size_t class_index, std::string_view group) {
  const Accounts::Ticket t = talk_.Seat().Own().Take(static_cast<std::uint32_t>(class_index), group);
  return {t.row, t.open, 0};
}

void Seat::Finish(Ticket& ticket, End end) {
  Accounts::Ticket t{ticket.row, ticket.open};
  talk_.Seat().Own().Finish(t, end == End::kServed    ? Accounts::End::kServed
                               : end == End::kRefused ? Accounts::End::kRefused
                                                      : Accounts::End::kFailed);
  ticket.open = false;
  if (ticket.quota != 0) talk_.Seat().Release(Adviser::Quota(quotas_[ticket.quota - 1]));
  ticket.quota = 0;
}

bool Seat::Hold(Ticket& ticket, std::string_view group) {
  const auto at = std::find(quotas_.begin(), quotas_.end(), group);
  if (at == quotas_.end()) return true;
  if (!talk_.Spend(Adviser::Quota(group))) return false;
  ticket.quota = static_cast<std::uint32_t>(at - quotas_.begin()) + 1;
  return true;
}

std::vector<std::pair<std::uint32_t, std::size_t>> Seat::Excess() {
  std::vector<std::pair<std::uint32_t, std::size_t>> out;
  for (std::size_t k = 0; k < quotas_.size(); ++k) {
    const std::uint32_t n = talk_.Seat().Purses().Excess(loop_.Now(), Adviser::Quota(quotas_[k]));
    if (n > 0) out.emplace_back(static_cast<std::uint32_t>(k) + 1, n);
  }
  return out;
}

void Seat::OnSent(std::string_view host) { talk_.Seat().NoteSent(loop_.Now(), std::string(host)); }

void Seat::OnSaw(std::string_view host, Saw saw) {
  const Verdict verdict = saw == Saw::kFine   ? Verdict::kFine
                          : saw == Saw::kFull ? Verdict::kFull
                                              : Verdict::kFailing;
  talk_.Seat().Servers().Observe(loop_.Now(), std::string(host), verdict);
}

void Seat::OnListed(const std::vector<std::pair<std::string, std::int64_t>>& hosts) {
  adviser_.Listed(hosts);
}

std::vector<Peers::Advice> Seat::Advise(const std::vector<std::string>& cold) {
  std::vector<Advice> out;
  for (ServerAdvice& a : adviser_.Advise(loop_.Now(), cold))
    out.push_back({std::move(a.server), a.unseen, a.cold, a.avoid});
  return out;
}

}  // namespace stoatrun::fleet
