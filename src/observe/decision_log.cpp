#include <walkthread/observe/decision_log.hpp>

#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/async_logger.h>

namespace walkthread
{

decision_log::decision_log(std::string process, spdlog::sink_ptr sink, decision_log_settings bounds)
    : m_process(std::move(process)), m_bounds(bounds)
{
    m_writer = std::make_shared<spdlog::details::thread_pool>(bounds.queue_lines, 1);
    m_logger = std::make_shared<spdlog::async_logger>("decisions", std::move(sink), m_writer,
                                                      spdlog::async_overflow_policy::overrun_oldest);
    m_logger->set_pattern("%v");
    m_logger->set_level(spdlog::level::info);
    m_logger->flush_on(spdlog::level::info);
}

decision_log::~decision_log() = default;

std::uint64_t decision_log::dropped() const
{
    return m_rate_limited + (m_writer ? m_writer->overrun_counter() : 0);
}

void decision_log::write(monotonic_time now, wall_ms at, std::string_view event, std::string_view subject,
                         std::initializer_list<log_field> fields)
{
    if (!m_logger)
    {
        return;
    }
    if (now - m_second >= seconds(1))
    {
        m_second = now;
        m_lines_in_second = 0;
        m_process_lines_in_second = 0;
        const std::uint64_t lost = dropped();
        if (lost > m_reported_dropped)
        {
            emit(at, "log_lines_dropped", {}, {{"lines", lost - m_reported_dropped}, {"in_all", lost}});
            m_reported_dropped = lost;
        }
    }
    // Lines about the process itself have a limit of their own, so that a flood of requests cannot displace
    // them.
    const bool own = subject.empty();
    const std::int64_t count = own ? ++m_process_lines_in_second : ++m_lines_in_second;
    if (count > (own ? m_bounds.process_lines_per_second : m_bounds.lines_per_second))
    {
        ++m_rate_limited;
        return;
    }
    emit(at, event, subject, fields);
}

void decision_log::emit(wall_ms at, std::string_view event, std::string_view subject,
                        std::initializer_list<log_field> fields)
{
    nlohmann::ordered_json line;
    line["t"] = at;
    line["process"] = m_process;
    line["event"] = event;
    if (!subject.empty())
    {
        line["id"] = subject;
    }
    for (const log_field& field : fields)
    {
        std::visit(
            [&line, &field](const auto& value)
            {
                line[std::string(field.name)] = value;
            },
            field.value);
    }
    ++m_written;
    m_logger->info(line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace));
}

} // namespace walkthread
