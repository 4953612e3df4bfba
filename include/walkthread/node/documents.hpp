#pragma once

/// @file
/// @brief Conversion of states to JSON documents and of JSON requests to commands. Documents for an
/// organisation omit what belongs to others.
/// @since 0.1

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <walkthread/node/messages.hpp>
#include <walkthread/policy/job_queue.hpp>
#include <walkthread/replication/replica.hpp>
#include <walkthread/settings/settings.hpp>

namespace walkthread
{

/// @brief The document for a query about one hall.
[[nodiscard]] std::string hall_document(const query_call& query, const hall_state& state,
                                        std::optional<wait_reason> reason, const replica& core);
/// @brief Leader, members and replication lag of one group.
[[nodiscard]] std::string group_document(const replica& core);
/// @brief The document for a query about the root state; empty if the object does not exist.
[[nodiscard]] std::string root_document(const query_call& query, const root_state& state);
/// @brief Events sorted by time stamp.
[[nodiscard]] std::string timeline_document(std::vector<timeline_event> events);
/// @brief The result of a command.
[[nodiscard]] std::string result_document(const root_result& answer);
/// @brief An error with its code and description.
[[nodiscard]] std::string error_document(int code, std::string_view detail);

/// @brief Parses a template. @return the command, or a description of the first invalid field
[[nodiscard]] result<put_template, std::string> parse_template(const settings& config, std::string_view json);
/// @brief Parses a configuration and records which parameters are present.
[[nodiscard]] result<put_configuration, std::string> parse_configuration(const settings& config,
                                                                         std::string_view json);
/// @brief Parses a team's quota.
[[nodiscard]] result<put_team, std::string> parse_team(std::string_view json);
/// @brief Parses a list of jobs to cancel.
[[nodiscard]] result<cancel_jobs, std::string> parse_cancellation(std::string_view json);
/// @brief Parses a worker's lease renewal.
[[nodiscard]] result<renew_call, std::string> parse_renewal(std::string_view json);
/// @brief The response to a worker's lease renewal.
[[nodiscard]] std::string renewal_document(const renew_reply& reply);

} // namespace walkthread
