#include "quetzallift/edge/searchcodec.h"
#include "quetzallift/model/error.h"

#include <cstddef>
#include <cstdint>
#include <string>

// Guards against a searcher's reply that ends the process or is refused by anything but Error.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    try {
        Quetzallift::decodeSubReply(text, "127.0.0.1:1");
    } catch (const Quetzallift::Error &) {
        return 0;
    }
    return 0;
}
