#pragma once

#include "quetzallift/model/time.h"

namespace Quetzallift
{
// What the deployment allows this fleet to send beyond the first request to a searcher.
struct RetryAllowance {
    // Extra requests as a share of first ones, over all hosts.
    double ratio = 0.2;
    // Extra requests in a window on top of that, over all hosts.
    double slack = 50.0;
    // The length of that window.
    Duration window = std::chrono::seconds(10);

    bool operator==(const RetryAllowance &) const = default;
};

// The settings that take effect while the process runs; all others need a restart.
struct ReloadableSettings {
    // How long callers may keep an answer about addresses.
    Duration addressesTtl = std::chrono::seconds(10);
    // How long a host that leaves serves on for callers that have not heard of it.
    Duration leaveGracePeriod = std::chrono::seconds(12);
    // The longest time a graceful stop may take.
    Duration stopLimit = std::chrono::seconds(30);
    RetryAllowance allowance = {};

    bool operator==(const ReloadableSettings &) const = default;
};
}
