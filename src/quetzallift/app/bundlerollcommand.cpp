#include "quetzallift/app/bundlearguments.h"
#include "quetzallift/app/bundlecommands.h"
#include "quetzallift/app/commands.h"
#include "quetzallift/app/options.h"
#include "quetzallift/control/rollattempt.h"
#include "quetzallift/model/error.h"

#include <iostream>
#include <random>
#include <sstream>
#include <thread>

namespace Quetzallift
{
namespace
{
// Between tries to read back a token whose write got no answer.
constexpr std::chrono::milliseconds ReadBackWait{500};

std::string newToken(const std::string &operatorName)
{
    std::random_device device;
    std::ostringstream text;
    text << operatorName << '-' << std::hex << device() << device() << device();
    return text.str();
}

RollResult carryOut(RollAttempt &attempt, const OperatorPlatform &platform)
{
    RollStep step = attempt.start();
    while (const auto *request = std::get_if<PlatformRequest>(&step)) {
        const PlatformReply reply = platform.call(*request);
        if (reply.outcome == PlatformOutcome::Unknown) {
            std::this_thread::sleep_for(ReadBackWait);
        }
        step = attempt.next(reply);
    }
    return std::get<RollResult>(step);
}

int report(const RollAttempt &attempt, const RollResult &result, const OperatorPlatform &platform)
{
    const RolloutRecord &wanted = attempt.proposed();
    const RolloutRecord &found = result.found;
    const std::string generation = std::to_string(wanted.generation.value);
    switch (result.outcome) {
    case RollOutcome::Won:
        std::cout << "rolled generation " << generation << ": " << wanted.digest << " by " << wanted.operatorName << '\n';
        if (found.generation > wanted.generation) {
            std::cout << "generation " << found.generation.value << " by " << found.operatorName << " has followed since\n";
        }
        return ExitOk;
    case RollOutcome::Lost:
        std::cout << "not rolled: " << found.operatorName << " rolled generation " << found.generation.value << " (" << found.digest << ") at "
                  << utcText(found.rolledAt) << "; compare with `quetzallift bundle diff " << found.digest << " " << wanted.digest
                  << "` and roll again if yours is still wanted\n";
        return ExitFailed;
    case RollOutcome::NotWritten:
        std::cout << "not rolled: the platform " << platform.address() << " did not take the write; nothing changed; try again later\n";
        return ExitFailed;
    case RollOutcome::Unknown:
        break;
    }
    std::cout << "unknown: generation " << generation << " was written, but the platform did not answer; it may take effect later; look at "
              << "`quetzallift bundle history` before rolling again\n";
    return ExitFailed;
}
}

int bundleRollCommand(int argc, const char **argv)
{
    char *operatorName = nullptr;
    char *address = nullptr;
    const poptOption table[] = {
        {"operator", 'o', POPT_ARG_STRING, &operatorName, 0, "Who rolls", "NAME"},
        {"platform", 'p', POPT_ARG_STRING, &address, 0, "The platform's address", "IP:PORT"},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    const Options options(argc, argv, table, "DIGEST --operator NAME --platform IP:PORT");
    const OptionText nameOwner(operatorName, &std::free);
    const OptionText addressOwner(address, &std::free);
    if (options.arguments().size() != 1) {
        throw Error(Step::Roll, "bundle roll", "expected: bundle roll DIGEST --operator NAME --platform IP:PORT");
    }
    RolloutRecord wanted;
    wanted.digest = options.arguments().front();
    wanted.operatorName = requiredOption(operatorName, "bundle roll", "--operator NAME");
    wanted.token = newToken(wanted.operatorName);
    wanted.rolledAt = std::chrono::system_clock::now();
    const OperatorPlatform platform(requiredOption(address, "bundle roll", "--platform IP:PORT"));
    const BundlePtr bundle = readStoredBundle(platform, wanted.digest, Step::Roll);
    const PlatformValue value = platform.read("approval/" + wanted.digest, Step::Roll);
    const auto *approval = std::get_if<Approval>(&value);
    if (approval == nullptr || approval->approver == bundle->author) {
        std::cout << "not rolled: " << wanted.digest << " is not approved by a person other than its author " << bundle->author << '\n';
        return ExitFailed;
    }
    wanted.approval = *approval;
    RollAttempt attempt(wanted);
    return report(attempt, carryOut(attempt, platform), platform);
}
}
