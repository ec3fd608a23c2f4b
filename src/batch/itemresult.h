#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace pistachiofall {

/// Answer of the endpoint.
struct ResultBody
{
    std::string text;
    /// Whether the text is valid JSON that can be embedded as it is.
    bool isJson = false;

    bool operator==(const ResultBody &) const = default;
};

/// Reason why an item has no answer.
struct ResultError
{
    std::string code;
    std::string message;

    bool operator==(const ResultError &) const = default;
};

/// Final result of an item.
struct ItemResult
{
    /// HTTP status of the last answer, or 0 if there was none.
    std::uint16_t status = 0;
    std::variant<ResultBody, ResultError> content;

    bool isFailed() const { return std::holds_alternative<ResultError>(content); }

    bool operator==(const ItemResult &) const = default;
};

/// Results by the index of the item in its segment. Results are immutable and shared between
/// checkpoints.
using ResultMap = std::map<std::uint32_t, std::shared_ptr<const ItemResult>>;

/// Formats a result as one line of JSON with the members custom_id, status, and body or error, and
/// a trailing newline. A body that is not valid JSON is written as a JSON string.
std::string formatResultLine(std::string_view customId, const ItemResult &result);

} // namespace pistachiofall
