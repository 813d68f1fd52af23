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
// An earlier generation.
struct PastRollout {
    Generation generation;
    std::string digest;
    std::string token;
    std::string operatorName;
    WallTime rolledAt;
};

// The rollout object: the bundle in force, with the data that a host needs to verify it.
struct RolloutRecord {
    Generation generation;
    std::string digest;
    // A token unique to one attempt to roll, by which the writer detects whether its write took effect.
    std::string token;
    std::string operatorName;
    Approval approval = {};
    WallTime rolledAt = {};
    // Earlier generations, newest first, at most MaximumPastRollouts.
    std::vector<PastRollout> past = {};
};

// Limits the size of the rollout object, which every watcher receives.
constexpr std::size_t MaximumPastRollouts = 32;

// The claim of one non-repeatable request, and its outcome once known.
struct ClaimRecord {
    // A token unique to the attempt to claim.
    std::string token;
    std::string host;
    // Digest of the request's content, to detect an id that is reused for another request.
    std::string fingerprint;
    bool finished = false;
    // The encoded answer, once finished.
    std::string answer;
    // True if the host released the claim before anything was sent; another attempt may take over the claim.
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

// A searcher as read from its entry in the metadata store.
struct ReportedSearcher {
    SearcherEntry entry;
    // The remaining time for which the searcher is slow after its start.
    Duration coldFor = Duration::zero();
};

// A page of the list of searchers' entries, or a set of changes to the entries.
struct SearcherPage {
    std::vector<ReportedSearcher> entries;
    // Ids whose entries were removed or cannot be used.
    std::vector<std::string> removed;
    // For each entry that cannot be used, an error text that names the entry.
    std::vector<std::string> unusable;
    // True if the list continues after lastName.
    bool more = false;
    std::string lastName;
};

// The decoded value of an object; monostate if the object does not exist.
using PlatformValue = std::
    variant<std::monostate, RolloutRecord, BundlePtr, ClaimRecord, HostListRecord, BurnRecord, SharesRecord, Approval, RouteTablePtr, SearcherPage, ListedHost>;

enum class PlatformVerb {
    Read,
    // Answers when the object's version differs from the given version, or at the call's deadline.
    Watch,
    // Writes only if the object does not exist.
    Create,
    // Writes only if the object has the given version.
    Update,
    ReadHosts,
    // Reads the operator's configuration of routes immediately, or once its version differs from the given version.
    ReadConfiguration,
    WatchConfiguration,
    // Reads one page of the searchers' entries after a name, or the changes since a version. A watch whose history the
    // store no longer has is answered with NotApplied.
    ListSearchers,
    WatchSearchers,
    // Creates this host's entry in the host list, overwrites the given version of the entry, or deletes the entry.
    CreateHost,
    UpdateHost,
    DeleteHost,
};

// One call to the platform.
struct PlatformRequest {
    PlatformVerb verb = PlatformVerb::Read;
    // The object's name; for ListSearchers the name after which the page starts.
    std::string object;
    // The version expected by Update, UpdateHost, DeleteHost and the watches.
    std::uint64_t version = 0;
    PlatformValue value;
    Duration timeout = std::chrono::seconds(1);
};

enum class PlatformOutcome {
    // A read found the object, or a write took effect.
    Applied,
    // A read found no object, the condition of a write did not hold, the store no longer has the history that a watch
    // needs, or a write was not sent because this host's call budget was spent. Nothing changed.
    NotApplied,
    // No usable reply: a write may or may not have taken effect.
    Unknown,
};

struct PlatformReply {
    PlatformOutcome outcome = PlatformOutcome::Unknown;
    std::uint64_t version = 0;
    PlatformValue value;
    std::string detail;
    // True if a watch ended because its time was over, and nothing had changed.
    bool unchanged = false;
    // True if the platform may have more changes than this reply to a watch has room for: the reply does not show the present state.
    bool partial = false;
};
}
