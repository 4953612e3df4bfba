#pragma once

/// @file
/// @brief Workers on which runs fail: for a while they get only work that no other worker takes.
/// @since 0.12

#include <algorithm>

#include <walkthread/units/time.hpp>
#include <walkthread/workload/submission.hpp>

namespace walkthread
{

/// @brief When a worker is put on probation, and for how long.
struct probation_settings
{
    int failures = 3;                  ///< consecutive failed runs of different submissions that begin it
    milliseconds first{4000};          ///< the first one; each further one takes twice as long
    milliseconds longest{30000};       ///< limit of that
    milliseconds trial_interval{1000}; ///< between two trials
};

/// @brief The probation of one incarnation of a worker.
///
/// On probation it is tried with one start per `trial_interval`, of work that has no other choice. A run that
/// was sent before the probation began says nothing new about the worker: the failures of one short
/// disturbance count once, however many runs it met.
/// @since 0.12
class worker_probation
{
  public:
    worker_probation() = default;
    explicit worker_probation(const probation_settings& settings)
        : m_settings(settings), m_next_length(settings.first)
    {
    }

    /// @brief Records a run that failed. Several of one submission count once, as it may be at fault.
    /// @param sent when the run was sent to the worker
    /// @return whether this begins or prolongs a probation
    bool record_failure(submission_id owner, monotonic_time sent, monotonic_time now)
    {
        if (sent <= m_since || owner == m_last_failed)
        {
            return false;
        }
        m_last_failed = owner;
        if (++m_failures < m_settings.failures)
        {
            return false;
        }
        begin(now);
        m_next_length = std::min(2 * m_next_length, m_settings.longest);
        m_failures = m_settings.failures - 1; // the next failure prolongs it
        return true;
    }
    /// @brief Records a run that makes no progress.
    /// @return whether this begins or prolongs a probation
    bool record_stall(monotonic_time sent, monotonic_time now)
    {
        if (sent <= m_since)
        {
            return false;
        }
        begin(now);
        return true;
    }
    /// @brief Records a run that completed.
    /// @return whether this ends a probation
    bool record_completion(monotonic_time sent, monotonic_time now)
    {
        if (sent <= m_since)
        {
            return false;
        }
        const bool ends = active(now);
        m_failures = 0;
        m_last_failed = {};
        m_next_length = m_settings.first;
        m_until = {};
        return ends;
    }
    /// @brief Records that a start is planned there during a probation.
    void record_trial(monotonic_time now)
    {
        m_next_trial = now + m_settings.trial_interval;
    }

    [[nodiscard]] bool active(monotonic_time now) const
    {
        return now < m_until;
    }
    [[nodiscard]] monotonic_time until() const
    {
        return m_until;
    }
    /// @brief The earliest time of the next trial.
    [[nodiscard]] monotonic_time next_trial() const
    {
        return m_next_trial;
    }

  private:
    void begin(monotonic_time now)
    {
        m_since = now;
        m_until = std::max<monotonic_time>(m_until, now + m_next_length);
        m_next_trial = std::max<monotonic_time>(m_next_trial, now + m_settings.trial_interval);
    }

    probation_settings m_settings;
    milliseconds m_next_length{};
    int m_failures = 0;            ///< consecutive
    submission_id m_last_failed{}; ///< of the last one that counted
    monotonic_time m_since{};      ///< when it last began or was prolonged
    monotonic_time m_until{};
    monotonic_time m_next_trial{};
};

} // namespace walkthread
