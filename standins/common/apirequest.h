#pragma once

#include "common/apianswer.h"
#include "common/httpexchange.h"
#include "common/objectselection.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace pistachiofall::standins {

/// A request to the stand-in of the object API.
struct ApiRequest
{
    enum class Kind { Get, List, Watch, Create, Update, Remove, Instances };

    /// Reads method, path and query. The answer is the refusal of what the API does not have.
    static std::variant<ApiRequest, ApiAnswer> parse(const HttpExchange &exchange);

    bool isWrite() const;
    /// The kind as the control API counts it.
    std::string kindName() const;

    Kind kind = Kind::Get;
    ObjectSelection selection;
    /// The revision after which a watch begins; nothing: with the present state.
    std::optional<std::uint64_t> fromRevision;
    std::chrono::seconds watchTimeout{0};
};

} // namespace pistachiofall::standins
