#pragma once

#include "quetzallift/model/approval.h"
#include "quetzallift/model/bundle.h"
#include "quetzallift/model/burnrecord.h"
#include "quetzallift/model/ids.h"
#include "quetzallift/model/routetable.h"
#include "quetzallift/model/searchertable.h"
#include "quetzallift/model/sharesrecord.h"
#include "quetzallift/model/time.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Quetzallift
{
// One generation that was rolled earlier.
struct PastRollout {
    Generation generation;
    std::string digest;
    std::string token;
    std::string operatorName;
    WallTime rolledAt;
};

// The rollout object: which bundle is in force, with all that a host needs in order to verify it.
struct RolloutRecord {
    Generation generation;
    std::string digest;
    // Unique to one attempt to roll; tells the writer whether its write took effect.
    std::string token;
    std::string operatorName;
    Approval approval = {};
    WallTime rolledAt = {};
    // The generations before this one, newest first, at most MaximumPastRollouts.
    std::vector<PastRollout> past = {};
};

// Bounds the size of the rollout object, which every watcher receives.
constexpr std::size_t MaximumPastRollouts = 32;

// The claim of one request that may not be repeated, and its outcome once known.
struct ClaimRecord {
    // Unique to the attempt to claim.
    std::string token;
    std::string host;
    // Digest of the request's content, so that an id used for another request is noticed.
    std::string fingerprint;
    bool finished = false;
    // The encoded answer, once finished.
    std::string answer;
    // True if the host gave the claim up before anything was sent; another attempt may take it over.
    bool released = false;
};

// One entry of the platform's host list.
struct ListedHost {
    std::string name;
    std::string address;
    std::string peerAddress;
    std::string dataCentre;
    bool leaving = false;
};

struct HostListRecord {
    std::vector<ListedHost> hosts;
};

// A searcher as its entry in the metadata store shows it.
struct ReportedSearcher {
    SearcherEntry entry;
    // How much longer it is slow after its start.
    Duration coldFor = Duration::zero();
};

// A page of the searchers' entries, or what has changed in them.
struct SearcherPage {
    std::vector<ReportedSearcher> entries;
    // Ids whose entries are gone or cannot be used, the latter with the reason in the same place.
    std::vector<std::string> removed;
    std::vector<std::string> unusable;
    // True if the list goes on after the last name.
    bool more = false;
    std::string lastName;
};

// The decoded value of an object; monostate if there is none.
using PlatformValue = std::
    variant<std::monostate, RolloutRecord, BundlePtr, ClaimRecord, HostListRecord, BurnRecord, SharesRecord, Approval, RouteTablePtr, SearcherPage, ListedHost>;

enum class PlatformVerb {
    Read,
    // Answers when the object's version differs from the one named, or at the call's deadline.
    Watch,
    // Writes only if the object does not exist.
    Create,
    // Writes only if the object has the version named.
    Update,
    ReadHosts,
    // The operator's configuration of routes, now or once it has another version.
    ReadConfiguration,
    WatchConfiguration,
    // One page of the searchers' entries after a name, or the changes since a version. A watch whose history is gone is
    // not applied.
    ListSearchers,
    WatchSearchers,
    // Writes this host's entry in the host list, for the first time or over the version named, or deletes it.
    CreateHost,
    UpdateHost,
    DeleteHost,
};

// One call to the platform.
struct PlatformRequest {
    PlatformVerb verb = PlatformVerb::Read;
    // The object's name; for ListSearchers the name after which the page begins.
    std::string object;
    // The version expected by Update, UpdateHost, DeleteHost and the watches.
    std::uint64_t version = 0;
    PlatformValue value;
    Duration timeout = std::chrono::seconds(1);
};

enum class PlatformOutcome {
    // A read that found the object, or a write that took effect.
    Applied,
    // A read that found nothing, or a write whose condition did not hold. Nothing changed.
    NotApplied,
    // No usable answer: a write may or may not have taken effect.
    Unknown,
};

struct PlatformReply {
    PlatformOutcome outcome = PlatformOutcome::Unknown;
    std::uint64_t version = 0;
    PlatformValue value;
    std::string detail;
};
}
