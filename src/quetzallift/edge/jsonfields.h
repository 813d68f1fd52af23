#pragma once

#include "quetzallift/model/step.h"
#include "quetzallift/model/time.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Quetzallift
{
// Reads and validates the fields of a JSON object. Errors name the source and the field's path. Errors of values also name
// the value, if there is one, and the allowed values. Call rejectUnknown() after the last field. The JSON value must outlive
// the reader.
class JsonFields
{
public:
    JsonFields(const nlohmann::json &object, Step step, std::string source, std::string path = {});

    bool has(const std::string &name) const;

    // The first overload reads a required string that is not empty. The second returns the fallback if the field is absent,
    // and accepts an empty string.
    std::string text(const std::string &name, std::size_t maximumLength = 4096);
    std::string text(const std::string &name, const std::string &fallback, std::size_t maximumLength = 4096);

    // One of the given strings.
    std::string choice(const std::string &name, const std::vector<std::string> &allowed, const std::string &fallback);

    double number(const std::string &name, double minimum, double maximum, std::optional<double> fallback = {});
    std::uint64_t integer(const std::string &name, std::uint64_t minimum, std::uint64_t maximum, std::optional<std::uint64_t> fallback = {});
    bool flag(const std::string &name, bool fallback);

    // A duration in milliseconds; fractions are allowed.
    Duration milliseconds(const std::string &name, Duration minimum, Duration maximum, std::optional<Duration> fallback = {});

    // A required object, and a required value of any JSON type.
    JsonFields object(const std::string &name);
    const nlohmann::json &value(const std::string &name);

    // A list of objects, or of strings. An absent list is empty.
    std::vector<JsonFields> objects(const std::string &name);
    std::vector<std::string> texts(const std::string &name);

    // An object whose values are strings. An absent object is empty.
    std::map<std::string, std::string> textMap(const std::string &name);

    // Throws Error if the object has a field that was not read.
    void rejectUnknown() const;

    // Throws Error that names the field, its value and the allowed values.
    [[noreturn]] void fail(const std::string &name, const std::string &allowed) const;

private:
    const nlohmann::json *find(const std::string &name);
    const nlohmann::json &require(const std::string &name, const std::string &allowed);
    std::string pathOf(const std::string &name) const;

    const nlohmann::json &m_object;
    Step m_step;
    std::string m_source;
    std::string m_path;
    // The values of the fields that were read.
    std::vector<const nlohmann::json *> m_read;
};

// Parses JSON, optionally with comments. Throws Error that names the source and the position of a syntax error.
nlohmann::json parseJson(const std::string &text, Step step, const std::string &source, bool comments = false);
}
