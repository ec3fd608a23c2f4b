#include "system/fleet.h"

#include "system/freeport.h"
#include "system/waituntil.h"

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace pistachiofall::tests {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds StartTimeout{10};

std::uint16_t toPort(const std::string &text)
{
    return static_cast<std::uint16_t>(std::strtoul(text.c_str(), nullptr, 10));
}

std::string loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

HttpReply control(std::uint16_t port, const std::string &method, const std::string &target)
{
    HttpCall call;
    call.port = port;
    call.method = method;
    call.target = target;
    return httpCall(call);
}

} // namespace

Fleet::Fleet(const FleetOptions &options)
    : m_options(options)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "pf-XXXXXX").string();
    m_folder = mkdtemp(pattern.data());
    m_platform = std::make_unique<ChildProcess>(
            "standin_platform",
            std::vector<std::string>{"--listen", "127.0.0.1:0", "--list-lag-ms",
                                     std::to_string(options.listLag.count())});
    m_platformPort = toPort(m_platform->waitForLine("listening ", StartTimeout));
    m_storeAddress = loopback(m_platformPort);
    std::vector<std::string> routes{"--control", "127.0.0.1:0"};
    for (int index = 0; index < options.instances; ++index) {
        InstanceEntry entry;
        entry.failureDomain =
                std::string("east-") + static_cast<char>('a' + index % options.failureDomains);
        entry.name = entry.failureDomain + "-" + std::to_string(1 + index / options.failureDomains);
        entry.callers = freePort();
        entry.admin = freePort();
        entry.peers = freePort();
        routes.insert(routes.end(),
                      {"--route",
                       "store-" + std::to_string(index) + "=127.0.0.1:0," + m_storeAddress,
                       "--route",
                       "peer-" + std::to_string(index) + "=127.0.0.1:0," + loopback(entry.peers)});
        m_instances.push_back(std::move(entry));
    }
    m_proxy = std::make_unique<ChildProcess>("standin_proxy", routes);
    for (int index = 0; index < options.instances; ++index) {
        const std::string number = std::to_string(index);
        const auto storeProxy =
                toPort(m_proxy->waitForLine("route store-" + number + " ", StartTimeout));
        auto &entry = m_instances[static_cast<std::size_t>(index)];
        entry.peersProxy = toPort(m_proxy->waitForLine("route peer-" + number + " ", StartTimeout));
        writeSettings(entry, storeProxy);
        listInstance(index);
    }
    m_proxyControl = toPort(m_proxy->waitForLine("listening ", StartTimeout));
}

