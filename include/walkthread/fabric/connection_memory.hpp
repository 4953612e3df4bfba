#pragma once

/// @file
/// @brief Accounts for the memory that incoming connections of a process take, all listeners together.
/// @since 0.11

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <list>
#include <map>
#include <memory>
#include <vector>

#include <prometheus/metric_family.h>

#include <walkthread/units/time.hpp>

namespace walkthread
{

/// @brief Limits of a process's connections, in bytes.
/// @since 0.11
struct connection_memory_limits
{
    std::size_t bytes = std::numeric_limits<std::size_t>::max(); ///< for all connections
    std::size_t reserved_for_small = 0; ///< part of `bytes` that only small requests may take
};

/// @brief The limits for a process.
/// @param memory_bytes memory of the process; 0 if unknown
/// @param replica whether the process holds the replicated state and its log
[[nodiscard]] connection_memory_limits make_connection_memory_limits(std::uint64_t memory_bytes,
                                                                     bool replica);

/// @brief The account. Not thread-safe: used on the event loop's thread only.
/// @since 0.11
class connection_memory
{
  public:
    /// @brief What one connection takes, released when it is destroyed.
    class claim
    {
      public:
        /// @param close closes the connection; called when memory is short
        claim(std::shared_ptr<connection_memory> account, std::function<void()> close);
        ~claim();
        claim(const claim&) = delete;
        claim& operator=(const claim&) = delete;

        /// @brief Changes the claim to `bytes`.
        /// @param small may use the reserved part; other connections are closed if even that is short
        /// @return false if that many bytes are not available; the claim is then unchanged
        [[nodiscard]] bool resize(std::size_t bytes, bool small, monotonic_time now);
        /// @brief Changes the claim to what the connection takes in any case, such as a response.
        void charge(std::size_t bytes, monotonic_time now);
        /// @brief Whether closing the connection frees its memory.
        void set_closable(bool closable)
        {
            m_closable = closable;
        }

      private:
        friend class connection_memory;
        void set(std::size_t bytes, monotonic_time now);

        std::shared_ptr<connection_memory> m_account;
        std::function<void()> m_close;
        std::list<claim*>::iterator m_position;
        std::size_t m_bytes = 0;
        monotonic_time m_since{}; ///< of the first byte of the present claim
        bool m_closable = false;
    };

    explicit connection_memory(connection_memory_limits limits) : m_limits(limits)
    {
    }

    /// @brief Sets what is called when requests begin to be refused for lack of memory (`true`), and when
    /// there is room again.
    void on_change(std::function<void(bool refusing)> observer)
    {
        m_observer = std::move(observer);
    }
    [[nodiscard]] std::size_t held() const
    {
        return m_held;
    }
    [[nodiscard]] const connection_memory_limits& limits() const
    {
        return m_limits;
    }
    /// @brief Connections closed as memory was short.
    [[nodiscard]] std::uint64_t closed() const
    {
        return m_closed;
    }
    /// @brief Counts a request that was refused before it was handled.
    void count_refusal(unsigned status)
    {
        ++m_refusals[status];
    }
    /// @brief The refusals by status, for a metrics page.
    [[nodiscard]] std::vector<prometheus::MetricFamily> collect() const;

  private:
    bool close_largest(const claim* except, monotonic_time now);
    void set_refusing(bool refusing);

    connection_memory_limits m_limits;
    std::size_t m_held = 0;
    std::uint64_t m_closed = 0;
    bool m_refusing = false;
    std::list<claim*> m_claims;
    std::map<unsigned, std::uint64_t> m_refusals;
    std::function<void(bool)> m_observer;
};

} // namespace walkthread
