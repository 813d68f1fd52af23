#pragma once

#include "quetzallift/control/approvalcheck.h"
#include "quetzallift/control/controlstate.h"

#include <optional>
#include <string>

namespace Quetzallift
{
// What an entry host that passes on requests under a configuration of routes is told besides.
struct RouteSettings {
    // Where clients ask which hosts to use, where the platform asks whether this host is ready, and the metrics page.
    std::string directoryAddress;
    std::string readinessAddress;
    std::string metricsAddress;
};

// What the process may use of its host.
struct HostResources {
    std::size_t memoryBytes = std::size_t{160} * 1024 * 1024;
    std::size_t fileDescriptors = 4100;
};

// What an entry host is told at its start.
struct Settings {
    HostIdentity host;
    HostResources resources;
    // The platform's "ip:port".
    std::string platform;
    CallBudget callBudget;
    // Set if the platform holds a configuration of routes rather than bundles.
    std::optional<RouteSettings> routes = {};
    // Who may approve bundles; never empty for a host that runs bundles.
    Approvers approvers;
    // Runs plain policies for comparison.
    bool naive = false;
};

// Reads a settings file: JSON with comments. Throws Error that names the file, the field's path, its value and what is
// allowed.
Settings readSettings(const std::string &file);

// Reads settings from text; the source is named in errors. Throws Error as readSettings() does.
Settings decodeSettings(const std::string &text, const std::string &source);

// The whole content of a file. Throws Error if it cannot be read.
std::string readFile(const std::string &file);
}
