#include "quetzallift/edge/bundlecodec.h"
#include "quetzallift/edge/jsonfields.h"
#include "quetzallift/model/error.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

// Guards against a bundle that ends a host, whoever passed it on.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    try {
        Quetzallift::decodeBundle(Quetzallift::parseJson(text, Quetzallift::Step::Prepare, "bundle"), "bundle");
    } catch (const Quetzallift::Error &) {
        return 0;
    }
    return 0;
}