Fleet::~Fleet()
{
    m_instances.clear();
    m_endpoints.clear();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

void Fleet::writeSettings(InstanceEntry &entry, std::uint16_t storeProxy)
{
    entry.settingsFile = m_folder + "/" + entry.name + ".toml";
    std::ofstream file(entry.settingsFile);
    file << "[instance]\nname = \"" << entry.name << "\"\nfailure_domain = \""
         << entry.failureDomain << "\"\nregion = \"east\"\n[listen]\ncallers = \""
         << loopback(entry.callers) << "\"\nadmin = \"" << loopback(entry.admin) << "\"\npeers = \""
         << loopback(entry.peers) << "\"\npeers_advertised = \"" << loopback(entry.peersProxy)
         << "\"\n[store]\naddress = \"" << loopback(storeProxy)
         << "\"\n[sharding]\nshards = " << m_options.shards
         << "\n[deadlines]\nready_delay_ms = " << m_options.readyDelay.count()
         << "\ndrain_ms = " << m_options.drain.count() << "\n"
         << m_options.extraSettings;
}

std::string Fleet::startEndpoint(const std::string &name, const std::string &program,
                                 const std::vector<std::string> &arguments)
{
    EndpointEntry &entry = m_endpoints[name];
    std::vector<std::string> words{"--listen", "127.0.0.1:0"};
    words.insert(words.end(), arguments.begin(), arguments.end());
    entry.process = std::make_unique<ChildProcess>(program, words);
    entry.port = toPort(entry.process->waitForLine("listening ", StartTimeout));
    entry.proxy = std::make_unique<ChildProcess>(
            "standin_proxy",
            std::vector<std::string>{"--control", "127.0.0.1:0", "--route",
                                     name + "=127.0.0.1:0," + loopback(entry.port)});
    const auto port = toPort(entry.proxy->waitForLine("route " + name + " ", StartTimeout));
    entry.proxyControl = toPort(entry.proxy->waitForLine("listening ", StartTimeout));
    return loopback(port);
}

std::uint16_t Fleet::endpointPort(const std::string &name) const
{
    return m_endpoints.at(name).port;
}

ChildProcess &Fleet::endpoint(const std::string &name)
{
    return *m_endpoints.at(name).process;
}

Fleet::Key Fleet::makeKey(const std::string &id, const std::string &organisation)
{
    std::string output;
    runCli({"key", "new", "--id", id, "--organisation", organisation}, output);
    Key key;
    std::istringstream lines(output);
    for (std::string line; std::getline(lines, line);) {
        if (line.rfind("pf_", 0) == 0)
            key.text = line;
        if (line.rfind("key ", 0) == 0)
            key.rule = line.substr(0, line.find(" #"));
    }
    return key;
}

int Fleet::applyRules(const std::string &lines, bool wait)
{
    const std::string file = m_folder + "/rules.txt";
    std::ofstream(file) << lines;
    std::vector<std::string> arguments{"rules",        "apply",    file,  "--store",
                                       m_storeAddress, "--author", "test"};
    if (wait)
        arguments.emplace_back("--wait");
    std::string output;
    const int exitCode = runCli(arguments, output);
    if (exitCode != 0)
        std::fputs(output.c_str(), stderr);
    return exitCode;
}

void Fleet::startInstances()
{
    for (int index = 0; index < m_options.instances; ++index)
        startInstance(index);
    for (int index = 0; index < m_options.instances; ++index) {
        if (!waitReady(index))
            std::fprintf(stderr, "instance %d is not ready\n%s\n", index, logs().c_str());
    }
}

void Fleet::startInstance(int index)
{
    InstanceEntry &entry = m_instances[static_cast<std::size_t>(index)];
    entry.process = std::make_unique<ChildProcess>(
            "pistachiofall", std::vector<std::string>{"serve", "--settings", entry.settingsFile},
            m_folder + "/" + entry.name + ".log");
}

void Fleet::killInstance(int index)
{
    m_instances[static_cast<std::size_t>(index)].process->kill();
}

bool Fleet::waitReady(int index, milliseconds timeout)
{
    return waitUntil(timeout, [&] { return httpGet(adminPort(index), "/readyz").status == 200; });
}

ChildProcess &Fleet::instance(int index)
{
    return *m_instances[static_cast<std::size_t>(index)].process;
}

std::uint16_t Fleet::callerPort(int index) const
{
    return m_instances[static_cast<std::size_t>(index)].callers;
}

std::uint16_t Fleet::adminPort(int index) const
{
    return m_instances[static_cast<std::size_t>(index)].admin;
}

std::string Fleet::instanceName(int index) const
{
    return m_instances[static_cast<std::size_t>(index)].name;
}

std::string Fleet::failureDomain(int index) const
{
    return m_instances[static_cast<std::size_t>(index)].failureDomain;
}

void Fleet::listInstance(int index, bool leaving)
{
    const InstanceEntry &entry = m_instances[static_cast<std::size_t>(index)];
    control(m_platformPort, "PUT",
            "/control/instances/" + entry.name + "?failure-domain=" + entry.failureDomain
                    + "&peer=" + loopback(entry.peersProxy) + "&admin=" + loopback(entry.admin)
                    + "&leaving=" + (leaving ? "1" : "0"));
}

void Fleet::unlistInstance(int index)
{
    control(m_platformPort, "DELETE", "/control/instances/" + instanceName(index));
}

void Fleet::setFault(const std::string &route, const std::string &query)
{
    const auto endpoint = m_endpoints.find(route);
    const std::uint16_t port =
            endpoint == m_endpoints.end() ? m_proxyControl : endpoint->second.proxyControl;
    const HttpReply reply = control(port, "POST", "/control/" + route + "?" + query);
    if (reply.status != 200)
        std::fprintf(stderr, "fault %s %s: %u %s\n", route.c_str(), query.c_str(), reply.status,
                     reply.body.c_str());
}

void Fleet::setPlatform(const std::string &query)
{
    const HttpReply reply = control(m_platformPort, "POST", "/control?" + query);
    if (reply.status != 200)
        std::fprintf(stderr, "platform %s: %u %s\n", query.c_str(), reply.status,
                     reply.body.c_str());
}

bool Fleet::setEndpoint(const std::string &name, const std::string &query)
{
    return control(endpointPort(name), "POST", "/control?" + query).status == 200;
}

std::string Fleet::platformCalls() const
{
    return httpGet(m_platformPort, "/control/calls").body;
}

HttpReply Fleet::chat(int index, const std::string &key, const std::string &body,
                      milliseconds timeout)
{
    HttpCall call;
    call.port = callerPort(index);
    call.method = "POST";
    call.target = "/v1/chat/completions";
    call.headers = {{"Authorization", "Bearer " + key}, {"Content-Type", "application/json"}};
    call.body = body;
    call.timeout = timeout;
    return httpCall(call);
}

HttpReply Fleet::post(int index, const std::string &target, const std::string &key,
                      const std::string &body, const std::map<std::string, std::string> &headers)
{
    HttpCall call;
    call.port = callerPort(index);
    call.method = "POST";
    call.target = target;
    call.headers = headers;
    if (!key.empty())
        call.headers["Authorization"] = "Bearer " + key;
    call.body = body;
    call.timeout = seconds{30};
    return httpCall(call);
}

std::string Fleet::status(int index) const
{
    return httpGet(adminPort(index), "/status").body;
}

double Fleet::metric(int index, const std::string &prefix) const
{
    std::istringstream lines(httpGet(adminPort(index), "/metrics").body);
    for (std::string line; std::getline(lines, line);) {
        if (line.rfind(prefix, 0) == 0)
            return std::strtod(line.substr(line.rfind(' ') + 1).c_str(), nullptr);
    }
    return 0;
}

int Fleet::runCli(const std::vector<std::string> &arguments, std::string &output)
{
    ChildProcess process("pistachiofall", arguments);
    output = process.readAll(seconds{60});
    return process.wait(seconds{60});
}

std::string Fleet::logs() const
{
    std::ostringstream text;
    for (const InstanceEntry &entry : m_instances) {
        std::ifstream file(m_folder + "/" + entry.name + ".log");
        text << "== " << entry.name << "\n" << file.rdbuf();
    }
    return text.str();
}

std::string chatBody(const std::string &model, const std::string &prompt, int maxTokens,
                     bool isStream)
{
    return R"({"model":")" + model + R"(","max_tokens":)" + std::to_string(maxTokens)
            + (isStream ? R"(,"stream":true)" : "") + R"(,"messages":[{"role":"user","content":")"
            + prompt + R"("}]})";
}

} // namespace pistachiofall::tests
