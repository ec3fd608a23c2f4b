#pragma once

#include "http/httpheaders.h"

#include <string>

namespace pistachiofall {

/// One request of a batch job.
struct JobItem
{
    std::string id;
    std::string path;
    HttpHeaders headers;
    std::string body;
};

} // namespace pistachiofall
