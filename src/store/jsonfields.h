#pragma once

#include "base/result.h"

#include <initializer_list>
#include <string>
#include <string_view>

#include <boost/json/value.hpp>

namespace pistachiofall::store::detail {

/// Parses an answer of the store; ProtocolError when it is not JSON. A value that is nested too
/// deep or a number that is too large is read as null, and text may have any encoding: another
/// writer's object must not hide the others.
Result<boost::json::value> parseJson(std::string_view text);

/// The field at the end of a path of nested objects, or null when a step is missing.
const boost::json::value *findField(const boost::json::value &value,
                                    std::initializer_list<std::string_view> path);

/// The text at the end of the path; empty when it is missing or no text.
std::string textField(const boost::json::value &value,
                      std::initializer_list<std::string_view> path);

/// The field "items" of a list of the API. Null when it is missing, so that another kind of object
/// is not taken for an empty list; the API writes an empty list as [] or null.
const boost::json::array *listItems(const boost::json::value &list);

/// The elements of the array at the end of the path; empty when it is missing or no array.
const boost::json::array &arrayField(const boost::json::value &value,
                                     std::initializer_list<std::string_view> path);

} // namespace pistachiofall::store::detail
