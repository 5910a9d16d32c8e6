#include "simulation/fault_target.h"

namespace stoatrun::simulation {
namespace {

// Returns false for steps that do not concern a server.
bool ApplyToServer(const Step& step, FaultTarget& target) {
  switch (step.action) {
    case FaultAction::kFailServer:
    case FaultAction::kRecoverServer:
      target.SetServerFailing(step.Index(0), step.action == FaultAction::kFailServer);
      return true;
    case FaultAction::kRestartServer:
      target.RestartServer(step.Index(0));
      return true;
    default:
      return false;
  }
}

void ApplyToProcess(const Step& step, FaultTarget& target) {
  const std::size_t relay = step.Index(0);
  switch (step.action) {
    case FaultAction::kPause:
      return target.Pause(relay);
    case FaultAction::kResume:
      return target.Resume(relay);
    case FaultAction::kKill:
      return target.Kill(relay);
    case FaultAction::kStart:
      return target.Start(relay);
    case FaultAction::kLeave:
      return target.Leave(relay);
    case FaultAction::kStartDuplicate:
      return target.StartDuplicate(relay);
    case FaultAction::kStopDuplicate:
      return target.StopDuplicate(relay);
    case FaultAction::kRemoveFromPeers:
      return target.RemoveFromPeers(relay);
    case FaultAction::kSendGarbage:
      return target.SendGarbage(relay, step.Number(1));
    default:
      return;
  }
}

}  // namespace

void ApplyStep(const Step& step, FaultTarget& target) {
  if (target.Network().Apply(step) || ApplyToServer(step, target)) return;
  if (!target.FaultsOf(step.Index(0)).Apply(step)) ApplyToProcess(step, target);
}

}  // namespace stoatrun::simulation
