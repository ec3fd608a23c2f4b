#include "engine.h"

#include <cstdio>
#include <cstdlib>
#include <thread>
#include <utility>

#include <boost/json/object.hpp>

namespace review {

namespace {

constexpr std::size_t EventBytes = 65;

std::string chunk(const std::string &text)
{
    char size[20];
    std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
    return size + text + "\r\n";
}

} // namespace

Engine::Engine(Settings settings, Record &record)
    : m_settings(std::move(settings))
    , m_record(record)
    , m_listener([this](Exchange &exchange) { handle(exchange); })
{ }

std::string Engine::eventData(const std::string &requestId, int event)
{
    std::string data = requestId + "-" + std::to_string(event);
    data.resize(EventBytes, '.');
    return data;
}

void Engine::registerAt(Store &store) const
{
    store.put("servers", m_settings.id,
              boost::json::object{{"service", m_settings.service},
                                  {"address", "127.0.0.1:" + std::to_string(m_listener.port())},
                                  {"zone", m_settings.zone},
                                  {"version", "v1"},
                                  {"slots", m_settings.slots},
                                  {"state", "ready"},
                                  {"cold_left_ms", 0},
                                  {"born", 1'700'000'000'000},
                                  {"seq", 1}});
}

void Engine::crash()
{
    m_isDown = true;
    m_listener.stop();
    m_record.line(m_settings.id + " crashes");
}

std::vector<Engine::Run> Engine::runs()
{
    const std::scoped_lock lock(m_mutex);
    return m_runs;
}

void Engine::handle(Exchange &exchange)
{
    const Message &request = exchange.request;
    if (m_isDown) {
        exchange.connection.reset();
        exchange.isLast = true;
        return;
    }
    if (request.path() == "/health") {
        exchange.respond(200, "", {{"Instance", m_settings.id}});
        return;
    }
    const std::string id = request.header("Request-Id");
    if (request.header("Expect-Instance") != m_settings.id) {
        exchange.respond(421, "", {{"Instance", m_settings.id}, {"Request-Id", id}});
        return;
    }
    if (++m_running > m_settings.slots) {
        --m_running;
        exchange.respond(503, "", {{"Not-Run", "1"}, {"Request-Id", id}});
        return;
    }
    std::size_t run = 0;
    {
        const std::scoped_lock lock(m_mutex);
        run = m_runs.size();
        m_runs.push_back({m_record.now(), 0, id, request.header("Tenant"), false});
    }
    m_record.line(m_settings.id + " runs " + id + " after event '" + request.header("Last-Event-Id")
                  + "'");
    const int status = answerStatus ? answerStatus(request) : 0;
    if (status == Crash) {
        crash();
        exchange.connection.reset();
        exchange.isLast = true;
    } else if (status != 0) {
        m_record.line(m_settings.id + " answers " + std::to_string(status) + " to " + id);
        exchange.respond(status, "", {{"Request-Id", id}, {"Reply-Seal", "s." + id}});
    } else {
        stream(exchange, run);
    }
    --m_running;
    const std::scoped_lock lock(m_mutex);
    m_runs[run].end = m_record.now();
}

void Engine::stream(Exchange &exchange, std::size_t run)
{
    const Message &request = exchange.request;
    const std::string id = request.header("Request-Id");
    const int first = std::atoi(request.header("Last-Event-Id").c_str()) + 1;
    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
    head += "Transfer-Encoding: chunked\r\nRequest-Id: " + id + "\r\nReply-Seal: s." + id;
    bool isOpen = exchange.connection.write(head + "\r\n\r\n");
    for (int event = first; isOpen && event <= m_settings.events; ++event) {
        std::this_thread::sleep_for(m_settings.eventTime);
        const std::string text =
                "id: " + std::to_string(event) + "\ndata: " + eventData(id, event) + "\n\n";
        if (m_isDown)
            exchange.connection.reset();
        isOpen = !m_isDown && !exchange.connection.isClosed()
                && exchange.connection.write(chunk(text));
    }
    isOpen = isOpen && exchange.connection.write("0\r\n\r\n");
    m_record.line(m_settings.id + (isOpen ? " completes " : " drops ") + id);
    exchange.isLast = !isOpen;
    const std::scoped_lock lock(m_mutex);
    m_runs[run].isComplete = isOpen;
}

} // namespace review
