#include <walkthread/observe/log.hpp>

#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>

namespace walkthread
{

namespace
{
spdlog::sink_ptr& shared_sink()
{
    static spdlog::sink_ptr sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
    return sink;
}
} // namespace

void setup_logs(const std::string& level, const std::string& file)
{
    if (!file.empty())
    {
        shared_sink() = std::make_shared<spdlog::sinks::basic_file_sink_mt>(file);
    }
    spdlog::set_level(spdlog::level::from_str(level));
}

logger make_logger(const std::string& part)
{
    logger existing = spdlog::get(part);
    if (existing)
    {
        return existing;
    }
    auto made = std::make_shared<spdlog::logger>(part, shared_sink());
    spdlog::initialize_logger(made);
    made->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l [%n] %v");
    made->flush_on(spdlog::level::info);
    return made;
}

} // namespace walkthread
