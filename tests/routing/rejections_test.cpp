#include "tests/routing/routingfixture.h"

#include <criterion/criterion.h>

using namespace Quetzallift;

// Guards against clients that fill the log, and against rejections that an operator cannot see.
Test(rejections, areCountedAndLoggedNowAndThen)
{
    constexpr std::size_t Count = 1000;
    RoutingFixture host;
    std::size_t counted = 0;
    std::size_t lines = 0;
    for (std::size_t number = 0; number < Count; ++number) {
        host.apply(ClientRejected{ClientRejection::Memory});
        counted += host.last<CountMetric>().size();
        lines += host.last<WriteLog>().size();
    }
    cr_assert_eq(counted, Count);
    cr_assert_eq(lines, 1U);
    host.advance(std::chrono::seconds(11));
    host.apply(ClientRejected{ClientRejection::TooSlow});
    const LogRecord record = host.last<WriteLog>().at(0).record;
    cr_assert_eq(record.fields.size(), 2U);
    cr_assert_eq(record.fields[0].value, "1");
    cr_assert_eq(record.fields[1].name, "memory");
    cr_assert_eq(record.fields[1].value, std::to_string(Count - 1));
}
