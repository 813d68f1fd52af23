#include "quetzallift/edge/requestreader.h"

#include <criterion/criterion.h>

using namespace Quetzallift;

namespace
{
constexpr std::size_t HeadLimit = 16384;
constexpr std::size_t BodyLimit = 1000;

struct Reading {
    RequestReader::State state = RequestReader::State::Reading;
    HttpServerRequest request;
    // The bytes that were not read.
    std::string rest;
};

Reading readInParts(const std::string &bytes, std::size_t partSize)
{
    RequestReader reader(HeadLimit, BodyLimit);
    Reading reading;
    std::size_t fed = 0;
    while (fed < bytes.size() && reading.state == RequestReader::State::Reading) {
        reading.rest += bytes.substr(fed, partSize);
        fed += partSize;
        reading.state = reader.consume(reading.rest);
    }
    reading.rest += fed < bytes.size() ? bytes.substr(fed) : std::string();
    if (reading.state == RequestReader::State::Complete) {
        reading.request = reader.release();
    }
    return reading;
}

RequestReader::State stateAfter(const std::string &bytes)
{
    return readInParts(bytes, bytes.size()).state;
}
}

// Guards against a request that is read differently when its bytes arrive in pieces.
Test(requestreader, pieceSizeDoesNotMatter)
{
    const std::string bytes =
        "POST /a%20b?x=1 HTTP/1.1\r\nHost: h\r\nX: 1\r\nx: 2\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\nTrailer-Field: t\r\n\r\nGET";
    for (std::size_t size = 1; size <= bytes.size(); ++size) {
        const Reading reading = readInParts(bytes, size);
        cr_assert(reading.state == RequestReader::State::Complete, "pieces of %zu bytes", size);
        cr_assert_eq(reading.request.method, "POST");
        cr_assert_eq(reading.request.target, "/a%20b?x=1");
        cr_assert_eq(reading.request.body, "abcde");
        cr_assert(reading.request.keepAlive);
        cr_assert_eq(reading.rest, "GET");
    }
}

// Guards against a process that a client ends with an empty chunked body in pieces: the parser asserts that it gets enough bytes.
Test(requestreader, emptyChunkedBodyIsReadInPieces)
{
    const std::string bytes = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    for (std::size_t size = 1; size <= bytes.size(); ++size) {
        cr_assert(readInParts(bytes, size).state == RequestReader::State::Complete, "pieces of %zu bytes", size);
    }
}

// Guards against a trailer that is taken for a header, such as one that the product sets itself.
Test(requestreader, trailersAreNotHeaders)
{
    const std::string bytes = "PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nRequest-Id: other\r\n\r\n";
    const Reading reading = readInParts(bytes, bytes.size());
    cr_assert(reading.state == RequestReader::State::Complete);
    cr_assert_eq(reading.request.headers.size(), 2U);
}

// Guards against a request that is smuggled inside another one whose body has two possible ends, or none.
Test(requestreader, ambiguousBodyLengthIsInvalid)
{
    const std::string start = "POST / HTTP/1.1\r\nHost: h\r\n";
    cr_assert(stateAfter(start + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n") == RequestReader::State::Invalid);
    cr_assert(stateAfter(start + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n") == RequestReader::State::Invalid);
    cr_assert(stateAfter(start + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef") == RequestReader::State::Invalid);
    cr_assert(stateAfter(start + "Transfer-Encoding: gzip\r\n\r\nGET / HTTP/1.1\r\n\r\n") == RequestReader::State::Invalid);
    cr_assert(stateAfter(start + "Content-Length: -1\r\n\r\n") == RequestReader::State::Invalid);
}

// Guards against methods that cannot be passed on, which are none of the server's business.
Test(requestreader, anyMethodIsRead)
{
    const Reading reading = readInParts("\r\nBREW /pot HTTP/1.1\r\nHost: h\r\n\r\n", 1000);
    cr_assert(reading.state == RequestReader::State::Complete);
    cr_assert_eq(reading.request.method, "BREW");
}

// Guards against requests without end that fill the memory of a host, and against a limit that is off by one.
Test(requestreader, limitsAreExact)
{
    const std::string start = "GET / HTTP/1.1\r\nHost: h\r\nX: ";
    const std::string end = "\r\n\r\n";
    const std::string padding(HeadLimit - start.size() - end.size(), 'x');
    cr_assert(stateAfter(start + padding + end) == RequestReader::State::Complete);
    cr_assert(stateAfter(start + padding + "x" + end) == RequestReader::State::HeadTooLarge);
    cr_assert(stateAfter(start + padding + padding) == RequestReader::State::HeadTooLarge);
    cr_assert(stateAfter("PUT / HTTP/1.1\r\nContent-Length: 1000\r\n\r\n" + std::string(1000, 'b')) == RequestReader::State::Complete);
    cr_assert(stateAfter("PUT / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n") == RequestReader::State::BodyTooLarge);
    cr_assert(stateAfter("PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" + std::string(1001, 'b')) == RequestReader::State::BodyTooLarge);
}

// Guards against connections that are kept open for clients which close them, and the other way round.
Test(requestreader, readsWhetherTheConnectionIsKept)
{
    cr_assert(readInParts("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 1000).request.keepAlive);
    cr_assert_not(readInParts("GET / HTTP/1.1\r\nConnection: close\r\n\r\n", 1000).request.keepAlive);
    cr_assert_not(readInParts("GET / HTTP/1.0\r\n\r\n", 1000).request.keepAlive);
    const HttpServerRequest old = readInParts("GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", 1000).request;
    cr_assert(old.keepAlive && old.isHttp10);
}

// Guards against framing of a chunked body that takes memory or processor time without end.
Test(requestreader, framingOfABodyIsLimited)
{
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string longText(HeadLimit, 'e');
    std::string manyExtensions;
    for (std::size_t chunk = 0; chunk < 200; ++chunk) {
        manyExtensions += "1;name=" + longText.substr(0, 200) + "\r\nb\r\n";
    }
    for (const std::string &body : {"5;name=" + longText, "5;name=" + longText + "\r\nabcde\r\n0\r\n\r\n", "0\r\nTrailer: " + longText, manyExtensions}) {
        cr_assert(stateAfter(head + body) == RequestReader::State::HeadTooLarge);
        cr_assert(readInParts(head + body, 100).state == RequestReader::State::HeadTooLarge);
    }
}

// Guards against a body of legal size that is refused for the framing of its chunks.
Test(requestreader, tinyChunksAreNotLimitedByTheirFraming)
{
    std::string bytes = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t chunk = 0; chunk < BodyLimit; ++chunk) {
        bytes += "1;name=x\r\nb\r\n";
    }
    bytes += "0\r\n\r\n";
    for (const std::size_t part : {std::size_t{1}, std::size_t{7}, bytes.size()}) {
        const Reading reading = readInParts(bytes, part);
        cr_assert(reading.state == RequestReader::State::Complete);
        cr_assert_eq(reading.request.body.size(), BodyLimit);
    }
}
