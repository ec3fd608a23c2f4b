#pragma once

#include "base/result.h"
#include "fleet/fleetendpoint.h"
#include "fleet/rollout.h"
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

/// The kinds of the store objects that operators and endpoints write, and the name of the
/// configuration object.
struct ObjectKinds
{
    std::string configKind;
    std::string configName;
    std::string endpointKind;
    std::string evacuationKind;
    std::string retirementKind;
    std::string rolloutKind;
};

/// Names and formats of one protocol towards callers, endpoints and the store. It only translates
/// and makes no decisions.
class ServingProtocol
{
public:
    virtual ~ServingProtocol() = default;

    virtual ObjectKinds objectKinds() const = 0;
    /// ProtocolError names the invalid field.
    virtual Result<ServingConfig::Ptr> decodeConfig(const boost::json::value &spec) const = 0;
    /// ProtocolError if the object is not an endpoint.
    virtual Result<FleetEndpoint> decodeEndpoint(const SpaceObject &object) const = 0;
    /// The status of a retirement: in progress, or complete because the instance holds nothing any
    /// more.
    virtual boost::json::value encodeRetirement(bool isComplete) const = 0;
    /// ProtocolError names the invalid field of the order.
    virtual Result<RolloutOrder> decodeRollout(const SpaceObject &object) const = 0;
    /// Nothing if no instance has written a status that can be read.
    virtual std::optional<RolloutStatus>
    decodeRolloutStatus(const boost::json::value &status) const = 0;
    virtual boost::json::value encodeRolloutStatus(const RolloutStatus &status) const = 0;

    /// Whether the path is that of the load balancer's readiness probe.
    virtual bool isReadinessProbe(std::string_view path) const = 0;
    /// Reads the header fields that this system interprets.
    virtual RequestMetadata decodeMetadata(const HttpHeaders &headers) const = 0;
    /// InvalidArgument if the call is malformed.
    virtual Result<ApiCall> decodeCall(std::string_view method, std::string_view path,
                                       std::string_view query,
                                       const HttpHeaders &headers) const = 0;
    /// The header field that tells a caller when to retry.
    virtual HttpHeader retryAfter(std::chrono::milliseconds wait) const = 0;

    /// The header fields of a forwarded request: those of the caller without the hop-by-hop fields,
    /// and those of the forwarding context.
    virtual HttpHeaders endpointHeaders(const HttpHeaders &caller,
                                        const ForwardingContext &context) const = 0;
    /// Classifies an endpoint's response to the request with the id.
    virtual ResponseKind classify(const AnswerHead &head, std::string_view requestId) const = 0;

    /// Whether the endpoint announces in the response that it leaves.
    virtual bool announcesLeaving(const AnswerHead &head) const = 0;

    /// The items of a submitted job. InvalidArgument names what is invalid.
    virtual Result<std::vector<JobItem>> decodeJob(std::string_view body) const = 0;
    /// The response to a read of results: the number of items of the job, the position of the next
    /// read and the results.
    virtual std::string encodeResults(std::size_t total, std::size_t next,
                                      const std::vector<JobResult> &results) const = 0;
};

} // namespace pistachiofall
