#include "fleet.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <thread>
#include <utility>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

constexpr const char *Program = "target/pistachiofall";
constexpr const char *Key = "key-of-desk";
constexpr const char *SharedPart = "9c2e41:100";
// Clients of batch jobs allow 4 s, and 1.5 s more for reads.
constexpr milliseconds SubmitTimeout{4000};
constexpr milliseconds ReadTimeout{2500};

std::string quoted(const std::string &text)
{
    return "\"" + text + "\"";
}

std::string address(std::uint16_t port)
{
    return quoted("127.0.0.1:" + std::to_string(port));
}

json::object batchRoute(const char *name, const char *prefix, const char *service)
{
    return {{"name", name},       {"host", JobHost},     {"path_prefix", prefix},
            {"kind", "batch"},    {"timeout_ms", 15000}, {"slo_ms", 400},
            {"due_ms", 18000},    {"retention_s", 60},   {"priority", 2},
            {"service", service}, {"attempts", 3},       {"public", false},
            {"affinity", true},   {"resumable", true},   {"gap_aim_ms", 400}};
}

json::object modelService(const char *name)
{
    return {{"name", name},
            {"health_path", "/health"},
            {"max_conns", 360},
            {"cold_s", 3.0},
            {"cold_per_s", 12.0}};
}

std::map<std::string, std::string> callHeaders()
{
    return {{"Host", JobHost}, {"Authorization", std::string("Bearer ") + Key}};
}

} // namespace

Fleet::Fleet(std::string folder, Store &store, Record &record)
    : m_folder(std::move(folder))
    , m_store(store)
    , m_record(record)
{ }

Fleet::~Fleet()
{
    for (std::size_t machine = 0; machine < m_machines.size(); ++machine)
        kill(machine);
}

std::size_t Fleet::add(const std::string &name, const std::string &zone)
{
    m_machines.push_back({name, zone, freePort(), freePort(), freePort(), freePort(), 0});
    return m_machines.size() - 1;
}

// What deploy/instance.toml.template renders for the machine.
std::string Fleet::settings(const Machine &machine) const
{
    std::string seeds;
    for (std::size_t index = 0; index < std::min<std::size_t>(3, m_machines.size()); ++index)
        seeds += (index > 0 ? "," : "") + address(m_machines[index].peers);
    return "[instance]\nname = " + quoted(machine.name) + "\nfailure_domain = "
            + quoted(machine.zone) + "\n\n[listen]\ncallers = " + address(machine.callers)
            + "\nready = " + address(machine.ready) + "\npeers = " + address(machine.peers)
            + "\nmetrics = " + address(machine.metrics)
            + "\n\n[store]\naddress = " + address(m_store.port())
            + "\ncall_timeout_ms = 1500\nmax_object_bytes = 1048576\n\n[fleet]\nseeds = [" + seeds
            + "]\nquota_window_ms = 5000\nquota_slack = 20\nstop_grace_ms = 8000\n"
              "change_bound_ms = 2000\n";
}

void Fleet::start(std::size_t machine)
{
    Machine &started = m_machines[machine];
    const std::string file = m_folder + "/" + started.name + ".toml";
    const std::string log = m_folder + "/" + started.name + ".log";
    std::ofstream(file) << settings(started);
    const pid_t parent = getpid();
    const pid_t process = fork();
    if (process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent)
            _exit(1);
        const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        execl(Program, Program, "fleet", "serve", "--settings", file.c_str(), nullptr);
        _exit(127);
    }
    started.process = process;
    m_record.line("started " + started.name);
}

void Fleet::startAll()
{
    for (std::size_t machine = 0; machine < m_machines.size(); ++machine)
        start(machine);
}

void Fleet::signal(std::size_t machine, int number)
{
    if (m_machines[machine].process > 0)
        ::kill(m_machines[machine].process, number);
}

void Fleet::kill(std::size_t machine)
{
    Machine &killed = m_machines[machine];
    if (killed.process <= 0)
        return;
    ::kill(killed.process, SIGKILL);
    waitpid(killed.process, nullptr, 0);
    killed.process = 0;
    m_record.line("killed " + killed.name);
}

bool Fleet::isRunning(std::size_t machine)
{
    Machine &asked = m_machines[machine];
    if (asked.process > 0 && waitpid(asked.process, nullptr, WNOHANG) == asked.process)
        asked.process = 0;
    return asked.process > 0;
}

