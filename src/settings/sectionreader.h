#pragma once

#include "base/socketaddress.h"
#include "settings/settingserrors.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <toml++/toml.h>

namespace pistachiofall::detail {

/// Reads the keys of one section and collects errors. Functions that take a reference to a value
/// leave it unchanged when the key is missing or its value is not accepted.
class SectionReader
{
public:
    /// The document and the errors must outlive the reader. A missing section is treated as empty.
    SectionReader(const toml::table &document, std::string_view section, SettingsErrors &errors);

    /// Names the table in errors when it is not a section of the document.
    struct Label
    {
        std::string_view text;
    };
    /// Reads a table that is not a section of a document, such as one of an array of tables.
    SectionReader(const toml::table &table, Label label, SettingsErrors &errors);

    /// Reads a name of up to 64 letters, digits, '.', '_' and '-' that starts with a letter or
    /// digit. Returns an empty string after an error. A missing key is an error.
    std::string requiredName(std::string_view key);
    /// Reads an optional name of the same form.
    void name(std::string_view key, std::string &value);
    /// Reads a string that must not be empty.
    void text(std::string_view key, std::optional<std::string> &value);
    /// Reads an address IP:PORT with a port of at least the minimum. Returns nothing after an
    /// error. A missing key is an error.
    std::optional<SocketAddress> requiredAddress(std::string_view key, std::uint16_t minPort);
    /// Does the same, but a missing key is no error.
    std::optional<SocketAddress> address(std::string_view key, std::uint16_t minPort);
    /// Reads a non-empty array of addresses, each with a port of at least the minimum. Leaves out
    /// addresses with errors. A missing key is an error.
    std::vector<SocketAddress> requiredAddresses(std::string_view key, std::uint16_t minPort);
    /// Reads an integer number of milliseconds within the bounds, inclusive.
    void milliseconds(std::string_view key, std::int64_t minimum, std::int64_t maximum,
                      std::chrono::milliseconds &value);
    /// Reads a time that is given as NAME_ms or, in seconds, as NAME_s; both are an error. It may
    /// be an integer or a floating-point number; it is taken in whole milliseconds. The bounds are
    /// in milliseconds, inclusive.
    void duration(std::string_view name, std::int64_t minimum, std::int64_t maximum,
                  std::chrono::milliseconds &value);
    /// Reads a floating-point number between 0 and 1, exclusive.
    void fraction(std::string_view key, double &value);
    /// Reads an integer or floating-point number above 0 and up to 1.
    void share(std::string_view key, double &value);

    /// Reads an integer or floating-point number within the bounds, inclusive.
    void number(std::string_view key, double minimum, double maximum, double &value);
    /// Reads true or false.
    void boolean(std::string_view key, bool &value);

    /// Reads an integer within the bounds, inclusive.
    template<typename Integer>
    void integer(std::string_view key, std::int64_t minimum, std::int64_t maximum, Integer &value)
    {
        if (const auto number = readInteger(key, minimum, maximum))
            value = static_cast<Integer>(*number);
    }

    /// Reads one of several words and sets the value that it is paired with.
    template<typename Value, std::size_t Count>
    void choice(std::string_view key,
                const std::array<std::pair<std::string_view, Value>, Count> &choices, Value &value)
    {
        std::vector<std::string_view> words;
        for (const auto &entry : choices)
            words.push_back(entry.first);
        if (const auto index = readChoice(key, words))
            value = choices[*index].second;
    }

    /// Accepts a key that is read elsewhere.
    void accept(std::string_view key) { findOptional(key); }

    /// Adds an error at the line of the key, or of the section when the key is missing.
    void addError(std::string_view key, const std::string &message);

    /// Adds an error for each key of the section that was not read. Call it after reading all keys.
    void rejectUnknownKeys();

private:
    // Returns the value of a key, or null if it is missing, and marks the key as known.
    const toml::node *findOptional(std::string_view key);
    // Does the same and adds an error if the key is missing.
    const toml::node *findRequired(std::string_view key);
    std::optional<SocketAddress> readAddress(const toml::node *node, std::string_view key,
                                             std::uint16_t minPort);
    std::optional<std::string> readText(const toml::node *node, std::string_view key,
                                        const char *accepted);
    std::optional<std::size_t> readChoice(std::string_view key,
                                          const std::vector<std::string_view> &words);
    std::optional<std::int64_t> readInteger(std::string_view key, std::int64_t minimum,
                                            std::int64_t maximum);
    std::optional<double> readNumber(std::string_view key, double minimum, double maximum);
    // Adds an error with the value and a description of the accepted values.
    void reject(std::string_view key, const toml::node &value, const std::string &accepted);

    std::string m_section;
    const toml::table *m_table = nullptr;
    SettingsErrors &m_errors;
    std::vector<std::string> m_knownKeys;
};

/// Returns the line of a node in the file, starting at 1.
std::size_t lineOf(const toml::node &node);

} // namespace pistachiofall::detail
