#include "quetzallift/app/bundlearguments.h"
#include "quetzallift/app/bundlecommands.h"
#include "quetzallift/app/commands.h"
#include "quetzallift/app/options.h"
#include "quetzallift/control/bundlewarnings.h"
#include "quetzallift/model/error.h"

#include <iostream>

namespace Quetzallift
{
namespace
{
std::string onlyArgument(const Options &options, const std::string &command, const std::string &expected)
{
    if (options.arguments().size() != 1) {
        throw Error(Step::Settings, command, "expected: " + expected);
    }
    return options.arguments().front();
}

// The bundle in force, or null if nothing was rolled yet.
BundlePtr bundleInForce(const OperatorPlatform &platform)
{
    const PlatformValue value = platform.read("rollout", Step::Prepare);
    const auto *rollout = std::get_if<RolloutRecord>(&value);
    return rollout == nullptr ? BundlePtr() : readStoredBundle(platform, rollout->digest, Step::Prepare);
}

void printDangers(const Bundle &bundle, const Bundle *inForce)
{
    for (const std::string &danger : bundleWarnings(bundle, inForce)) {
        std::cout << "warning: " << danger << '\n';
    }
}
}

int bundleCheckCommand(int argc, const char **argv)
{
    char *address = nullptr;
    char *against = nullptr;
    const poptOption table[] = {
        {"platform", 'p', POPT_ARG_STRING, &address, 0, "Compare with the bundle in force on this platform", "IP:PORT"},
        {"against", 'a', POPT_ARG_STRING, &against, 0, "Compare with the bundle in this file", "FILE"},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    const Options options(argc, argv, table, "FILE");
    const OptionText addressOwner(address, &std::free);
    const OptionText againstOwner(against, &std::free);
    const std::string file = onlyArgument(options, "bundle check", "bundle check FILE");
    const BundlePtr bundle = readBundleFile(file);
    BundlePtr inForce;
    if (against != nullptr) {
        inForce = readBundleFile(against);
    } else if (address != nullptr) {
        inForce = bundleInForce(OperatorPlatform(address));
    }
    printDangers(*bundle, inForce.get());
    std::cout << file << ": ok, digest " << bundle->digest << '\n';
    return ExitOk;
}

int bundlePrepareCommand(int argc, const char **argv)
{
    char *address = nullptr;
    const poptOption table[] = {
        {"platform", 'p', POPT_ARG_STRING, &address, 0, "The platform's address", "IP:PORT"},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    const Options options(argc, argv, table, "FILE");
    const OptionText addressOwner(address, &std::free);
    const std::string file = onlyArgument(options, "bundle prepare", "bundle prepare FILE --platform IP:PORT");
    const OperatorPlatform platform(requiredOption(address, "bundle prepare", "--platform IP:PORT"));
    const BundlePtr bundle = readBundleFile(file);
    printDangers(*bundle, bundleInForce(platform).get());
    PlatformRequest request{PlatformVerb::Create, "bundle/" + bundle->digest, 0, bundle, std::chrono::seconds(5)};
    const PlatformReply reply = platform.call(request);
    if (reply.outcome != PlatformOutcome::Applied) {
        // The object exists, or the answer was lost: what is stored under the digest decides.
        readStoredBundle(platform, bundle->digest, Step::Prepare);
    }
    std::cout << "prepared " << bundle->digest << " by " << bundle->author << "; next: quetzallift bundle approve " << bundle->digest << '\n';
    return ExitOk;
}
}
