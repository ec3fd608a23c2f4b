#pragma once

#include <string>
#include <string_view>

namespace pistachiofall::standins {

/// An answer of the stand-in of the object API: a status and a JSON body.
struct ApiAnswer
{
    unsigned status = 200;
    std::string body;

    bool isSuccess() const { return status < 300; }
};

/// A Status object, as the object API sends it for errors and removals. The reason is the API's
/// word for the error, such as "Conflict".
ApiAnswer statusAnswer(unsigned status, std::string_view reason, std::string_view message);

} // namespace pistachiofall::standins
