#include "quetzallift/app/settings.h"
#include "quetzallift/model/error.h"

#include <cstddef>
#include <cstdint>
#include <string>

// Guards against a settings file that ends the process without an error that names it.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    try {
        Quetzallift::decodeSettings(text, "settings");
    } catch (const Quetzallift::Error &) {
        return 0;
    }
    return 0;
}
