#include "quetzallift/edge/jsonfields.h"

#include "quetzallift/model/error.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <sstream>
#include <utility>

namespace Quetzallift
{
namespace
{
// Deeper input is rejected, since recursion over the document uses stack in proportion to its depth.
constexpr int MaximumDepth = 32;

template<typename T>
std::string rangeText(const char *kind, T minimum, T maximum)
{
    std::ostringstream text;
    text << kind << " from " << minimum << " to " << maximum;
    return text.str();
}

// The greatest depth of brackets outside strings in a JSON text without comments.
int bracketDepth(std::string_view text)
{
    int depth = 0;
    int greatest = 0;
    bool inString = false;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const char c = text[at];
        if (inString) {
            at += c == '\\' ? 1 : 0;
            inString = c != '"';
        } else if (c == '"') {
            inString = true;
        } else if (c == '[' || c == '{') {
            greatest = std::max(greatest, ++depth);
        } else if (c == ']' || c == '}') {
            --depth;
        }
    }
    return greatest;
}

using Milliseconds = std::chrono::duration<double, std::milli>;
}

JsonFields::JsonFields(const nlohmann::json &object, Step step, std::string source, std::string path)
    : m_object(object)
    , m_step(step)
    , m_source(std::move(source))
    , m_path(std::move(path))
{
    if (!object.is_object()) {
        throw Error(m_step, m_source, (m_path.empty() ? std::string("the document") : m_path) + " must be an object");
    }
}

bool JsonFields::has(const std::string &name) const
{
    return m_object.contains(name);
}

std::string JsonFields::pathOf(const std::string &name) const
{
    return m_path.empty() ? name : m_path + "." + name;
}

void JsonFields::fail(const std::string &name, const std::string &allowed) const
{
    const auto found = m_object.find(name);
    if (found == m_object.end()) {
        throw Error(m_step, m_source, pathOf(name) + " is missing; allowed: " + allowed);
    }
    constexpr std::size_t MaximumShown = 80;
    std::string shown = found->dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    if (shown.size() > MaximumShown) {
        shown = shown.substr(0, MaximumShown) + "...";
    }
    throw Error(m_step, m_source, pathOf(name) + " is " + shown + "; allowed: " + allowed);
}

const nlohmann::json *JsonFields::find(const std::string &name)
{
    const auto found = m_object.find(name);
    if (found == m_object.end()) {
        return nullptr;
    }
    m_read.push_back(&*found);
    return &*found;
}

const nlohmann::json &JsonFields::require(const std::string &name, const std::string &allowed)
{
    const nlohmann::json *found = find(name);
    if (found == nullptr) {
        fail(name, allowed);
    }
    return *found;
}

std::string JsonFields::text(const std::string &name, std::size_t maximumLength)
{
    const nlohmann::json *found = find(name);
    const std::string *value = found != nullptr ? found->get_ptr<const std::string *>() : nullptr;
    if (value == nullptr || value->empty() || value->size() > maximumLength) {
        fail(name, "a text of 1 to " + std::to_string(maximumLength) + " bytes");
    }
    return *value;
}

std::string JsonFields::text(const std::string &name, const std::string &fallback, std::size_t maximumLength)
{
    const nlohmann::json *found = find(name);
    if (found == nullptr) {
        return fallback;
    }
    if (!found->is_string() || found->get_ref<const std::string &>().size() > maximumLength) {
        fail(name, "a text of at most " + std::to_string(maximumLength) + " bytes");
    }
    return found->get<std::string>();
}

std::string JsonFields::choice(const std::string &name, const std::vector<std::string> &allowed, const std::string &fallback)
{
    const nlohmann::json *found = find(name);
    if (found == nullptr) {
        return fallback;
    }
    if (!found->is_string() || std::find(allowed.begin(), allowed.end(), found->get_ref<const std::string &>()) == allowed.end()) {
        std::string list = "one of";
        for (const std::string &option : allowed) {
            list += " \"" + option + "\"";
        }
        fail(name, list);
    }
    return found->get<std::string>();
}

double JsonFields::number(const std::string &name, double minimum, double maximum, std::optional<double> fallback)
{
    const nlohmann::json *found = find(name);
    if (found == nullptr && fallback) {
        return *fallback;
    }
    if (found == nullptr || !found->is_number() || !(found->get<double>() >= minimum && found->get<double>() <= maximum)) {
        fail(name, rangeText("a number", minimum, maximum));
    }
    return found->get<double>();
}

