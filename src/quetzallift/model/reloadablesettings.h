#pragma once

#include "quetzallift/model/time.h"

namespace Quetzallift
{
// The extra requests (retries and hedges) that the deployment allows the fleet to send to one service, in addition to the
// first attempts of requests and of parts of scattered requests.
struct RetryAllowance {
    // Extra requests as a share of first attempts, over all hosts.
    double ratio = 0.2;
    // Extra requests in each window in addition to the ratio, over all hosts.
    double slack = 50.0;
    // The length of the window for which slack is granted.
    Duration window = std::chrono::seconds(10);

    bool operator==(const RetryAllowance &) const = default;
};

// The settings that can change without a restart; all other settings need one.
struct ReloadableSettings {
    // How long callers may cache the address list.
    Duration addressesTtl = std::chrono::seconds(10);
    // How long a leaving host continues to serve callers with an older address list.
    Duration leaveGracePeriod = std::chrono::seconds(12);
    // The maximum duration of a graceful stop.
    Duration stopLimit = std::chrono::seconds(30);
    RetryAllowance allowance = {};

    bool operator==(const ReloadableSettings &) const = default;
};
}
