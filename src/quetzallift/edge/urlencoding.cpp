#include "quetzallift/edge/urlencoding.h"

#include <curl/curl.h>

#include <memory>
#include <new>

namespace Quetzallift
{
namespace
{
using CurlText = std::unique_ptr<char, decltype(&curl_free)>;
}

std::string encodeUrlComponent(std::string_view text)
{
    // libcurl takes a length of 0 for a string that ends with a null byte.
    if (text.empty()) {
        return {};
    }
    if (text == "." || text == "..") {
        return text.size() == 1 ? "%2E" : "%2E%2E";
    }
    const CurlText encoded(curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size())), &curl_free);
    if (encoded == nullptr) {
        throw std::bad_alloc();
    }
    return encoded.get();
}

std::string decodeUrlComponent(std::string_view text)
{
    if (text.empty()) {
        return {};
    }
    int size = 0;
    const CurlText decoded(curl_easy_unescape(nullptr, text.data(), static_cast<int>(text.size()), &size), &curl_free);
    return decoded == nullptr ? std::string() : std::string(decoded.get(), static_cast<std::size_t>(size));
}
}
