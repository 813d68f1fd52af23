#pragma once

#include <curl/curl.h>

#include <memory>
#include <string>

namespace Quetzallift
{
namespace detail
{
struct CurlEasyDeleter {
    void operator()(CURL *easy) const
    {
        curl_easy_cleanup(easy);
    }
};

struct CurlMultiDeleter {
    void operator()(CURLM *multi) const
    {
        curl_multi_cleanup(multi);
    }
};
}

using CurlEasy = std::unique_ptr<CURL, detail::CurlEasyDeleter>;
using CurlMulti = std::unique_ptr<CURLM, detail::CurlMultiDeleter>;

// Owns a list of header lines as curl expects it.
class CurlHeaders
{
public:
    CurlHeaders() = default;
    ~CurlHeaders()
    {
        curl_slist_free_all(m_list);
    }
    CurlHeaders(const CurlHeaders &) = delete;
    CurlHeaders &operator=(const CurlHeaders &) = delete;

    void add(const std::string &line)
    {
        m_list = curl_slist_append(m_list, line.c_str());
    }

    curl_slist *list() const
    {
        return m_list;
    }

private:
    curl_slist *m_list = nullptr;
};
}
