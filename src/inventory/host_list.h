// The list of issuer hosts in discovery's JSON form, which the platform's configuration shares.
#ifndef STOATRUN_INVENTORY_HOST_LIST_H_
#define STOATRUN_INVENTORY_HOST_LIST_H_

#include <simdjson.h>

#include "inventory/hosts.h"

namespace stoatrun {

// Throws arrowhatch::settings::FormError. Entries without an id or an address are skipped.
HostList ReadHostList(const simdjson::dom::element& e);

}  // namespace stoatrun

#endif  // STOATRUN_INVENTORY_HOST_LIST_H_
