#include <walkthread/workload/names.hpp>

#include <algorithm>
#include <charconv>

namespace walkthread
{

namespace
{
constexpr std::size_t id_digits = 16;
constexpr int hex = 16;

bool take_number(std::string_view& text, std::uint32_t& out)
{
    if (text.empty() || text.front() != '.')
    {
        return false;
    }
    text.remove_prefix(1);
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
    if (error != std::errc{})
    {
        return false;
    }
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    return true;
}
} // namespace

std::string name_of(submission_id id)
{
    std::string out(id_digits, '0');
    char digits[id_digits];
    const auto [end, error] = std::to_chars(digits, digits + id_digits, id.value(), hex);
    static_cast<void>(error);
    out.replace(id_digits - static_cast<std::size_t>(end - digits), id_digits, digits,
                static_cast<std::size_t>(end - digits));
    return out;
}

std::string name_of(const step_ref& step)
{
    return name_of(step.submission) + '.' + std::to_string(step.round.value()) + '.' +
           std::to_string(step.step);
}

std::string name_of(const task_ref& task)
{
    return name_of(task.step) + '.' + std::to_string(task.index);
}

std::string name_of(const run_ref& run)
{
    return name_of(run.task) + '/' + std::to_string(run.run);
}

std::optional<submission_id> parse_submission_id(std::string_view text)
{
    std::uint64_t value = 0;
    if (text.size() != id_digits)
    {
        return std::nullopt;
    }
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, hex);
    if (error != std::errc{} || end != text.data() + text.size())
    {
        return std::nullopt;
    }
    return submission_id{value};
}

std::optional<submission_id> parse_last_submission_id(std::string_view path)
{
    return parse_submission_id(path.substr(path.size() - std::min(path.size(), id_digits)));
}

std::optional<task_ref> parse_task_name(std::string_view text)
{
    const auto id = parse_submission_id(text.substr(0, id_digits));
    if (!id)
    {
        return std::nullopt;
    }
    text.remove_prefix(id_digits);
    std::uint32_t round = 0;
    task_ref out;
    out.step.submission = *id;
    if (!take_number(text, round) || !take_number(text, out.step.step) || !take_number(text, out.index) ||
        !text.empty())
    {
        return std::nullopt;
    }
    out.step.round = round_id{round};
    return out;
}

std::string_view name_of(submission_phase phase)
{
    switch (phase)
    {
    case submission_phase::queued:
        return "queued";
    case submission_phase::running:
        return "running";
    case submission_phase::completed:
        return "completed";
    case submission_phase::failed:
        return "failed";
    case submission_phase::cancelled:
        return "cancelled";
    }
    return "unknown";
}

std::string_view name_of(run_end how)
{
    switch (how)
    {
    case run_end::completed:
        return "completed";
    case run_end::failed:
        return "failed";
    case run_end::stopped:
        return "stopped";
    case run_end::lapsed:
        return "lapsed";
    case run_end::broken:
        return "broken";
    case run_end::lonely:
        return "lonely";
    case run_end::never_began:
        return "never_began";
    }
    return "unknown";
}

} // namespace walkthread
