#pragma once

/// @file
/// @brief Which submissions the leader takes, so that the replicated state stays within its limit.
/// @since 0.10

#include <cstdint>
#include <map>

#include <walkthread/workload/state_size.hpp>

namespace walkthread
{

/// @brief Decides on each submission before it is proposed, since the limit follows from the memory of a
/// process and replicas may differ in that.
/// @since 0.10
class state_admission
{
  public:
    explicit state_admission(state_limits limits) : m_limits(limits)
    {
    }

    /// @brief Whether a submission fits. One of which a copy is being committed always does: a copy must not
    /// be refused once another one may have been accepted.
    /// @param state_bytes size of the state, without submissions that are being committed
    /// @param bytes size of this one
    [[nodiscard]] bool fits(std::uint64_t state_bytes, submission_id id, std::uint64_t bytes) const;
    /// @brief Counts a submission that is proposed; `end_commit` has to follow.
    void begin_commit(submission_id id, std::uint64_t bytes);
    void end_commit(submission_id id);
    /// @brief Size of the submissions that are being committed.
    [[nodiscard]] std::uint64_t committing_bytes() const
    {
        return m_committing_bytes;
    }

    /// @brief Counts a refusal. @return whether it is the first since a submission fitted
    bool record_refusal();
    /// @brief Records that a submission fitted. @return the refusals since the last one that did
    std::uint64_t record_acceptance();

    /// @brief When a refused caller should come back. Spread, so that they do not all come at once.
    /// @param draw from 0 up to, but not including, 1
    [[nodiscard]] static std::int64_t retry_after_s(double draw);

  private:
    struct commit
    {
        std::uint32_t copies{};
        std::uint64_t bytes{};
    };

    state_limits m_limits;
    std::map<submission_id, commit> m_commits;
    std::uint64_t m_committing_bytes = 0;
    std::uint64_t m_refused = 0; ///< since the last submission that fitted
};

} // namespace walkthread
