#include "common/apianswer.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace pistachiofall::standins {

ApiAnswer statusAnswer(unsigned status, std::string_view reason, std::string_view message)
{
    boost::json::object body;
    body["kind"] = "Status";
    body["apiVersion"] = "v1";
    body["status"] = status < 300 ? "Success" : "Failure";
    body["message"] = message;
    body["reason"] = reason;
    body["code"] = status;
    return {status, boost::json::serialize(body)};
}

} // namespace pistachiofall::standins
