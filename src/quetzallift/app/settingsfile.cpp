#include "quetzallift/app/settingsfile.h"

#include "quetzallift/app/log.h"
#include "quetzallift/model/error.h"

#include <utility>

namespace Quetzallift
{
SettingsFile::SettingsFile(std::string path)
    : m_path(std::move(path))
{ }

Settings SettingsFile::read()
{
    m_text = readFile(m_path);
    Settings settings = decodeSettings(m_text, m_path);
    m_host = settings.host.name;
    return settings;
}

std::optional<Settings> SettingsFile::readChanged()
{
    try {
        std::string text = readFile(m_path);
        if (text == m_text) {
            return std::nullopt;
        }
        // Remembered also if it cannot be used, so that the same fault is logged once.
        m_text = std::move(text);
        Settings settings = decodeSettings(m_text, m_path);
        writeLog({LogLevel::Info, Step::Settings, m_path, {}, "settings read again"}, m_host, {});
        return settings;
    } catch (const Error &error) {
        const LogRecord record{LogLevel::Error, error.step(), error.peer(), {}, std::string("settings stay as they are: ") + error.what()};
        writeLog(record, m_host, {});
        return std::nullopt;
    }
}
}
