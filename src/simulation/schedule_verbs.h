// The verbs of the schedule format and the arguments of each; schedule.h describes the format.
#ifndef STOATRUN_SIMULATION_SCHEDULE_VERBS_H_
#define STOATRUN_SIMULATION_SCHEDULE_VERBS_H_

#include <array>
#include <string_view>

#include "simulation/schedule.h"

namespace stoatrun::simulation {

// `arguments` has one letter per argument: r for a relay, s a server, n a number, l a list of relays.
struct VerbFormat {
  std::string_view verb;
  FaultAction action;
  std::string_view arguments;
};

inline constexpr std::array<VerbFormat, 25> kVerbs{{{"cut", FaultAction::kCutLink, "rr"},
                                                    {"heal", FaultAction::kHealLink, "rr"},
                                                    {"split", FaultAction::kPartition, "l"},
                                                    {"join", FaultAction::kHealAll, ""},
                                                    {"loss", FaultAction::kSetLoss, "n"},
                                                    {"double", FaultAction::kSetDuplication, "n"},
                                                    {"corrupt", FaultAction::kSetCorruption, "n"},
                                                    {"delay", FaultAction::kSetDelay, "nn"},
                                                    {"garbage", FaultAction::kSendGarbage, "rn"},
                                                    {"pause", FaultAction::kPause, "r"},
                                                    {"continue", FaultAction::kResume, "r"},
                                                    {"kill", FaultAction::kKill, "r"},
                                                    {"start", FaultAction::kStart, "r"},
                                                    {"leave", FaultAction::kLeave, "r"},
                                                    {"twin", FaultAction::kStartDuplicate, "r"},
                                                    {"untwin", FaultAction::kStopDuplicate, "r"},
                                                    {"remove", FaultAction::kRemoveFromPeers, "r"},
                                                    {"bad", FaultAction::kFailServer, "s"},
                                                    {"good", FaultAction::kRecoverServer, "s"},
                                                    {"renew", FaultAction::kRestartServer, "s"},
                                                    {"badlink", FaultAction::kBreakServerLinks, "r"},
                                                    {"goodlink", FaultAction::kRestoreServerLinks, "r"},
                                                    {"lie", FaultAction::kStartMisreporting, "r"},
                                                    {"truth", FaultAction::kStopMisreporting, "r"},
                                                    {"busy", FaultAction::kSetDemand, "rn"}}};

}  // namespace stoatrun::simulation

#endif  // STOATRUN_SIMULATION_SCHEDULE_VERBS_H_
