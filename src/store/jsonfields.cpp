#include "store/jsonfields.h"

#include "store/jsonpruning.h"

#include <boost/json/array.hpp>
#include <boost/json/error.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/string.hpp>

namespace pistachiofall::store::detail {

namespace {

// Deeper than any object that this system or its platform writes.
constexpr std::size_t MaxDepth = 32;

boost::json::value parse(std::string_view text, boost::system::error_code &error)
{
    boost::json::parse_options options;
    options.max_depth = MaxDepth;
    // Text in another encoding belongs to the object that holds it, not to the whole answer.
    options.allow_invalid_utf8 = true;
    return boost::json::parse({text.data(), text.size()}, error, {}, options);
}

bool isCausedByOneValue(const boost::system::error_code &error)
{
    return error == boost::json::error::too_deep || error == boost::json::error::exponent_overflow;
}

} // namespace

Result<boost::json::value> parseJson(std::string_view text)
{
    boost::system::error_code error;
    boost::json::value value;
    const bool isOdd = mayHoldInfiniteNumber(text);
    if (!isOdd)
        value = parse(text, error);
    if (isOdd || isCausedByOneValue(error))
        value = parse(pruneJson(text, MaxDepth), error);
    if (error)
        return Error{ErrorCode::ProtocolError,
                     "the store's answer is not JSON: " + error.message()};
    return value;
}

const boost::json::value *findField(const boost::json::value &value,
                                    std::initializer_list<std::string_view> path)
{
    const boost::json::value *current = &value;
    for (const std::string_view name : path) {
        const auto *object = current->if_object();
        current = object ? object->if_contains({name.data(), name.size()}) : nullptr;
        if (!current)
            return nullptr;
    }
    return current;
}

std::string textField(const boost::json::value &value, std::initializer_list<std::string_view> path)
{
    const auto *field = findField(value, path);
    const auto *text = field ? field->if_string() : nullptr;
    return text ? std::string(text->data(), text->size()) : std::string();
}

const boost::json::array *listItems(const boost::json::value &list)
{
    const auto *items = findField(list, {"items"});
    return items && (items->is_array() || items->is_null()) ? &arrayField(list, {"items"})
                                                            : nullptr;
}

const boost::json::array &arrayField(const boost::json::value &value,
                                     std::initializer_list<std::string_view> path)
{
    static const boost::json::array empty;
    const auto *field = findField(value, path);
    const auto *array = field ? field->if_array() : nullptr;
    return array ? *array : empty;
}

} // namespace pistachiofall::store::detail