bool Fleet::isReady(std::size_t machine) const
{
    const Message answer = call(m_machines[machine].ready, "GET", "/api/ready", {{"Host", "ready"}},
                                {}, milliseconds{500});
    return answer.status == 200;
}

bool Fleet::waitReady(std::chrono::seconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    for (std::size_t machine = 0; machine < m_machines.size(); ++machine) {
        while (!isReady(machine)) {
            if (std::chrono::steady_clock::now() > deadline)
                return false;
            std::this_thread::sleep_for(milliseconds{50});
        }
    }
    return true;
}

std::size_t Job::listed() const
{
    return static_cast<std::size_t>(std::count_if(
            items.begin(), items.end(), [](const Item &item) { return !item.state.empty(); }));
}

void writeConfig(Store &store)
{
    const json::object limits{{"max_header_bytes", 16384},
                              {"max_body_bytes", 4194304},
                              {"header_timeout_ms", 3000},
                              {"idle_timeout_ms", 15000}};
    const json::object organisation{{"name", "desk"}, {"api_keys", json::array{Key}}};
    store.put("config", "main",
              json::object{{"version", 7},
                           {"routes",
                            json::array{batchRoute("r-batch", JobPrefix, JobService),
                                        batchRoute("r-batch-2", SecondPrefix, SecondService)}},
                           {"services",
                            json::array{modelService(JobService), modelService(SecondService)}},
                           {"limits", limits},
                           {"tenants", json::array{organisation}}});
}

Job makeJob(const std::string &id, std::size_t items, const std::string &prefix)
{
    Job job{id, prefix, {}};
    for (std::size_t index = 0; index < items; ++index) {
        char number[8];
        std::snprintf(number, sizeof(number), "%04zu", index);
        const std::string item = id.substr(0, 12).append(number);
        job.items.push_back(
                {item, std::string(prefix).append("3/").append(item), SharedPart, {}, {}, 0});
    }
    return job;
}

int submit(Fleet &fleet, std::size_t machine, const Job &job, Record &record)
{
    json::array items;
    for (const Item &item : job.items) {
        const json::object headers{
                {"Model", "m"},
                {"Token-Count", "350,203"},
                {"Prompt-Prefix", item.sharedParts + "," + item.id.substr(8) + ":250"}};
        items.push_back(json::object{{"id", item.id},
                                     {"path", item.path},
                                     {"headers", headers},
                                     {"body", "q83vEjRWeJA="},
                                     {"tokens", 553}});
    }
    auto headers = callHeaders();
    headers["Request-Id"] = job.id;
    headers["Deadline-Ms"] = std::to_string(SubmitTimeout.count());
    headers["Content-Type"] = "application/json";
    const std::string body = json::serialize(json::object{{"items", std::move(items)}});
    record.line("submit " + job.id + " at " + fleet.name(machine));
    const Message answer =
            call(fleet.callers(machine), "POST", job.prefix + job.id, headers, body, SubmitTimeout);
    record.line("submit " + job.id + " at " + fleet.name(machine) + " is answered "
                + std::to_string(answer.status));
    return answer.status;
}

bool readResults(Fleet &fleet, std::size_t machine, Job &job, Record &record)
{
    for (Item &item : job.items)
        item.state.clear();
    std::size_t position = 0;
    for (;;) {
        const std::string target = "/api/lots/" + job.id + "?after=" + std::to_string(position);
        const Message answer =
                call(fleet.callers(machine), "GET", target, callHeaders(), {}, ReadTimeout);
        if (answer.status != 200) {
            record.line("read of " + job.id + " at " + fleet.name(machine) + " is answered "
                        + std::to_string(answer.status));
            return false;
        }
        boost::system::error_code error;
        const json::value body = json::parse(answer.body, error);
        if (error)
            return false;
        std::size_t index = position;
        for (const json::value &result : body.at("results").as_array()) {
            for (Item &item : job.items) {
                if (item.id != result.at("id").as_string())
                    continue;
                item.state = result.at("state").as_string().c_str();
                const auto *output = result.as_object().if_contains("output");
                item.output = output == nullptr ? "" : output->as_string().c_str();
                item.position = index;
            }
            ++index;
        }
        if (body.at("results").as_array().empty())
            break;
        position = body.at("next").to_number<std::size_t>();
    }
    record.line("read of " + job.id + " at " + fleet.name(machine) + " lists "
                + std::to_string(job.listed()) + " of " + std::to_string(job.items.size()));
    return true;
}

} // namespace review
