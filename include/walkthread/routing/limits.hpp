#pragma once

/// @file
/// @brief Request limits: rate and concurrency for each organisation, and a retry budget.
/// @since 0.1

#include <cstdint>

#include <walkthread/units/time.hpp>

namespace walkthread
{

/// @brief A token bucket.
/// @since 0.1
class rate_limit
{
  public:
    /// @param per_second tokens added per second
    /// @param burst capacity of the bucket
    rate_limit(double per_second, double burst);

    /// @brief Takes one token if available. Complexity: constant.
    [[nodiscard]] bool take(monotonic_time now);
    /// @brief Time until a token is available.
    [[nodiscard]] duration wait(monotonic_time now) const;

  private:
    [[nodiscard]] double tokens_at(monotonic_time now) const;

    double m_per_second;
    double m_burst;
    double m_tokens;
    monotonic_time m_updated_at{};
};

/// @brief Limits retries to a fixed fraction of the requests, so that they cannot amplify an overload.
/// @since 0.1
class retry_budget
{
  public:
    /// @brief Average number of retries allowed per request.
    static constexpr double ratio = 0.2;
    /// @brief Maximum number of unused retries that accumulate.
    static constexpr double max_saved = 20.0;

    /// @brief Counts a first attempt.
    void on_request();
    /// @brief Takes one retry from the budget if available.
    [[nodiscard]] bool take();

  private:
    double m_saved = max_saved;
};

/// @brief Admission control for one organisation's requests at one gateway.
/// @since 0.1
class admission
{
  public:
    admission(std::int64_t max_requests, std::int64_t per_second);

    enum class answer : std::uint8_t
    {
        admitted,
        over_rate,
        over_concurrency
    };

    /// @brief Admits a request or returns the limit that it exceeds. Call `end` for each admitted request.
    [[nodiscard]] answer begin(monotonic_time now);
    /// @brief Ends an admitted request.
    void end(monotonic_time now, duration took);
    /// @brief Delay after which a rejected caller should retry, estimated from recent request durations and
    /// the rate limit.
    [[nodiscard]] seconds retry_after(monotonic_time now) const;
    [[nodiscard]] std::int64_t in_progress() const
    {
        return m_in_progress;
    }

  private:
    std::int64_t m_max_requests;
    rate_limit m_rate;
    std::int64_t m_in_progress = 0;
    double m_mean_seconds = 0.01;
};

} // namespace walkthread
