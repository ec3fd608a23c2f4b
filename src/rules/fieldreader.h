#pragma once

#include "base/socketaddress.h"
#include "rules/linetokens.h"

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiofall::detail {

/// Whether a field may be left out.
enum class FieldPresence : std::uint8_t { Required, Optional };

/// Reads the fields of one line and collects the errors. A function that finds an error, or no
/// optional field, returns an empty value; the caller drops the rule when there were errors.
class FieldReader
{
public:
    /// The tokens and the errors must outlive the reader.
    FieldReader(const LineTokens &tokens, std::size_t line, std::vector<RuleError> &errors);

    /// Whether the line has the field, with any value.
    bool has(std::string_view field) const;

    /// A name as isRuleName accepts it.
    std::string name(std::string_view field, FieldPresence presence = FieldPresence::Required);
    /// A name as isModelName accepts it.
    std::string modelName(std::string_view field, FieldPresence presence = FieldPresence::Required);
    /// A decimal number above zero, from the least to the greatest.
    double decimal(std::string_view field, double least, double greatest);
    /// A whole number from 1 to the greatest.
    std::optional<std::uint32_t> count(std::string_view field, std::uint32_t greatest,
                                       FieldPresence presence = FieldPresence::Required);
    /// The place of the value among the words accepted; 0 when the field is left out.
    std::size_t choice(std::string_view field, std::initializer_list<std::string_view> accepted);
    std::optional<SocketAddress> address(std::string_view field);
    /// Fills the bytes from hex digits. The value is not shown in errors.
    void hex(std::string_view field, std::span<unsigned char> bytes);

    /// Adds an error at the value of the field, or at the end of the line when it is left out.
    void addError(std::string_view field, std::string message);

    /// Call after all fields are read: reports those that were not asked for.
    void finish();

private:
    const LineToken *find(std::string_view field) const;
    const LineToken *take(std::string_view field, FieldPresence presence);

    const LineTokens &m_tokens;
    std::size_t m_line;
    std::vector<RuleError> &m_errors;
    std::vector<std::string_view> m_known;
};

} // namespace pistachiofall::detail
