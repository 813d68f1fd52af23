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
// Who this entry host is, from its settings.
struct HostIdentity {
    std::string name;
    std::string address;
    std::string peerAddress;
    std::string dataCentre;
    std::string region;
    // The region of each data centre.
    std::map<std::string, std::string> regions;
    // The set of hosts and searchers that this host belongs to; empty in a fleet of one set.
    std::string cell;
    // Peer addresses to ask while no other host is known, for instance because the platform is down.
    std::vector<std::string> peers;
    unsigned trafficThreads = 1;
    // True if all hosts of the fleet start together for the first time.
    bool firstStart = false;
    ReloadableSettings reloadable;
};

// What the control thread does with the reply of a platform call.
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

// A claim that is being made.
struct PendingClaim {
    unsigned thread = 0;
    QueryId query;
    std::string object;
    ClaimRecord record;
    // The time at which the query must know whether it holds the claim.
    TimePoint deadline = {};
    PlatformOutcome created = PlatformOutcome::Unknown;
    unsigned reads = 0;
    // True once the query was told; the claim is then only looked for in order to release it.
    bool settled = false;
};

// The outcome of a claimed request that is not yet known to be recorded.
struct PendingOutcome {
    std::string object;
    std::uint64_t version = 0;
    ClaimRecord record;
    unsigned failures = 0;
};

// A platform call that has not been answered.
struct PendingCall {
    PlatformPurpose purpose = PlatformPurpose::ReadRollout;
    // Key into pendingClaims, for calls about claims.
    std::uint64_t claim = 0;
    // Set while the call waits for the budget of calls.
    std::optional<PlatformRequest> held = {};
    // True if the budget does not reach the call within its deadline.
    bool refused = false;
};

// The state of the control thread.
struct ControlState {
    // True on the control thread only.
    bool active = false;
    HostIdentity self;
    Generation generation;
    BundlePtr bundle;
    // The rollout that is in force, and since when.
    RolloutRecord rollout;
    TimePoint adoptedAt;
    // The rollout whose bundle is being read.
    RolloutRecord wanted;
    std::uint64_t rolloutVersion = 0;
    // The rollout that verification refused last; it is logged once.
    RolloutRecord refused;
    // Failures in a row, from which the wait before the next try follows.
    unsigned rolloutFailures = 0;
    unsigned bundleFailures = 0;
    HostListRecord hostList;
    // When the list was asked for; its content is not older.
    std::optional<TimePoint> hostListReadAt;
    TimePoint hostListAskedAt;
    bool hostListCalling = false;
    // Tells the timer of the next read from older ones.
    std::uint64_t hostListSerial = 0;
    DiscoveryState discovery;
    MembershipState fleet;
    SharesState shares;
    SpreadState spread;
    // True while this host is one of those that watch the platform.
    bool watching = false;
    // Tells the timer of the present wait from older ones.
    std::uint64_t pollSerial = 0;
    std::unordered_map<PlatformCallId, PendingCall> calls;
    std::uint64_t lastCall = 0;
    std::unordered_map<std::uint64_t, PendingClaim> claims;
    std::uint64_t lastClaim = 0;
    std::unordered_map<std::uint64_t, PendingOutcome> outcomes;
    std::uint64_t lastOutcome = 0;
    CallBudget callBudget;
    // Calls in a row that the platform did not answer, and since when it answers or does not.
    unsigned platformFailures = 0;
    TimePoint platformSince;
    // Versions of the claim objects that this host holds.
    std::unordered_map<std::string, std::pair<std::uint64_t, ClaimRecord>> heldClaims;
    BurnState burn;
    StopState stop;
};
}
