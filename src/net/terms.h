// The one place where the module's names meet the sockets': ids by slots, servers by numbers,
// outcomes by how an attempt ended, actions as orders.
#ifndef STOATRUN_NET_TERMS_H_
#define STOATRUN_NET_TERMS_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "arrowhatch/balancer.h"
#include "base/clock.h"
#include "base/slots.h"
#include "net/hosts.h"
#include "net/upstream.h"
#include "settings/settings.h"

namespace stoatrun {

// What the module orders, in the shop's terms.
class Orders {
 public:
  virtual ~Orders() = default;
  virtual void OpenAttempt(SlotId request, HostNumber host, Micros wait) = 0;
  virtual void AbandonAttempt(SlotId request, std::uint32_t attempt_number) = 0;
  virtual void Reject(SlotId request, Micros come_back) = 0;
  virtual void Fail(SlotId request) = 0;
  virtual void Move(SlotId request) = 0;
  virtual void Probe(HostNumber host) = 0;
  virtual void WakeIn(Micros delay) = 0;
  virtual void Watch() = 0;
};

void CarryOut(const arrowhatch::Action& action, Orders& orders);

struct Opening {  // What the module hears of a new request.
  std::size_t class_index = 0;
  Micros deadline{0};
  std::optional<double> load;
  bool again = false;
  std::uint64_t group = 0;  // Of those that share work at a host; 0: none.
};

arrowhatch::Event Arrived(SlotId request, const Opening& opening);
arrowhatch::Event Resumed(SlotId request, const Opening& opening, HostNumber host);
arrowhatch::Event AttemptIsUp(SlotId request, HostNumber host);
// `report` is what followed the host's word, where reports come with answers.
arrowhatch::Event AttemptEnded(SlotId request, HostNumber host, AttemptEnd end, bool finished,
                               std::string_view report);
arrowhatch::Event LoadIs(SlotId request, double load);
arrowhatch::Event MessageTook(HostNumber host, Micros delay);
arrowhatch::Event Probed(HostNumber host, bool ok, std::string_view report);
arrowhatch::Event Left(SlotId request);
// What the rest of the fleet says of a host: connections that no report shows yet, how many it may still be
// sent while it is cold (under 0: not known), and whether to avoid it for a while.
arrowhatch::Event PeersSay(HostNumber host, double unseen, double cold, bool avoid);
arrowhatch::Event ListFailed();

enum class ListSource { kKnown, kWatch };
arrowhatch::Event ListOf(const HostList& list, ListSource source,
                         const std::function<HostNumber(const std::string&)>& number_of, const Clock& clock,
                         std::vector<std::string>& zones);

}  // namespace stoatrun

#endif  // STOATRUN_NET_TERMS_H_
