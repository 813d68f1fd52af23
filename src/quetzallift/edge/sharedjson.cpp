#include "quetzallift/edge/sharedjson.h"

#include "quetzallift/edge/jsonfields.h"
#include "quetzallift/model/error.h"

#include <nlohmann/json.hpp>

#include <cctype>
#include <string_view>

namespace Quetzallift
{
namespace
{
// Below the depth that parseJson() accepts, so that a value of this depth may be inside a document.
constexpr std::size_t MaximumDepth = 30;

// Replaces bytes that are not UTF-8 by U+FFFD.
std::string withValidBytes(const std::string &text)
{
    const std::string quoted = nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return nlohmann::json::parse(quoted).get<std::string>();
}

// Copies a JSON text and replaces values that parseJson() does not accept.
class Replacer
{
public:
    explicit Replacer(const std::string &text)
        : m_text(text)
    { }

    std::string run()
    {
        while (m_at < m_text.size()) {
            const char c = m_text[m_at];
            if (c == '"') {
                copyIfValid(endOfString(), "\"\"");
            } else if (c == '[' || c == '{') {
                open();
            } else if (c == ']' || c == '}') {
                close();
            } else if (isScalar(c)) {
                copyIfValid(endOfScalar(), "null");
            } else {
                copy(m_at + 1);
            }
        }
        return std::move(m_result);
    }

private:
    // True for the characters of numbers and of words such as true.
    static bool isScalar(char c)
    {
        return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '+' || c == '-' || c == '.';
    }

    std::size_t endOfScalar() const
    {
        std::size_t at = m_at;
        while (at < m_text.size() && isScalar(m_text[at])) {
            ++at;
        }
        return at;
    }

    std::size_t endOfString() const
    {
        std::size_t at = m_at + 1;
        while (at < m_text.size() && m_text[at] != '"') {
            at += m_text[at] == '\\' ? 2 : 1;
        }
        return std::min(at + 1, m_text.size());
    }

    void copy(std::size_t end)
    {
        if (m_depth <= MaximumDepth) {
            m_result.append(m_text, m_at, end - m_at);
        }
        m_at = end;
    }

    void open()
    {
        ++m_depth;
        if (m_depth == MaximumDepth + 1) {
            m_result += "null";
        }
        copy(m_at + 1);
    }

    void close()
    {
        copy(m_at + 1);
        m_depth -= m_depth > 0 ? 1 : 0;
    }

    // Copies a string, number or word, or puts the replacement in its place if it is not valid or beyond the range of a double.
    void copyIfValid(std::size_t end, std::string_view replacement)
    {
        if (nlohmann::json::accept(std::string_view(m_text).substr(m_at, end - m_at))) {
            copy(end);
            return;
        }
        m_result += m_depth <= MaximumDepth ? replacement : std::string_view();
        m_at = end;
    }

    const std::string &m_text;
    std::string m_result;
    std::size_t m_at = 0;
    std::size_t m_depth = 0;
};
}

nlohmann::json parseSharedJson(const std::string &text, Step step, const std::string &source)
{
    try {
        return parseJson(text, step, source);
    } catch (const Error &) {
        return parseJson(Replacer(withValidBytes(text)).run(), step, source);
    }
}
}
