#pragma once

#include "http.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include <boost/json/object.hpp>

namespace review {

/// The platform's metadata store, as PROTOCOL.md describes it: objects by kind and name, one
/// revision for all, conditional writes, listings in pages, watches. It answers after 4 ms.
class Store
{
public:
    Store();

    std::uint16_t port() const { return m_listener.port(); }

    /// Writes as the operator or a server does.
    void put(const std::string &kind, const std::string &name, const boost::json::value &spec);
    void remove(const std::string &kind, const std::string &name);
    /// An object; empty if there is none.
    boost::json::object get(const std::string &kind, const std::string &name);
    /// Adds that many further objects of the kind with the content of the one that is there.
    void multiply(const std::string &kind, const std::string &name, std::size_t count);

    /// What happens to a call of a process of the system.
    enum class Fate {
        Answered,
        /// A write is done, and its connection stays silent.
        Lost,
        /// A write is done 1 to 6 s later if its condition still holds, and its connection stays
        /// silent.
        Late,
        /// 503, and nothing is done.
        Refused,
        /// Nothing is done, and the connection stays silent.
        Silent,
    };
    /// Decides the fate of each call, by its method, kind and name.
    std::function<Fate(const std::string &method, const std::string &kind, const std::string &name)>
            fate;
    /// The number of pages of listings of a kind that were answered.
    std::size_t pages(const std::string &kind);

private:
    using Key = std::pair<std::string, std::string>;
    struct Change
    {
        std::uint64_t revision = 0;
        std::string kind;
        std::string text;
    };
    struct Copies
    {
        std::vector<std::string> names;
        std::string before;
        std::string after;
    };

    void handle(Exchange &exchange);
    void watch(Exchange &exchange, const std::string &kind);
    int write(const Key &key, bool isStatus, const Message &request, std::string &answer);
    std::string listing(const std::string &kind, const std::string &after);
    int create(const std::string &kind, const boost::json::object &request, std::string &answer);
    int replace(const Key &key, bool isStatus, const boost::json::object &request,
                std::string &answer);
    void record(const Key &key, bool isRemoved = false);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<Key, boost::json::object> m_objects;
    std::map<std::string, Copies> m_copies;
    std::map<std::string, std::size_t> m_pages;
    std::deque<Change> m_history;
    std::uint64_t m_revision = 1;
    Listener m_listener;
};

} // namespace review
