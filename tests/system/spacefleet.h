#pragma once

#include "system/childprocess.h"
#include "system/httpclient.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pistachiofall::tests {

/// Real processes on loopback: the stand-in of a store with kinds, endpoints that seal their
/// answers, and instances started by "fleet serve". Everything ends with the object.
class SpaceFleet
{
public:
    /// How the instances reach the store.
    enum class StorePath {
        Direct,
        /// Each through its own route of a proxy that injects faults.
        Proxied,
    };

    explicit SpaceFleet(int instances, StorePath storePath = StorePath::Direct);
    ~SpaceFleet();
    SpaceFleet(const SpaceFleet &) = delete;
    SpaceFleet &operator=(const SpaceFleet &) = delete;

    /// The version with which further endpoints register.
    void setVersion(const std::string &version) { m_version = version; }
    /// Orders that the service's requests move to endpoints of the version.
    void orderRollout(const std::string &service, const std::string &version, int durationSeconds);
    /// Writes an order as it is.
    void writeRollout(const std::string &service, const std::string &spec);
    /// Starts an endpoint and registers it for the service.
    void startEndpoint(const std::string &id, const std::vector<std::string> &arguments = {},
                       int slots = 4, const std::string &service = "chat");
    /// Registers an endpoint that the test itself runs at the port.
    void registerEndpoint(const std::string &id, std::uint16_t port, int slots = 4,
                          const std::string &service = "chat");
    /// What the endpoint says of the requests that it ran, one "ID=COUNT" a line.
    std::string seen(const std::string &id);
    void cutNextStream(const std::string &id, int afterEvents);
    /// Sets how the endpoint answers its next requests, by the names of SealedEngine.
    void setAnswers(const std::string &id, const std::string &mode, int count = 1);
    /// Lets each run of the request at the endpoint end with the status.
    void failRequest(const std::string &id, const std::string &requestId, unsigned status);
    /// Lets the endpoint say in all its answers that it leaves.
    void announceLeaving(const std::string &id);
    ChildProcess &endpoint(const std::string &id);
    std::uint16_t endpointPort(const std::string &id) const { return m_endpointPorts.at(id); }
    void unregisterEndpoint(const std::string &id);
    /// Marks the endpoint's entry as draining.
    void drainEndpoint(const std::string &id);

    /// Writes a configuration in which these keys belong to the organisation "acme", whose limit is
    /// the rate and the burst.
    void writeConfig(int version, const std::vector<std::string> &keys, int rate = 1000,
                     int burst = 1000);
    /// The service of the route for batch jobs in each further configuration.
    void setBatchService(const std::string &service) { m_batchService = service; }
    /// The time within which batch jobs are due in each further configuration.
    void setDueTime(std::chrono::milliseconds time) { m_dueTime = time; }
    /// Each further configuration has one more route for batch jobs, with this path prefix.
    void addBatchRoute(const std::string &prefix, const std::string &service)
    {
        m_batchRoutes[prefix] = service;
    }
    /// The number of routes that each further configuration has in addition.
    void setExtraRoutes(int count) { m_extraRoutes = count; }
    void setStore(const std::string &mode);
    /// Leaves the watches that are open now without an answer for good.
    void muteWatches();
    /// Sets a fault of the proxy between an instance and the store, such as "mode=freeze".
    void setStorePath(int index, const std::string &fault);
    /// The objects of a kind in the store, as it lists them.
    std::string stored(const std::string &kind);

    /// The memory that each further instance is told to have.
    void setMemory(int megabytes) { m_memoryMegabytes = megabytes; }
    /// Replaces the settings file of the instance. Each further setting is a line of the section
    /// "fleet". Returns the file.
    std::string writeSettings(int index, const std::vector<std::string> &furtherSettings = {});
    void startInstance(int index, const std::vector<std::string> &furtherSettings = {});
    bool waitReady(int index, std::chrono::milliseconds timeout = std::chrono::seconds{10});
    ChildProcess &instance(int index);
    /// The value of a metric of an instance, named with its labels; -1 without an answer.
    std::int64_t metric(int index, const std::string &name);
    std::uint16_t callerPort(int index) const;

    /// A call of a caller with the key "key-1" and the headers that each request has.
    HttpReply call(int index, const std::string &method, const std::string &target,
                   const std::string &requestId, const std::string &body = {},
                   const std::string &key = "key-1",
                   const std::map<std::string, std::string> &headers = {});

private:
    struct Ports
    {
        std::uint16_t callers = 0;
        std::uint16_t ready = 0;
        std::uint16_t peers = 0;
        std::uint16_t metrics = 0;
        /// Where the instance reaches the store.
        std::uint16_t store = 0;
    };

    void startProxy();
    std::string endpointEntry(const std::string &id, const std::string &state);
    void store(const std::string &method, const std::string &target, const std::string &body);

    std::string m_folder;
    std::unique_ptr<ChildProcess> m_store;
    std::uint16_t m_storePort = 0;
    std::unique_ptr<ChildProcess> m_proxy;
    std::uint16_t m_proxyControl = 0;
    std::vector<Ports> m_ports;
    std::vector<std::unique_ptr<ChildProcess>> m_instances;
    std::map<std::string, std::unique_ptr<ChildProcess>> m_endpoints;
    std::map<std::string, std::uint16_t> m_endpointPorts;
    std::map<std::string, int> m_endpointSlots;
    std::map<std::string, std::string> m_endpointServices;
    std::map<std::string, std::string> m_endpointVersions;
    std::string m_version = "v1";
    std::string m_batchService = "chat";
    /// Services by path prefix.
    std::map<std::string, std::string> m_batchRoutes;
    int m_extraRoutes = 0;
    std::chrono::milliseconds m_dueTime = std::chrono::seconds{18};
    /// 0: that of the machine.
    int m_memoryMegabytes = 0;
    bool m_hasConfig = false;
};

} // namespace pistachiofall::tests
