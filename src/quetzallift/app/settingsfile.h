#pragma once

#include "quetzallift/app/settings.h"

#include <optional>
#include <string>

namespace Quetzallift
{
// The settings file of a running process, which may change while it runs.
class SettingsFile
{
public:
    explicit SettingsFile(std::string path);

    // Reads the file. Throws Error as readSettings() does.
    Settings read();

    // Reads the file again. Empty if it has the text that was read last, or if it cannot be used; what happened is logged.
    std::optional<Settings> readChanged();

private:
    std::string m_path;
    std::string m_text;
    // The host's name, for log lines.
    std::string m_host;
};
}
