#include "quetzallift/control/approvalcheck.h"

#include "quetzallift/model/platform.h"

namespace Quetzallift
{
std::string approvalRefusal(const RolloutRecord &rollout, const Bundle &bundle, const Approvers &approvers, const SignatureCheck &check)
{
    const Approval &approval = rollout.approval;
    if (approval.approver.empty() || approval.signature.empty()) {
        return "the bundle is not approved";
    }
    if (approval.approver == bundle.author) {
        return "the approver " + approval.approver + " is the author of the bundle";
    }
    const auto found = approvers.find(approval.approver);
    if (found == approvers.end()) {
        return "the approver " + approval.approver + " is not listed in the settings";
    }
    if (!check(bundle.digest, approval.signature, found->second)) {
        return "the signature of " + approval.approver + " does not match the bundle";
    }
    return {};
}
}
