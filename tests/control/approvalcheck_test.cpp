#include "quetzallift/control/approvalcheck.h"
#include "quetzallift/model/platform.h"

#include <criterion/criterion.h>

using namespace Quetzallift;

namespace
{
std::string refusalFor(const Approval &approval)
{
    RefPtr<Bundle> bundle(new Bundle);
    bundle->digest = "d";
    bundle->author = "author";
    RolloutRecord rollout;
    rollout.approval = approval;
    return approvalRefusal(
        rollout, *bundle, {{"author", "ka"}, {"lead", "kl"}}, [](const std::string &digest, const std::string &signature, const std::string &key) {
            return signature == digest + key;
        });
}
}

// Guards against the adoption of a bundle that no listed approver other than its author has approved.
Test(approvalcheck, onlyAListedApproverOtherThanTheAuthorCounts)
{
    cr_assert_eq(refusalFor({"lead", "dkl"}), "");
    cr_assert(refusalFor({}).find("not approved") != std::string::npos);
    cr_assert(refusalFor({"author", "dka"}).find("is the author") != std::string::npos);
    cr_assert(refusalFor({"guest", "dkl"}).find("not listed") != std::string::npos);
    cr_assert(refusalFor({"lead", "dka"}).find("does not match") != std::string::npos);
}
