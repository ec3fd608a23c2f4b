#pragma once

#include "base/result.h"
#include "fleet/fleetendpoint.h"
#include "fleet/servingconfig.h"
#include "http/answerhead.h"
#include "http/httpheaders.h"
#include "serving/apicall.h"
#include "serving/forwardingcontext.h"
#include "serving/jobitem.h"
#include "serving/jobresult.h"
#include "serving/requestmetadata.h"
#include "serving/responsekind.h"
#include "store/objectspace.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiofall {

/// Where an operator's and the endpoints' objects lie.
struct ObjectKinds
{
    std::string configKind;
    std::string configName;
    std::string endpointKind;
    std::string evacuationKind;
    std::string retirementKind;
};

/// Names and formats of one way to speak to callers, endpoints and the store. It translates and
/// decides nothing.
class ServingProtocol
{
public:
    virtual ~ServingProtocol() = default;

    virtual ObjectKinds objectKinds() const = 0;
    /// ProtocolError names the field that can not be read.
    virtual Result<ServingConfig::Ptr> decodeConfig(const boost::json::value &spec) const = 0;
    virtual Result<FleetEndpoint> decodeEndpoint(const SpaceObject &object) const = 0;
    /// The status of a retirement: under way, or the instance holds nothing anymore.
    virtual boost::json::value encodeRetirement(bool isComplete) const = 0;

    /// Whether it is the balancer's question for readiness.
    virtual bool isReadinessProbe(std::string_view path) const = 0;
    virtual RequestMetadata decodeMetadata(const HttpHeaders &headers) const = 0;
    /// InvalidArgument for a call that can not be read.
    virtual Result<ApiCall> decodeCall(std::string_view method, std::string_view path,
                                       std::string_view query,
                                       const HttpHeaders &headers) const = 0;
    virtual HttpHeader retryAfter(std::chrono::milliseconds wait) const = 0;

    /// The fields for an endpoint: those of the caller without what concerns one connection, and
    /// those of the hop.
    virtual HttpHeaders endpointHeaders(const HttpHeaders &caller,
                                        const ForwardingContext &hop) const = 0;
    virtual ResponseKind classify(const AnswerHead &head, std::string_view requestId) const = 0;

    /// The items of a submitted job; InvalidArgument names what can not be read.
    virtual Result<std::vector<JobItem>> decodeJob(std::string_view body) const = 0;
    virtual std::string encodeResults(std::size_t total, std::size_t next,
                                      const std::vector<JobResult> &results) const = 0;
};

} // namespace pistachiofall
