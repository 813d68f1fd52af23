#pragma once

#include "quetzallift/model/step.h"
#include "quetzallift/model/time.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Quetzallift
{
// Reads the fields of a JSON object with checks. Every error names the source, the field's path, its value and what is
// allowed. A reader must call rejectUnknown() at its end. The JSON value must outlive the reader.
class JsonFields
{
public:
    JsonFields(const nlohmann::json &object, Step step, std::string source, std::string path = {});

    bool has(const std::string &name) const;

    // A text that is not empty; without a fallback the field is required.
    std::string text(const std::string &name, std::size_t maximumLength = 4096);
    std::string text(const std::string &name, const std::string &fallback, std::size_t maximumLength = 4096);

    // One of the given texts.
    std::string choice(const std::string &name, const std::vector<std::string> &allowed, const std::string &fallback);

    double number(const std::string &name, double minimum, double maximum, std::optional<double> fallback = {});
    std::uint64_t integer(const std::string &name, std::uint64_t minimum, std::uint64_t maximum, std::optional<std::uint64_t> fallback = {});
    bool flag(const std::string &name, bool fallback);

    // A duration in milliseconds; fractions are allowed.
    Duration milliseconds(const std::string &name, Duration minimum, Duration maximum, std::optional<Duration> fallback = {});

    // A required object, and the value of any JSON type behind a field.
    JsonFields object(const std::string &name);
    const nlohmann::json &value(const std::string &name);

    // A list of objects, or of texts. An absent list is empty.
    std::vector<JsonFields> objects(const std::string &name);
    std::vector<std::string> texts(const std::string &name);

    // An object whose values are texts. An absent object is empty.
    std::map<std::string, std::string> textMap(const std::string &name);

    // Throws if the object has a field that was not asked for.
    void rejectUnknown() const;

    // Throws an error about a field.
    [[noreturn]] void fail(const std::string &name, const std::string &allowed) const;

private:
    const nlohmann::json *find(const std::string &name);
    const nlohmann::json &require(const std::string &name, const std::string &allowed);
    std::string pathOf(const std::string &name) const;

    const nlohmann::json &m_object;
    Step m_step;
    std::string m_source;
    std::string m_path;
    std::set<std::string> m_known;
};

// Parses JSON, with comments if asked for. Throws Error that names the source and the place.
nlohmann::json parseJson(const std::string &text, Step step, const std::string &source, bool comments = false);
}
