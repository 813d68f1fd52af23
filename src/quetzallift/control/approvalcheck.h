#pragma once

#include <functional>
#include <map>
#include <string>

namespace Quetzallift
{
struct Bundle;
struct RolloutRecord;

// Public keys by the name of the approver, from the settings of the host.
using Approvers = std::map<std::string, std::string>;

// Whether a signature over a digest was made with the secret key that belongs to a public key.
using SignatureCheck = std::function<bool(const std::string &digest, const std::string &signature, const std::string &publicKey)>;

// Returns the reason why the approval of a rollout is not valid for its bundle, or an empty text if it is valid. The
// approver must be listed, must not be the author, and must have signed the digest of the bundle.
std::string approvalRefusal(const RolloutRecord &rollout, const Bundle &bundle, const Approvers &approvers, const SignatureCheck &check);
}
