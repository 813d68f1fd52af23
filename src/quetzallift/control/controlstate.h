#pragma once

#include "quetzallift/control/burn.h"
#include "quetzallift/control/callbudget.h"
#include "quetzallift/control/discovery/discoverystate.h"
#include "quetzallift/control/membershipstate.h"
#include "quetzallift/control/sharesstate.h"
#include "quetzallift/control/spreadstate.h"
#include "quetzallift/control/stopstate.h"
#include "quetzallift/model/controlsnapshot.h"
#include "quetzallift/model/platform.h"
#include "quetzallift/model/reloadablesettings.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Quetzallift
{
// The identity of this entry host, from its settings.
struct HostIdentity {
    std::string name;
    std::string address;
    std::string peerAddress;
    std::string dataCentre;
    std::string region;
    // The region of each data centre.
    std::map<std::string, std::string> regions;
    // The cell (set of hosts and searchers) that this host belongs to; empty if the fleet is a single cell.
    std::string cell;
    // Peer addresses to probe while no other host is known, for example because the platform is unavailable.
    std::vector<std::string> peers;
    unsigned trafficThreads = 1;
    // The part of processor time that this host may use, in thousandths of a core; 0 if unknown.
    unsigned capacity = 0;
    // True if all hosts of the fleet start at the same time for the first time.
    bool firstStart = false;
    ReloadableSettings reloadable;
};

// The purpose of a platform call, which selects the handler of its reply.
enum class PlatformPurpose {
    ReadRollout,
    WatchRollout,
    ReadBundle,
    ReadHosts,
    CreateClaim,
    ReadClaim,
    ReleaseClaim,
    RecordOutcome,
    ReadShares,
    WriteShares,
    ReadOutcome,
    ReadBurn,
    WriteBurn,
    Configuration,
    ListSearchers,
    WatchSearchers,
    RegisterHost,
    RemoveHost,
};

// A claim that is not settled yet, or that is settled and not released yet.
struct PendingClaim {
    unsigned thread = 0;
    QueryId query;
    std::string object;
    ClaimRecord record;
    // The time at which the query must know whether it holds the claim.
    TimePoint deadline = {};
    PlatformOutcome created = PlatformOutcome::Unknown;
    unsigned reads = 0;
    // True once the query has its result; the claim object is then read only in order to release it.
    bool settled = false;
};

// The outcome of a claimed request whose write to the claim object is not confirmed yet.
struct PendingOutcome {
    std::string object;
    std::uint64_t version = 0;
    ClaimRecord record;
    unsigned failures = 0;
};

// A platform call without a reply.
struct PendingCall {
    PlatformPurpose purpose = PlatformPurpose::ReadRollout;
    // Key into ControlState::claims or ControlState::outcomes, for calls about these.
    std::uint64_t subject = 0;
    // The request, while the call waits for the call budget.
    std::optional<PlatformRequest> queuedRequest = {};
    // True if the call budget would not admit the call within its timeout.
    bool overBudget = false;
    // When the call was sent, and how long the platform waits for a change before it answers.
    TimePoint sentAt = {};
    Duration watchTime = Duration::zero();
};

// The state of the control thread.
struct ControlState {
    // True on the control thread only.
    bool active = false;
    HostIdentity self;
    Generation generation;
    BundlePtr bundle;
    // The rollout that is in force, and the time of its adoption.
    RolloutRecord rollout;
    TimePoint adoptedAt;
    // The newest rollout read from the platform; its bundle is read while its generation is above the one in force.
    RolloutRecord pendingRollout;
    std::uint64_t rolloutVersion = 0;
    // The rollout that verification refused last; a repeated refusal of it is not logged again.
    RolloutRecord lastRefused;
    // Consecutive failures, from which the backoff before the next retry is computed.
    unsigned rolloutFailures = 0;
    unsigned bundleFailures = 0;
    HostListRecord hostList;
    // The time at which the list was requested; its content is not older.
    std::optional<TimePoint> hostListReadAt;
    TimePoint hostListRequestedAt;
    bool hostListReadPending = false;
    // Number of the current read timer; timers with a lower number are ignored.
    std::uint64_t hostListSerial = 0;
    DiscoveryState discovery;
    MembershipState fleet;
    // The traffic threads that are busy.
    std::set<unsigned> busyThreads;
    SharesState shares;
    SpreadState spread;
    // True while this host is one of the watchers of the platform in its data centre.
    bool watching = false;
    // Number of the current poll timer; timers with a lower number are ignored.
    std::uint64_t pollSerial = 0;
    std::unordered_map<PlatformCallId, PendingCall> calls;
    std::uint64_t lastCall = 0;
    std::unordered_map<std::uint64_t, PendingClaim> claims;
    std::uint64_t lastClaim = 0;
    std::unordered_map<std::uint64_t, PendingOutcome> outcomes;
    std::uint64_t lastOutcome = 0;
    CallBudget callBudget;
    // Consecutive calls without an answer from the platform, and the time at which its reachability last changed.
    unsigned platformFailures = 0;
    TimePoint platformSince;
    // Versions and records of the claim objects that this host holds.
    std::unordered_map<std::string, std::pair<std::uint64_t, ClaimRecord>> heldClaims;
    BurnState burn;
    StopState stop;
};
}
