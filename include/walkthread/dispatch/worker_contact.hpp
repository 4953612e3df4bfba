#pragma once

/// @file
/// @brief Tracks from the outcome of calls whether one incarnation of a worker can be reached.
///
/// For a call without an answer there are two separate questions: whether it may have been carried out
/// (`surely_not_executed`), and whether the worker can be reached (this file). The outcome `not_sent` means
/// that the call was not carried out, but tells nothing of the worker.
/// @since 0.7

#include <algorithm>
#include <cstdint>
#include <optional>

#include <walkthread/dispatch/orders.hpp>
#include <walkthread/units/time.hpp>

namespace walkthread
{

/// @brief Numbers of failed calls since the worker's last answer.
struct failed_calls
{
    std::uint32_t not_sent{};    ///< no connection or no time was left here
    std::uint32_t unreachable{}; ///< the address accepted no connection
    std::uint32_t unconfirmed{}; ///< sent, but no valid answer came
};

/// @brief The time of a worker's last answer, and the failures since.
/// @since 0.7
class worker_contact
{
  public:
    worker_contact() = default;
    /// @param from counts as the time of the last answer until there is one
    explicit worker_contact(monotonic_time from) : m_heard(from)
    {
    }

    /// @brief Records that it answered a poll.
    void record_answer(monotonic_time now)
    {
        m_heard = now;
        m_doubted = false;
        m_last_failed_poll.reset();
        m_kept_failed_poll.reset();
        m_refused_since.reset();
        m_failed = {};
    }
    /// @brief Records that a call to it got no valid answer.
    /// @param outcome the cause; all but `not_sent` and `unreachable` mean that the call was sent
    void record_failure(order_outcome outcome, monotonic_time now)
    {
        ++(outcome == order_outcome::not_sent      ? m_failed.not_sent
           : outcome == order_outcome::unreachable ? m_failed.unreachable
                                                   : m_failed.unconfirmed);
        if (outcome != order_outcome::not_sent && !m_doubted)
        {
            m_doubted = true;
            m_doubted_since = now;
        }
    }
    /// @brief Records that a poll got no valid answer.
    /// @param sent when it was sent
    void record_failed_poll(order_outcome outcome, monotonic_time sent, monotonic_time now)
    {
        record_failure(outcome, now);
        if (outcome != order_outcome::not_sent)
        {
            m_last_failed_poll = std::max(m_last_failed_poll.value_or(sent), sent);
        }
    }
    /// @brief Keeps the newest failed poll as evidence, also after later ones have failed.
    /// @param not_before an older kept poll counts no longer and is replaced
    void keep_failed_poll(monotonic_time not_before)
    {
        if (!m_kept_failed_poll || *m_kept_failed_poll < not_before)
        {
            m_kept_failed_poll = m_last_failed_poll;
        }
    }
    /// @brief Records that its host refused a connection or broke one: its process has ended or is about to.
    void record_refusal(monotonic_time now)
    {
        m_refused_since = m_refused_since.value_or(now);
    }
    /// @brief Polls it rarely: not before `until`. That time does not count as time without contact.
    void poll_rarely(monotonic_time until)
    {
        m_polled_rarely_until = until;
    }
    /// @brief Polls it at the usual rate again.
    void poll_promptly(monotonic_time now)
    {
        m_polled_rarely_until = std::min(m_polled_rarely_until, now);
    }

    [[nodiscard]] bool polled_rarely(monotonic_time now) const
    {
        return m_polled_rarely_until > now;
    }
    [[nodiscard]] monotonic_time last_heard() const
    {
        return m_heard;
    }
    /// @brief Time since the last contact, without the time in which it was deliberately not polled.
    [[nodiscard]] duration time_since_contact(monotonic_time now) const
    {
        return now - std::max(m_heard, m_polled_rarely_until);
    }
    /// @brief Whether a call failed in a way that makes the worker suspected of failure: it gets no new work
    /// until it answers.
    [[nodiscard]] bool doubted() const
    {
        return m_doubted;
    }
    /// @brief When the current suspicion began.
    [[nodiscard]] monotonic_time doubted_since() const
    {
        return m_doubted_since;
    }
    /// @brief When its host first refused or broke a connection since the last answer; no value if it has
    /// only been silent, in which case its process may still run.
    [[nodiscard]] std::optional<monotonic_time> refused_since() const
    {
        return m_refused_since;
    }
    /// @brief When the newest poll that counts against the worker was sent; no value if there is none since
    /// its last answer.
    [[nodiscard]] std::optional<monotonic_time> last_failed_poll() const
    {
        return m_last_failed_poll;
    }
    /// @brief When the poll that was kept as evidence was sent.
    [[nodiscard]] std::optional<monotonic_time> kept_failed_poll() const
    {
        return m_kept_failed_poll;
    }
    /// @brief Calls that failed since its last answer.
    [[nodiscard]] const failed_calls& failed() const
    {
        return m_failed;
    }

  private:
    monotonic_time m_heard{};
    monotonic_time m_polled_rarely_until{};
    monotonic_time m_doubted_since{};
    std::optional<monotonic_time> m_last_failed_poll;
    std::optional<monotonic_time> m_kept_failed_poll;
    std::optional<monotonic_time> m_refused_since;
    bool m_doubted = false;
    failed_calls m_failed;
};

} // namespace walkthread
