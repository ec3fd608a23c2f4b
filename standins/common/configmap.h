#pragma once

#include "common/apianswer.h"
#include "common/platformobject.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include <boost/json/object.hpp>

namespace pistachiofall::standins {

/// The largest sum of a ConfigMap's values, in their base64 form.
constexpr std::size_t MaxConfigMapBytes = 1'000'000;

/// A ConfigMap in a request, checked as the object API checks it.
struct ConfigMap
{
    /// Parses and checks the body of a create or an update. The answer is the refusal: 400 for a
    /// body that is no ConfigMap of the name space, 422 for names, labels or sizes out of bounds.
    static std::variant<ConfigMap, ApiAnswer> parse(std::string_view body,
                                                    std::string_view nameSpace);

    /// The object at a revision, which becomes its resourceVersion.
    PlatformObject at(std::uint64_t revision) const;

    boost::json::object content;
    std::string nameSpace;
    std::string name;
    /// metadata.resourceVersion of the request; empty when it is missing.
    std::string version;
    std::map<std::string, std::string> labels;
    std::size_t size = 0;
};

/// The same object with another resourceVersion.
PlatformObject withRevision(const PlatformObject &object, std::uint64_t revision);

} // namespace pistachiofall::standins
