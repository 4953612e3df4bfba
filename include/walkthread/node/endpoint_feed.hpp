#pragma once

/// @file
/// @brief Keeps a gateway's endpoints and services up to date.
/// @since 0.1

#include <map>
#include <mutex>
#include <optional>
#include <string>

#include <walkthread/node/core.hpp>
#include <walkthread/node/root_service.hpp>
#include <walkthread/routing/endpoints.hpp>

namespace walkthread
{

/// @brief The properties of a service that a gateway needs to route requests.
/// @since 0.1
struct service_view
{
    bool repeatable{};
};

/// @brief The endpoints and services that a gateway knows. Safe to use from several threads.
/// @since 0.1
class endpoint_feed
{
  public:
    endpoint_feed(process_core& core, root_service& root);

    /// @brief Subscribes to changes of the halls and of the root state. Only before the core starts.
    void attach();
    /// @brief Requests changes from a hall now. On the core thread.
    void refresh(hall_id hall);

    /// @brief A service of an organisation, if its configuration exists and is not withdrawn.
    [[nodiscard]] std::optional<service_view>
    find_service(const endpoint_directory::service_key& service) const;
    /// @brief Whether the local configuration was confirmed within the allowed staleness.
    [[nodiscard]] bool confirmed(monotonic_time now) const;
    [[nodiscard]] std::optional<endpoint> begin(const endpoint_directory::service_key& service,
                                                std::uint64_t hash, const std::vector<endpoint_key>& tried,
                                                monotonic_time now);
    void end(const endpoint_directory::service_key& service, const endpoint& used, endpoint_feedback verdict,
             monotonic_time now);

  private:
    struct hall_progress
    {
        term_id term{};
        std::uint64_t revision{};
        monotonic_time next{};
        bool in_flight{};
        bool refresh_again{};
    };

    void tick(monotonic_time now);
    void apply_update(hall_id hall, monotonic_time sent_at, const endpoints_reply& reply);
    void update_services();

    process_core& m_core;
    root_service& m_root;
    std::map<hall_id, hall_progress> m_progress; ///< core thread only
    mutable std::mutex m_mutex;
    endpoint_directory m_directory;
    std::map<endpoint_directory::service_key, service_view> m_services;
    monotonic_time m_confirmed{};
};

} // namespace walkthread
