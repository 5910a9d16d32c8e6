#include "endpoint/endpoint_list_sharing.h"

#include <chrono>
#include <cstddef>
#include <exception>
#include <utility>

#include "base/durations.h"
#include "base/log.h"

namespace stoatrun {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A change passes from one process to another within two steps, a part of the grace time of a drain.
constexpr Micros kStepInterval = milliseconds(50);
// Shows others that this process still runs.
constexpr Micros kPublicationInterval = seconds(2);
// The publishing process has ended if it has been silent for so long.
constexpr Micros kPublisherTimeout = seconds(4);
// Without a list, requests are rejected for at most so long (see UpdateDeadline). An older one of a process
// that has ended tells nothing about what counts as known.
constexpr Micros kMaxSnapshotAge = seconds(16);
// Enough for kMaxEndpoints.
constexpr std::size_t kMaxFileSize = 4 << 20;

std::optional<ReplaceableFile> OpenFile(const std::optional<EndpointListFile>& file) {
  if (!file) return std::nullopt;
  return ReplaceableFile(file->path, kMaxFileSize);
}

}  // namespace

EndpointListSharing::EndpointListSharing(EventLoop& loop, const std::optional<EndpointListFile>& file)
    : loop_(loop),
      file_(OpenFile(file)),
      origin_(file ? file->origin : SnapshotOrigin{}),
      next_step_(loop.timers, [this] { Step(); }) {}

std::optional<EndpointSnapshot> EndpointListSharing::Load() {
  auto snapshot = ReadIfReplaced();
  if (!snapshot) return std::nullopt;
  const Micros now = loop_.clock.Current();
  LogLine line(Level::kInfo, "endpoint list of the previous process");
  line.Field("revision", snapshot->list.revision)
      .Field("entries", snapshot->list.entries.size())
      .Field("age_ms", ToMilliseconds(now - snapshot->freshness.current_at))
      .Field("written_ms_ago", ToMilliseconds(now - snapshot->written_at));
  if (now - snapshot->written_at <= kMaxSnapshotAge) return snapshot;
  line.Flag("ignored", true);
  return std::nullopt;
}

void EndpointListSharing::Start(DiscoveryClient& discovery,
                                std::function<void(const EndpointUpdate&)> apply) {
  if (!file_) return;
  discovery_ = &discovery;
  apply_ = std::move(apply);
  Step();
}

void EndpointListSharing::OnUpdateApplied(const EndpointUpdate& update) {
  if (!file_) return;
  ++updates_;
  list_.Apply(update);
  // The first change after a pause is published at once, further ones together at the next step.
  if (discovery_ != nullptr && loop_.Now() >= written_at_ + kStepInterval) Publish();
}

void EndpointListSharing::Step() {
  Follow();
  Publish();
  next_step_.Set(loop_.Now() + kStepInterval);
}

std::optional<EndpointSnapshot> EndpointListSharing::ReadIfReplaced() {
  if (!file_) return std::nullopt;
  try {
    const auto content = file_->ReadIfReplaced();
    if (!content) return std::nullopt;
    EndpointSnapshot snapshot = DecodeSnapshot(*content, origin_, loop_.clock.Current());
    written_at_ = snapshot.written_at;
    other_written_at_ = snapshot.written_at;
    other_discovery_ = snapshot.discovery;
    other_service_since_ = snapshot.service_since;
    last_failure_.clear();
    return snapshot;
  } catch (const std::exception& error) {
    LogFailure("endpoint list of another process ignored", error.what());
    return std::nullopt;
  }
}

void EndpointListSharing::Follow() {
  const auto snapshot = ReadIfReplaced();
  if (!snapshot) return;
  if (discovery_->OnOtherProcess(*snapshot)) {
    apply_(snapshot->list);
  } else if (IsBehind(*snapshot)) {
    published_status_.reset();  // To be published again.
  }
}

bool EndpointListSharing::IsBehind(const EndpointSnapshot& other) const {
  const auto status = discovery_->Status();
  return status && status->discovery == other.discovery && status->revision > other.list.revision;
}

bool EndpointListSharing::IsPublicationDue(const DiscoveryClient::ListStatus& status) const {
  // Another process has moved to another service since.
  if (other_discovery_ != status.discovery && other_service_since_ > status.service_since) return false;
  const Micros silence = loop_.Now() - written_at_;
  // A list that was taken from another process is published in its place when that one has ended.
  if (!status.from_own_call) return silence >= kPublisherTimeout;
  return status != published_status_ || updates_ != published_updates_ || silence >= kPublicationInterval;
}

EndpointSnapshot EndpointListSharing::MakeSnapshot(const DiscoveryClient::ListStatus& status) const {
  EndpointSnapshot snapshot;
  snapshot.written_at = loop_.Now();
  snapshot.discovery = status.discovery;
  snapshot.service_since = status.service_since;
  snapshot.list.revision = status.revision;
  snapshot.list.complete = true;
  snapshot.list.entries = list_.Entries();
  snapshot.freshness = status.freshness;
  return snapshot;
}

bool EndpointListSharing::IsOnlySource() const {
  const bool is_publishing = discovery_ != nullptr && discovery_->HasReceivedEvent();
  return is_publishing && loop_.Now() - other_written_at_ >= kPublisherTimeout;
}

void EndpointListSharing::Publish() {
  if (discovery_ == nullptr) return;
  const auto status = discovery_->Status();
  if (!status || !IsPublicationDue(*status)) return;
  published_status_ = status;
  published_updates_ = updates_;
  written_at_ = loop_.Now();
  try {
    file_->Replace(EncodeSnapshot(MakeSnapshot(*status), origin_));
    last_failure_.clear();
  } catch (const std::exception& error) {
    LogFailure("endpoint list is not shared with another process", error.what());
  }
}

// Logs a failure once, until something succeeds or fails otherwise.
void EndpointListSharing::LogFailure(const char* event, const std::string& reason) {
  const std::string failure = event + reason;
  if (std::exchange(last_failure_, failure) == failure) return;
  LogLine(Level::kWarn, event).Reason(reason);
}

}  // namespace stoatrun
