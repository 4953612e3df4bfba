#pragma once

/// @file
/// @brief What calls to one worker's life tell of whether it can be reached.
///
/// Two questions about a call without an answer have different answers: whether it may have been carried out
/// (`never_left`), and whether the worker can be reached (here). `not_sent` says that the call was not
/// carried out, and nothing of the worker.
/// @since 0.7

#include <algorithm>
#include <cstdint>
#include <optional>

#include <walkthread/dispatch/orders.hpp>
#include <walkthread/units/time.hpp>

namespace walkthread
{

/// @brief Calls that got no answer since the worker was last heard.
struct failed_calls
{
    std::uint32_t not_sent{};    ///< for want of a connection here, or of time
    std::uint32_t unreachable{}; ///< the address took no connection
    std::uint32_t unconfirmed{}; ///< sent, and no answer came that counts
};

/// @brief When a worker was last heard, and what has failed since.
/// @since 0.7
class worker_contact
{
  public:
    worker_contact() = default;
    /// @param from it counts as heard then, although nothing has been asked yet
    explicit worker_contact(monotonic_time from) : m_heard(from)
    {
    }

    /// @brief It answered a look.
    void note_answer(monotonic_time now)
    {
        m_heard = now;
        m_doubted = false;
        m_asked_in_vain.reset();
        m_failed = {};
    }
    /// @brief A call to it got no answer that counts.
    /// @param outcome why; what is neither `not_sent` nor `unreachable` was sent
    void note_failure(order_outcome outcome, monotonic_time now)
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
    /// @brief A look at it got no answer that counts. @param sent when it went out
    void note_failed_look(order_outcome outcome, monotonic_time sent, monotonic_time now)
    {
        note_failure(outcome, now);
        if (outcome != order_outcome::not_sent)
        {
            m_asked_in_vain = std::max(m_asked_in_vain.value_or(sent), sent);
        }
    }
    /// @brief It is not asked before `until`, on purpose, and counts as heard meanwhile.
    void rest(monotonic_time until)
    {
        m_rests_until = until;
    }
    /// @brief It is asked again from now on.
    void end_rest(monotonic_time now)
    {
        m_rests_until = std::min(m_rests_until, now);
    }

    [[nodiscard]] bool rests(monotonic_time now) const
    {
        return m_rests_until > now;
    }
    [[nodiscard]] monotonic_time heard() const
    {
        return m_heard;
    }
    /// @brief For how long it has not been heard, beyond the time for which it was left alone on purpose.
    [[nodiscard]] duration unheard_for(monotonic_time now) const
    {
        return now - std::max(m_heard, m_rests_until);
    }
    /// @brief Whether a call to it failed in a way that tells of the worker: nothing new goes there until it
    /// is heard.
    [[nodiscard]] bool doubted() const
    {
        return m_doubted;
    }
    /// @brief Since when it has been doubted without a break.
    [[nodiscard]] monotonic_time doubted_since() const
    {
        return m_doubted_since;
    }
    /// @brief When the newest look that tells against it had been sent; nothing since it was heard.
    [[nodiscard]] std::optional<monotonic_time> asked_in_vain() const
    {
        return m_asked_in_vain;
    }
    /// @brief What has failed since it was last heard.
    [[nodiscard]] const failed_calls& failed() const
    {
        return m_failed;
    }

  private:
    monotonic_time m_heard{};
    monotonic_time m_rests_until{};
    monotonic_time m_doubted_since{};
    std::optional<monotonic_time> m_asked_in_vain;
    bool m_doubted = false;
    failed_calls m_failed;
};

} // namespace walkthread
