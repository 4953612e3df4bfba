#include <walkthread/fabric/connection_memory.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace walkthread
{

namespace
{
constexpr std::uint64_t default_memory = 256U << 20U;
// Half of a replica's memory is the state's and a quarter the log's.
constexpr std::uint64_t share_beside_replica = 8;
constexpr std::uint64_t share_without_replica = 2;
constexpr std::uint64_t small_share = 8;
constexpr std::uint64_t least_memory = 8U
                                       << 20U; // so that the largest request is served where memory is little
constexpr std::size_t room_again_percent = 50; // of the limit; a lower level than refusing begins at
constexpr std::size_t percent_base = 100;
} // namespace

connection_memory_limits make_connection_memory_limits(std::uint64_t memory_bytes, bool replica)
{
    const std::uint64_t memory = memory_bytes > 0 ? memory_bytes : default_memory;
    const std::uint64_t all =
        std::max(memory / (replica ? share_beside_replica : share_without_replica), least_memory);
    return {all, all / small_share};
}

connection_memory::claim::claim(std::shared_ptr<connection_memory> account, std::function<void()> close)
    : m_account(std::move(account)), m_close(std::move(close))
{
    m_position = m_account->m_claims.insert(m_account->m_claims.end(), this);
}

connection_memory::claim::~claim()
{
    set(0, {});
    m_account->m_claims.erase(m_position);
}

void connection_memory::claim::set(std::size_t bytes, monotonic_time now)
{
    if (m_bytes == 0)
    {
        m_since = now;
    }
    m_account->m_held += bytes;
    m_account->m_held -= std::exchange(m_bytes, bytes);
    if (m_account->m_held <= m_account->m_limits.bytes / percent_base * room_again_percent)
    {
        m_account->set_refusing(false);
    }
}

bool connection_memory::claim::resize(std::size_t bytes, bool small, monotonic_time now)
{
    const connection_memory_limits& limits = m_account->m_limits;
    const std::size_t available = limits.bytes - (small ? 0 : limits.reserved_for_small);
    const auto fits = [&]
    {
        return bytes <= m_bytes || m_account->m_held + (bytes - m_bytes) <= available;
    };
    while (small && !fits() && m_account->close_largest(this, now))
    {
    }
    if (!fits())
    {
        m_account->set_refusing(true);
        return false;
    }
    set(bytes, now);
    return true;
}

void connection_memory::claim::charge(std::size_t bytes, monotonic_time now)
{
    set(bytes, now);
    while (m_account->m_held > m_account->m_limits.bytes && m_account->close_largest(this, now))
    {
    }
}

// Closes the connection with the largest product of bytes and time.
bool connection_memory::close_largest(const claim* except, monotonic_time now)
{
    claim* largest = nullptr;
    double most = 0;
    for (claim* item : m_claims)
    {
        const auto age = std::chrono::duration_cast<milliseconds>(now - item->m_since) + milliseconds(1);
        const double held = static_cast<double>(item->m_bytes) * static_cast<double>(age.count());
        if (item != except && item->m_closable && held > most)
        {
            largest = item;
            most = held;
        }
    }
    if (largest == nullptr)
    {
        return false;
    }
    ++m_closed;
    set_refusing(true);
    largest->m_closable = false;
    largest->set(0, now);
    largest->m_close();
    return true;
}

void connection_memory::set_refusing(bool refusing)
{
    if (std::exchange(m_refusing, refusing) != refusing && m_observer)
    {
        m_observer(refusing);
    }
}

std::vector<prometheus::MetricFamily> connection_memory::collect() const
{
    prometheus::MetricFamily refusals;
    refusals.name = "walkthread_requests_refused_total";
    refusals.help = "Requests refused before they were handled, by status; 503 for lack of memory.";
    refusals.type = prometheus::MetricType::Counter;
    for (const auto& [status, count] : m_refusals)
    {
        prometheus::ClientMetric value;
        value.label.push_back({"status", std::to_string(status)});
        value.counter.value = static_cast<double>(count);
        refusals.metric.push_back(std::move(value));
    }
    return {refusals};
}

} // namespace walkthread
