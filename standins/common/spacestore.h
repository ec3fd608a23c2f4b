#pragma once

#include "common/changesignal.h"
#include "common/httpexchange.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace pistachiofall::standins {

/// A store of objects by kind and name with one revision for all, as the users' platform has it:
/// reads, writes with a condition, and watches. It lives on one thread.
///
/// POST /control/fault?mode=MODE sets a fault, which replaces the one before it:
/// - ok: none;
/// - down: every call gets 503;
/// - lose: writes that are done are not answered;
/// - refuse-watches: watches get 503, all other calls work;
/// - slow-answers: writes are done at once and answered 1.2 s later;
/// - late-writes: writes with a condition are not answered, and done 2.5 s later if the condition
///   still holds;
/// - slow-reads: reads of one object take 1.2 s;
/// - garble-watches: the answers to watches that report a change can not be read;
/// - unsure-create (with kind=KIND): the next object of the kind that is created gets no answer;
///   after the answer to the next attempt to create one, every call gets 503 for 2 s;
/// - unsure-replace (with kind=KIND): the next object of the kind that is replaced gets no answer;
///   after that, every call gets 503 for 2 s.
/// POST /control/mute leaves the watches that are open now without an answer for good, with their
/// connections open; later watches work.
class SpaceStore
{
public:
    boost::asio::awaitable<void> handle(HttpExchange &exchange);

private:
    using Key = std::pair<std::string, std::string>;

    struct Change
    {
        std::uint64_t revision = 0;
        std::string kind;
        bool isRemoved = false;
        boost::json::object object;
    };

    boost::asio::awaitable<void> watch(HttpExchange &exchange, const std::string &kind);
    boost::asio::awaitable<void> answer(HttpExchange &exchange, unsigned status,
                                        const boost::json::object &body);
    boost::json::object listing(const std::string &kind) const;
    boost::json::array changesSince(const std::string &kind, std::uint64_t revision) const;
    unsigned create(const std::string &kind, const boost::json::object &request,
                    boost::json::object &result);
    unsigned replace(const Key &key, const std::string &field, const boost::json::object &request,
                     boost::json::object &result);
    void remove(const Key &key);
    void record(const Key &key, bool isRemoved);
    bool isDown() const;
    bool losesAnswer(const std::string &method, const std::string &kind, unsigned status);

    std::map<Key, boost::json::object> m_objects;
    std::deque<Change> m_history;
    std::uint64_t m_revision = 1;
    ChangeSignal m_changed;
    std::string m_fault = "ok";
    /// The kind, and the attempts to write an object of it, for unsure-create and unsure-replace.
    std::string m_faultKind;
    int m_unsureWrites = 0;
    std::chrono::steady_clock::time_point m_downUntil{};
    /// Counts the calls of /control/mute; a watch that began before the last one is not answered.
    int m_muteCount = 0;
};

} // namespace pistachiofall::standins
