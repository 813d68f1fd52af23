#include "quetzallift/edge/requestreader.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

using namespace Quetzallift;

namespace
{
constexpr std::size_t HeadLimit = 2000;
constexpr std::size_t BodyLimit = 1000;

RequestReader::State readInPieces(RequestReader &reader, const std::string &bytes, std::size_t pieceSize)
{
    std::string unread;
    RequestReader::State state = RequestReader::State::Reading;
    for (std::size_t begin = 0; begin < bytes.size() && state == RequestReader::State::Reading; begin += pieceSize) {
        unread += bytes.substr(begin, pieceSize);
        state = reader.consume(unread);
    }
    return state;
}
}

// Guards against a client's bytes that end the process, or that are another request when they arrive in pieces. The first byte of
// the input is the size of the pieces.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0) {
        return 0;
    }
    const std::string bytes(reinterpret_cast<const char *>(data) + 1, size - 1);
    RequestReader whole(HeadLimit, BodyLimit);
    RequestReader pieces(HeadLimit, BodyLimit);
    const RequestReader::State state = readInPieces(whole, bytes, std::max<std::size_t>(1, bytes.size()));
    const RequestReader::State stateOfPieces = readInPieces(pieces, bytes, std::size_t{1} + data[0]);
    if (state != RequestReader::State::Complete) {
        return 0;
    }
    const HttpServerRequest request = whole.release();
    if (stateOfPieces != state || pieces.release().body != request.body) {
        std::abort();
    }
    return 0;
}
