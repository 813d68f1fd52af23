#include "quetzallift/report/burnreport.h"

#include <criterion/criterion.h>

using namespace Quetzallift;
using namespace std::chrono_literals;

namespace
{
constexpr WallTime Now{std::chrono::hours(480000)};
const ServiceKey Guide{"guide-app", "guide"};

RefPtr<Bundle> bundleWithObjective()
{
    RefPtr<Bundle> bundle(new Bundle);
    Objective objective;
    objective.backEnd = "guide-app";
    bundle->objectives.push_back(objective);
    return bundle;
}

BurnRecord recordOf(const std::string &host, std::chrono::minutes age, std::uint64_t answers, std::uint64_t slow)
{
    ServiceCounts counts;
    counts.answers = answers;
    counts.slow = slow;
    BurnRecord record;
    record.host = host;
    record.writtenAt = Now;
    record.count(Now - age, {{Guide, counts}});
    return record;
}

const IndicatorReport &latencyOf(const BurnReport &report)
{
    return report.services.at(0).indicators.at(0);
}
}

// Guards against a fast burn that raises no page.
Test(burnreport, fastBurnPages)
{
    const BurnReport report = makeBurnReport({recordOf("e1", 1min, 1000, 200)}, *bundleWithObjective(), Now);
    cr_assert(latencyOf(report).alert == BurnAlert::Page);
    cr_assert_float_eq(latencyOf(report).spans.at(0).rate, 20.0, 1e-6);
    cr_assert(latencyOf(report).exhaustedIn.has_value());
}

// Guards against a page for a burn that has ended: the long window still exceeds the rate, the short one no longer
// does.
Test(burnreport, burnThatEndedDoesNotPage)
{
    const std::vector<BurnRecord> records = {recordOf("e1", 50min, 1000, 200), recordOf("e2", 1min, 1000, 0)};
    cr_assert(latencyOf(makeBurnReport(records, *bundleWithObjective(), Now)).alert != BurnAlert::Page);
}

// Guards against a sum that leaves out hosts, and against a report that does not list a host that stopped writing.
Test(burnreport, sumsHostsAndListsSilentHosts)
{
    BurnRecord silent = recordOf("e2", 1min, 500, 0);
    silent.writtenAt = Now - 10min;
    const BurnReport report = makeBurnReport({recordOf("e1", 1min, 1000, 10), silent}, *bundleWithObjective(), Now);
    cr_assert_eq(latencyOf(report).spans.at(0).answers, 1500U);
    cr_assert_eq(report.silentHosts.size(), 1U);
    cr_assert_str_eq(report.silentHosts.at(0).host.c_str(), "e2");
}
