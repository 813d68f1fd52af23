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

// Says why the approval of a rollout does not allow its bundle; empty if it does. The approver must be listed, must not
// be the author, and must have signed this digest.
std::string approvalRefusal(const RolloutRecord &rollout, const Bundle &bundle, const Approvers &approvers, const SignatureCheck &check);
}
