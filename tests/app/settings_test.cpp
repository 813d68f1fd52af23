#include "quetzallift/app/settings.h"
#include "quetzallift/model/error.h"

#include <unistd.h>

#include <array>
#include <fstream>
#include <string>

#include <criterion/criterion.h>

using namespace Quetzallift;

namespace
{
const std::string HostPart = R"("host":{"name":"n","address":"10.0.0.1:80","peer_address":"10.0.0.1:81","data_centre":"d","region":"r"})";
const std::string PlatformPart = R"("platform":{"address":"10.0.0.2:80"})";
const std::string Key = "d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a";
const std::string ApproverList = R"("approvers":[{"name":"kim","public_key":")" + Key + R"("}])";

// The error of a settings file with this content; empty if there is none.
std::string errorOf(const std::string &content)
{
    const std::string file = "settings-test-" + std::to_string(getpid()) + ".json";
    std::ofstream(file) << content;
    std::string error;
    try {
        readSettings(file);
    } catch (const Error &caught) {
        error = caught.what();
    }
    unlink(file.c_str());
    return error;
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}
}

// Guards against a host that starts with settings other than the ones meant, and against errors that do not say where.
Test(settings, everyBrokenFileNamesItsFieldAndWhatIsAllowed)
{
    const std::string good = "{ // comment\n" + HostPart + "," + PlatformPart + "," + ApproverList + "}";
    cr_assert_eq(errorOf(good), "");
    const std::array<std::pair<std::string, std::string>, 11> broken = {{
        {"{", "not valid JSON"},
        {"[]", "must be an object"},
        {"{" + PlatformPart + "," + ApproverList + "}", "host is missing"},
        {replaced(good, "10.0.0.1:80", "10.0.0.1"), "host.address is \"10.0.0.1\"; allowed: IP:PORT"},
        {replaced(good, "10.0.0.1:81", "10.0.0.1:70000"), "host.peer_address is"},
        {replaced(good, "\"name\":\"n\"", "\"name\":\"\""), "host.name is \"\"; allowed: a text"},
        {replaced(good, "\"region\"", "\"traffic_threads\":0,\"region\""), "host.traffic_threads is 0; allowed: an integer from 1 to 64"},
        {replaced(good, "\"region\"", "\"speed\":1,\"region\""), "host.speed is not a known field"},
        {replaced(good, ApproverList, "\"approvers\":[]"), "approvers is []; allowed: a list with at least one approver"},
        {replaced(good, Key, "abc"), "approvers[0].public_key is \"abc\"; allowed: an Ed25519 public key"},
        {replaced(good, R"("public_key":")" + Key + R"("})", R"("public_key":")" + Key + R"("},{"name":"kim","public_key":")" + Key + R"("})"),
         "approvers[1].name is \"kim\"; allowed: a name that no other approver has"},
    }};
    for (const auto &[content, expected] : broken) {
        const std::string error = errorOf(content);
        cr_assert(error.find("settings settings-test-") == 0, "%s", error.c_str());
        cr_assert(error.find(expected) != std::string::npos, "%s lacks %s", error.c_str(), expected.c_str());
    }
}

// Guards against hosts that keep to other rates than those that the platform states.
Test(settings, ratesOfThePlatformAreRead)
{
    const std::string routes = R"("routes":{"directory_address":"10.0.0.1:82","readiness_address":"10.0.0.1:83","metrics_address":"10.0.0.1:84"})";
    const auto budgetOf = [&routes](const std::string &platform) {
        return decodeSettings("{" + HostPart + "," + platform + "," + routes + "}", "test").callBudget;
    };
    const CallBudget stated = budgetOf(R"("platform":{"address":"10.0.0.2:80","reads_per_s":16000,"writes_per_s":3200})");
    cr_assert_float_eq(stated.fleetReadsPerSecond, 12000.0, 1e-6);
    cr_assert_float_eq(stated.fleetWritesPerSecond, 2000.0, 1e-6);
    const CallBudget unstated = budgetOf(PlatformPart);
    cr_assert_float_eq(unstated.fleetReadsPerSecond, 1500.0, 1e-6);
    cr_assert_float_eq(unstated.fleetWritesPerSecond, 250.0, 1e-6);
}

// Guards against a host whose clients may take more memory or descriptors than it has.
Test(settings, resourcesOfTheHostAreRead)
{
    const std::string routes = R"("routes":{"directory_address":"10.0.0.1:82","readiness_address":"10.0.0.1:83","metrics_address":"10.0.0.1:84"})";
    const std::string base = "{" + HostPart + "," + PlatformPart + "," + routes + "}";
    const HostResources stated = decodeSettings(replaced(base, "\"region\"", "\"memory_mb\":512,\"file_descriptors\":8192,\"region\""), "test").resources;
    cr_assert_eq(stated.memoryBytes, std::size_t{512} * 1024 * 1024);
    cr_assert_eq(stated.fileDescriptors, 8192U);
    const HostResources unstated = decodeSettings(base, "test").resources;
    cr_assert_eq(unstated.memoryBytes, std::size_t{160} * 1024 * 1024);
    cr_assert_eq(unstated.fileDescriptors, 4100U);
}
