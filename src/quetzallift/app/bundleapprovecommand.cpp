#include "quetzallift/app/bundlearguments.h"
#include "quetzallift/app/bundlecommands.h"
#include "quetzallift/app/commands.h"
#include "quetzallift/app/options.h"
#include "quetzallift/app/settings.h"
#include "quetzallift/edge/jsonfields.h"
#include "quetzallift/edge/signature.h"
#include "quetzallift/model/error.h"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <iostream>

namespace Quetzallift
{
namespace
{
// Creates a file that only its owner may read. An existing file is not replaced, since it may hold the only copy of a key.
void writePrivateFile(const std::string &file, const std::string &content)
{
    constexpr mode_t OwnerOnly = 0600;
    const int descriptor = ::open(file.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, OwnerOnly);
    const bool written = descriptor >= 0 && ::write(descriptor, content.data(), content.size()) == static_cast<ssize_t>(content.size());
    if (descriptor >= 0) {
        ::close(descriptor);
    }
    if (!written) {
        throw Error(Step::Approve, file, "the file cannot be created, or exists already");
    }
}

std::string readSecretKey(const std::string &file)
{
    const nlohmann::json document = parseJson(readFile(file), Step::Approve, file, true);
    JsonFields fields(document, Step::Approve, file);
    return fields.text("secret_key");
}

// Stores the approval, in place of an earlier one, which may carry a wrong key. Whatever the answer to the write was, what
// is stored decides.
bool storeApproval(const OperatorPlatform &platform, const std::string &object, const Approval &approval)
{
    PlatformRequest request;
    request.object = object;
    request.timeout = std::chrono::seconds(5);
    const PlatformReply earlier = platform.call(request);
    request.verb = earlier.outcome == PlatformOutcome::Applied ? PlatformVerb::Update : PlatformVerb::Create;
    request.version = earlier.version;
    request.value = approval;
    platform.call(request);
    const PlatformValue value = platform.read(object, Step::Approve);
    const auto *stored = std::get_if<Approval>(&value);
    return stored != nullptr && stored->approver == approval.approver && stored->signature == approval.signature;
}
}

int bundleKeygenCommand(int argc, const char **argv)
{
    char *file = nullptr;
    const poptOption table[] = {
        {"out", 'o', POPT_ARG_STRING, &file, 0, "File for the key pair; it must not exist", "FILE"},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    const Options options(argc, argv, table, "--out FILE");
    const OptionText fileOwner(file, &std::free);
    const KeyPair pair = generateKeyPair();
    const nlohmann::ordered_json document = {{"public_key", pair.publicKey}, {"secret_key", pair.secretKey}};
    writePrivateFile(requiredOption(file, "bundle keygen", "--out FILE"), document.dump(2) + "\n");
    std::cout << "public_key: " << pair.publicKey << '\n';
    return ExitOk;
}

int bundleApproveCommand(int argc, const char **argv)
{
    char *key = nullptr;
    char *name = nullptr;
    char *address = nullptr;
    const poptOption table[] = {
        {"key", 'k', POPT_ARG_STRING, &key, 0, "Key file made by bundle keygen", "FILE"},
        {"name", 'n', POPT_ARG_STRING, &name, 0, "The approver's name in the settings of the hosts", "NAME"},
        {"platform", 'p', POPT_ARG_STRING, &address, 0, "The platform's address", "IP:PORT"},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    const Options options(argc, argv, table, "DIGEST --key FILE --name NAME --platform IP:PORT");
    const OptionText keyOwner(key, &std::free);
    const OptionText nameOwner(name, &std::free);
    const OptionText addressOwner(address, &std::free);
    if (options.arguments().size() != 1) {
        throw Error(Step::Approve, "bundle approve", "expected: bundle approve DIGEST --key FILE --name NAME --platform IP:PORT");
    }
    const std::string digest = options.arguments().front();
    const std::string approver = requiredOption(name, "bundle approve", "--name NAME");
    const std::string secretKey = readSecretKey(requiredOption(key, "bundle approve", "--key FILE"));
    const OperatorPlatform platform(requiredOption(address, "bundle approve", "--platform IP:PORT"));
    const BundlePtr bundle = readStoredBundle(platform, digest, Step::Approve);
    if (bundle->author == approver) {
        throw Error(Step::Approve, digest, approver + " is the author; another person must approve");
    }
    const Approval approval{approver, signDigest(digest, secretKey)};
    if (!storeApproval(platform, "approval/" + digest, approval)) {
        std::cout << "not approved: the platform did not take the approval, or another one came between; try again\n";
        return ExitFailed;
    }
    std::cout << "approved " << digest << " by " << approver << "; next: quetzallift bundle roll " << digest << '\n';
    return ExitOk;
}
}