std::uint64_t JsonFields::integer(const std::string &name, std::uint64_t minimum, std::uint64_t maximum, std::optional<std::uint64_t> fallback)
{
    const nlohmann::json *found = find(name);
    if (found == nullptr && fallback) {
        return *fallback;
    }
    if (found == nullptr || !found->is_number_unsigned() || found->get<std::uint64_t>() < minimum || found->get<std::uint64_t>() > maximum) {
        fail(name, rangeText("an integer", minimum, maximum));
    }
    return found->get<std::uint64_t>();
}

bool JsonFields::flag(const std::string &name, bool fallback)
{
    const nlohmann::json *found = find(name);
    if (found == nullptr) {
        return fallback;
    }
    if (!found->is_boolean()) {
        fail(name, "true or false");
    }
    return found->get<bool>();
}

Duration JsonFields::milliseconds(const std::string &name, Duration minimum, Duration maximum, std::optional<Duration> fallback)
{
    std::optional<double> fallbackCount;
    if (fallback) {
        fallbackCount = Milliseconds(*fallback).count();
    }
    const double count = number(name, Milliseconds(minimum).count(), Milliseconds(maximum).count(), fallbackCount);
    return std::chrono::duration_cast<Duration>(Milliseconds(count));
}

JsonFields JsonFields::object(const std::string &name)
{
    const nlohmann::json &found = require(name, "an object");
    if (!found.is_object()) {
        fail(name, "an object");
    }
    return {found, m_step, m_source, pathOf(name)};
}

const nlohmann::json &JsonFields::value(const std::string &name)
{
    return require(name, "any value");
}

std::vector<JsonFields> JsonFields::objects(const std::string &name)
{
    std::vector<JsonFields> list;
    const nlohmann::json *found = find(name);
    if (found == nullptr) {
        return list;
    }
    if (!found->is_array()) {
        fail(name, "a list of objects");
    }
    for (std::size_t index = 0; index < found->size(); ++index) {
        list.emplace_back((*found)[index], m_step, m_source, pathOf(name) + "[" + std::to_string(index) + "]");
    }
    return list;
}

std::vector<std::string> JsonFields::texts(const std::string &name)
{
    std::vector<std::string> list;
    const nlohmann::json *found = find(name);
    if (found == nullptr) {
        return list;
    }
    const bool allTexts = found->is_array() && std::all_of(found->begin(), found->end(), [](const nlohmann::json &item) {
                              return item.is_string();
                          });
    if (!allTexts) {
        fail(name, "a list of texts");
    }
    return found->get<std::vector<std::string>>();
}

std::map<std::string, std::string> JsonFields::textMap(const std::string &name)
{
    const nlohmann::json *found = find(name);
    if (found == nullptr) {
        return {};
    }
    const bool allTexts = found->is_object() && std::all_of(found->begin(), found->end(), [](const nlohmann::json &item) {
                              return item.is_string();
                          });
    if (!allTexts) {
        fail(name, "an object whose values are texts");
    }
    return found->get<std::map<std::string, std::string>>();
}

void JsonFields::rejectUnknown() const
{
    for (const auto &[name, value] : m_object.items()) {
        if (std::find(m_read.begin(), m_read.end(), &value) == m_read.end()) {
            throw Error(m_step, m_source, pathOf(name) + " is not a known field");
        }
    }
}

nlohmann::json parseJson(const std::string &text, Step step, const std::string &source, bool comments)
{
    const nlohmann::json::parser_callback_t limitDepth = [&](int depth, nlohmann::json::parse_event_t, nlohmann::json &) {
        if (depth > MaximumDepth) {
            throw Error(step, source, "the JSON is nested deeper than " + std::to_string(MaximumDepth) + " levels");
        }
        return true;
    };
    try {
        // The callback doubles the time to parse, and comments may hold brackets.
        const bool mayBeTooDeep = comments || bracketDepth(text) > MaximumDepth;
        return nlohmann::json::parse(text, mayBeTooDeep ? limitDepth : nullptr, true, comments);
    } catch (const nlohmann::json::exception &error) {
        throw Error(step, source, std::string("not valid JSON: ") + error.what());
    }
}
}
