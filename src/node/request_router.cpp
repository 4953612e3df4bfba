#include <walkthread/node/request_router.hpp>

#include <algorithm>

#include <walkthread/node/clock.hpp>
#include <walkthread/node/http_responses.hpp>
#include <walkthread/routing/request_key.hpp>
#include <walkthread/wire/codec.hpp>

namespace walkthread
{

namespace
{
constexpr std::size_t max_attempts = 3;
constexpr std::size_t max_stored_body_bytes = 16U << 10U;
constexpr milliseconds claim_timeout{2500};
constexpr milliseconds record_outcome_timeout{2500};

http_response with_outcome(http_response answer, request_outcome outcome)
{
    answer.headers.emplace_back("X-Walkthread-Outcome", to_string(outcome));
    return answer;
}

endpoint_feedback verdict_of(exchange_outcome end)
{
    switch (end)
    {
    case exchange_outcome::complete_response:
        return endpoint_feedback::healthy;
    case exchange_outcome::broken:
        return endpoint_feedback::broken;
    default:
        return endpoint_feedback::gone;
    }
}

std::uint8_t phase_of(const request_outcome outcome)
{
    const claim_phase phase = outcome == request_outcome::completed ? claim_phase::completed
                              : outcome == request_outcome::not_run ? claim_phase::released
                                                                    : claim_phase::unknown;
    return static_cast<std::uint8_t>(phase);
}
} // namespace

request_router::organisation_limits::organisation_limits(const organisation_settings& from)
    : admitted(from.max_requests, from.requests_per_second)
{
}

request_router::request_router(process_core& core, endpoint_feed& feed)
    : m_core(core), m_feed(feed), m_random(std::random_device{}())
{
    for (const organisation_settings& organisation : core.config().organisations)
    {
        m_limits[organisation.id] = std::make_unique<organisation_limits>(organisation);
    }
}

request_router::organisation_limits& request_router::limits_of(const organisation_settings& organisation)
{
    return *m_limits.at(organisation.id);
}

attempt_id request_router::next_attempt()
{
    const std::scoped_lock lock(m_random_mutex);
    return attempt_id{m_random()};
}

// ---------------------------------------------------------------------------------------------------------
// Admission
// ---------------------------------------------------------------------------------------------------------

http_response request_router::handle(const organisation_settings& caller, const std::string& service,
                                     const std::string& key, const std::string& body)
{
    const monotonic_time started = monotonic_now();
    routed_request request{caller,
                           {caller.id, service},
                           body,
                           true,
                           key,
                           0,
                           next_attempt(),
                           started + m_core.config().timing.request};
    organisation_limits& limits = limits_of(caller);
    admission::answer admitted{};
    {
        const std::scoped_lock lock(limits.mutex);
        admitted = m_stopping ? admission::answer::over_concurrency : limits.admitted.begin(started);
    }
    if (admitted != admission::answer::admitted)
    {
        const bool rate = admitted == admission::answer::over_rate;
        const routing_code code = m_stopping ? routing_code::stopping
                                  : rate     ? routing_code::over_rate
                                             : routing_code::over_concurrency;
        return not_run(request, code,
                       "The gateway is shutting down or the organisation's request limit is reached.");
    }
    m_core.counters().requests_in_progress.Increment();
    http_response answer = route(request);
    m_core.counters().requests_in_progress.Decrement();
    const monotonic_time now = monotonic_now();
    const std::scoped_lock lock(limits.mutex);
    limits.admitted.end(now, now - started);
    return answer;
}

http_response request_router::not_run(const routed_request& request, routing_code code,
                                      const std::string& detail)
{
    seconds wait{1};
    {
        organisation_limits& limits = limits_of(request.caller);
        const std::scoped_lock lock(limits.mutex);
        wait = limits.admitted.retry_after(monotonic_now());
    }
    http_response answer = error_response(http_status::unavailable, static_cast<int>(code), detail);
    answer.headers = {{"Retry-After", std::to_string(wait.count())}};
    m_core.counters().count_request(request.caller.name, to_string(request_outcome::not_run), 0.0);
    return with_outcome(std::move(answer), request_outcome::not_run);
}

http_response request_router::route(routed_request& request)
{
    if (!m_feed.confirmed(monotonic_now()))
    {
        return not_run(request, routing_code::unconfirmed,
                       "The gateway's configuration has not been confirmed recently.");
    }
    const std::optional<service_view> service = m_feed.find_service(request.service);
    if (!service)
    {
        return error_response(http_status::not_found, static_cast<int>(node_code::not_found),
                              "No such service.");
    }
    request.repeatable = service->repeatable;
    if (request.repeatable)
    {
        return response_for(request, send(request));
    }
    const std::optional<wall_ms> time = timestamp_of_key(request.key);
    if (!time)
    {
        return error_response(http_status::bad_request, static_cast<int>(node_code::bad_key),
                              "This service requires an Idempotency-Key that is a version 7 UUID.");
    }
    request.key_time = *time;
    return route_claimed(request);
}

// ---------------------------------------------------------------------------------------------------------
// Claims
// ---------------------------------------------------------------------------------------------------------

http_response request_router::route_claimed(routed_request& request)
{
    const timing_settings& timing = m_core.config().timing;
    const claim_request claim{
        request.caller.id, request.key,      digest_of_request(request.service.second, request.body),
        request.attempt,   request.key_time, milliseconds(timing.key_window).count()};
    const group_id owner = owner_of_key(request.caller.id, request.key, m_core.config().halls.size());
    const reply_body reply =
        m_core.call_and_wait(owner, hall_call{encode(hall_command{claim})}, claim_timeout);
    const auto* answered = std::get_if<hall_reply>(&reply);
    if (answered == nullptr)
    {
        // The claim may still be committed. It belongs to this attempt and nothing was sent to an endpoint,
        // so it can be released.
        const bool given_up = record_outcome(request, routing_result{});
        return given_up ? not_run(request, routing_code::claim_unavailable,
                                  "The key could not be claimed at the moment.")
                        : unknown(request, "The key could be neither claimed nor released.");
    }
    const claim_result& claimed = answered->answer.claim;
    if (claimed.code != 0)
    {
        return claim_error_response(request, claimed);
    }
    if (static_cast<claim_phase>(claimed.phase) == claim_phase::completed)
    {
        return replayed_response(claimed);
    }
    record_event(event_kind::request_claimed, request, request.key);
    const routing_result end = send(request);
    const bool settled = record_outcome(request, end);
    if (end.outcome == request_outcome::not_run && !settled)
    {
        return unknown(request, "The request was not sent, but its key could not be released.");
    }
    return response_for(request, end);
}

http_response request_router::replayed_response(const claim_result& kept)
{
    if (kept.status == 0)
    {
        const int code = static_cast<int>(routing_code::response_not_stored);
        return with_outcome(error_response(http_status::gone, code,
                                           "The request completed; its response was too long to be stored."),
                            request_outcome::completed);
    }
    http_response answer;
    answer.status = kept.status;
    answer.body = kept.body;
    answer.content_type = "application/octet-stream";
    answer.headers.emplace_back("X-Walkthread-Replayed", "true");
    return with_outcome(std::move(answer), request_outcome::completed);
}

http_response request_router::claim_error_response(const routed_request& request, const claim_result& refused)
{
    const auto code = static_cast<state_code>(refused.code);
    switch (code)
    {
    case state_code::key_body_differs:
        return error_response(http_status::unprocessable, refused.code,
                              "The key was already used with a different body.");
    case state_code::key_expired:
        return error_response(http_status::unprocessable, refused.code,
                              "The key is older than the idempotency window.");
    case state_code::key_from_future:
        return error_response(http_status::unprocessable, refused.code,
                              "The time stamp of the key is in the future.");
    case state_code::claim_held:
    {
        http_response answer =
            error_response(http_status::conflict, refused.code, "A request with this key is in progress.");
        answer.headers.emplace_back("Retry-After", "1");
        m_core.counters().count_request(request.caller.name, "in_progress", 0.0);
        return with_outcome(std::move(answer), request_outcome::unknown);
    }
    default:
        return unknown(request, "Whether the request ran is unknown.");
    }
}

// Records the outcome of a claimed request. Returns whether the record was committed.
bool request_router::record_outcome(const routed_request& request, const routing_result& end)
{
    settle_claim settled{request.caller.id, request.key, request.attempt, phase_of(end.outcome), 0, {}, 0, 0};
    settled.digest = digest_of_request(request.service.second, request.body);
    settled.key_time = request.key_time;
    const bool kept =
        end.outcome == request_outcome::completed && end.exchange.body.size() <= max_stored_body_bytes;
    if (kept)
    {
        settled.status = static_cast<std::uint16_t>(end.exchange.status);
        settled.body = end.exchange.body;
    }
    const group_id owner = owner_of_key(request.caller.id, request.key, m_core.config().halls.size());
    const reply_body reply =
        m_core.call_and_wait(owner, hall_call{encode(hall_command{settled})}, record_outcome_timeout);
    const auto* answered = std::get_if<hall_reply>(&reply);
    return answered != nullptr && answered->answer.claim.code == 0;
}

// ---------------------------------------------------------------------------------------------------------
// Exchanges
// ---------------------------------------------------------------------------------------------------------

request_router::routing_result request_router::send(routed_request& request)
{
    organisation_limits& limits = limits_of(request.caller);
    {
        const std::scoped_lock lock(limits.mutex);
        limits.retries.on_request();
    }
    routing_result end;
    bool any_broken = false;
    std::vector<endpoint_key> tried;
    while (tried.size() < max_attempts)
    {
        const monotonic_time now = monotonic_now();
        const auto time_left = std::chrono::duration_cast<milliseconds>(request.deadline - now);
        if (time_left <= milliseconds(0))
        {
            break;
        }
        if (!tried.empty())
        {
            const std::scoped_lock lock(limits.mutex);
            if (!limits.retries.take())
            {
                break;
            }
        }
        const std::optional<endpoint> to = m_feed.begin(request.service, request.attempt.value(), tried, now);
        if (!to)
        {
            break;
        }
        tried.push_back(to->key());
        const attempt_id attempt = tried.size() == 1 ? request.attempt : next_attempt();
        record_event(event_kind::request_sent, request, to_string(to->run));
        end.exchange = m_connections.run(
            *to, {attempt, request.service.second, request.body, !request.repeatable, time_left});
        m_feed.end(request.service, *to, verdict_of(end.exchange.end), monotonic_now());
        any_broken = any_broken || end.exchange.end == exchange_outcome::broken;
        const next_step step = step_after(end.exchange.end, request.repeatable);
        if (step == next_step::answer)
        {
            end.outcome = request_outcome::completed;
            return end;
        }
        if (step == next_step::give_up)
        {
            break;
        }
    }
    end.outcome = outcome_without_answer(any_broken);
    end.reason = tried.empty() ? routing_code::no_endpoint : routing_code::endpoint_unreachable;
    return end;
}

http_response request_router::unknown(const routed_request& request, const std::string& detail)
{
    const int code = static_cast<int>(routing_code::broken_exchange);
    http_response answer = error_response(http_status::timed_out, code, detail);
    answer.headers.emplace_back("Retry-After", "1");
    m_core.counters().count_request(request.caller.name, to_string(request_outcome::unknown), 0.0);
    return with_outcome(std::move(answer), request_outcome::unknown);
}

http_response request_router::response_for(const routed_request& request, const routing_result& end)
{
    record_event(event_kind::request_ended, request, to_string(end.outcome));
    if (end.outcome == request_outcome::not_run)
    {
        return not_run(request, end.reason, "No endpoint accepted the request; it did not run.");
    }
    if (end.outcome == request_outcome::unknown)
    {
        return unknown(request, "The request was sent, but no complete response was received.");
    }
    const double time_left = std::chrono::duration<double>(request.deadline - monotonic_now()).count();
    const double time_limit = std::chrono::duration<double>(m_core.config().timing.request).count();
    m_core.counters().count_request(request.caller.name, to_string(end.outcome),
                                    std::max(0.0, time_limit - time_left));
    http_response answer;
    answer.status = end.exchange.status;
    answer.body = end.exchange.body;
    answer.content_type =
        end.exchange.content_type.empty() ? "application/octet-stream" : end.exchange.content_type;
    return with_outcome(std::move(answer), end.outcome);
}

void request_router::record_event(event_kind kind, const routed_request& request, std::string text)
{
    timeline_event event;
    event.kind = static_cast<std::uint8_t>(kind);
    event.organisation = request.caller.id;
    event.request = request.attempt;
    event.text = std::move(text);
    m_core.events().add(std::move(event), wall_now());
}

} // namespace walkthread
