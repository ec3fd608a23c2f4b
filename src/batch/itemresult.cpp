#include "batch/itemresult.h"

#include "batch/rawjson.h"

namespace pistachiofall {

using batch::detail::quoteJson;

std::string formatResultLine(std::string_view customId, const ItemResult &result)
{
    std::string line = R"({"custom_id":)" + quoteJson(customId) + R"(,"status":)"
            + std::to_string(result.status);
    if (const auto *body = std::get_if<ResultBody>(&result.content)) {
        line += R"(,"body":)";
        if (!body->isJson)
            return line + quoteJson(body->text) + "}\n";
        // A newline between JSON tokens would split the result into two lines.
        for (const char character : body->text)
            line += character == '\n' || character == '\r' ? ' ' : character;
        return line + "}\n";
    }
    const auto &error = std::get<ResultError>(result.content);
    return line + R"(,"error":{"code":)" + quoteJson(error.code) + R"(,"message":)"
            + quoteJson(error.message) + "}}\n";
}

} // namespace pistachiofall
