#pragma once

/// @file
/// @brief Root state at one process: a replica or a copy that follows the leader, and the tasks of the
/// leader.
/// @since 0.1

#include <functional>
#include <map>
#include <vector>

#include <walkthread/node/core.hpp>
#include <walkthread/policy/hall_choice.hpp>
#include <walkthread/state/root.hpp>

namespace walkthread
{

/// @brief Root state at one process. Used only on the core thread.
/// @since 0.1
class root_service
{
  public:
    explicit root_service(process_core& core);

    /// @brief Registers the group if this process is a replica according to the settings, and starts
    /// following the leader.
    void attach();
    /// @brief Adds a function that is called after the state changed.
    void on_change(std::function<void()> handler);
    /// @brief Requests changes from the leader now.
    void refresh();

    [[nodiscard]] const root_state& state() const
    {
        return m_state;
    }
    /// @brief The log index up to which the state has been applied.
    [[nodiscard]] log_index applied() const;
    /// @brief The latest time at which the state is known to have been current.
    [[nodiscard]] monotonic_time confirmed_at() const
    {
        return m_confirmed_at;
    }

  private:
    void handle(const call_body& body, const reply_handler& handler);
    void handle_command(const root_call& call, const reply_handler& handler);
    void handle_update_call(const root_update_call& call, const reply_handler& handler);
    void handle_summary(const hall_summary_call& call);
    void propose(const root_command& command, const reply_handler& handler);
    [[nodiscard]] result<done, state_error> choose_parts(root_command& command);
    [[nodiscard]] result<done, state_error> choose_parts(std::vector<hall_part>& parts,
                                                         organisation_id organisation,
                                                         const std::string& template_name,
                                                         const parameters& given_values, std::uint8_t given);
    std::string apply(wall_ms at, const std::string& command);
    void record_event(const root_command& command, const root_result& answer);
    void apply_update_reply(monotonic_time sent_at, const root_update_reply& reply);
    void confirm_if_applied();
    void tick(monotonic_time now);
    void changed();

    process_core& m_core;
    logger m_log;
    root_state m_state;
    log_index m_followed_index{}; ///< applied index of a process that is not a replica
    replicated_group* m_group = nullptr;
    std::vector<std::function<void()>> m_on_change;
    std::map<hall_id, hall_load> m_halls; ///< maintained at the leader
    monotonic_time m_confirmed_at{};
    monotonic_time m_next_update{};
    monotonic_time m_pending_sent_at{};
    log_index m_pending_commit{};
    bool m_update_in_flight = false;
    bool m_refresh_again = false;
};

} // namespace walkthread
