#include <walkthread/observe/submission_history.hpp>

#include <algorithm>
#include <istream>
#include <map>

#include <nlohmann/json.hpp>

namespace walkthread
{

namespace
{
using json = nlohmann::ordered_json;

std::string text_of(const json& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string field(const history_entry& line, const std::string& name)
{
    const auto found = std::find_if(line.fields.begin(), line.fields.end(),
                                    [&name](const auto& item)
                                    {
                                        return item.first == name;
                                    });
    return found == line.fields.end() ? std::string{} : found->second;
}

std::size_t count_run_ends(const submission_history& history, const std::string& how)
{
    return static_cast<std::size_t>(std::count_if(history.lines.begin(), history.lines.end(),
                                                  [&how](const history_entry& line)
                                                  {
                                                      return line.event == "run_ended" &&
                                                             field(line, "how") == how;
                                                  }));
}

std::size_t count_event(const submission_history& history, const std::string& event)
{
    return static_cast<std::size_t>(std::count_if(history.lines.begin(), history.lines.end(),
                                                  [&event](const history_entry& line)
                                                  {
                                                      return line.event == event;
                                                  }));
}

const history_entry* first_of(const submission_history& history, const std::string& event)
{
    const auto found = std::find_if(history.lines.begin(), history.lines.end(),
                                    [&event](const history_entry& line)
                                    {
                                        return line.event == event;
                                    });
    return found == history.lines.end() ? nullptr : &*found;
}
} // namespace

void read_log(std::istream& log, const std::string& id, submission_history& into)
{
    std::string text;
    while (std::getline(log, text))
    {
        const std::size_t begin = text.find('{');
        if (begin == std::string::npos)
        {
            continue;
        }
        const json parsed = json::parse(text.substr(begin), nullptr, false);
        if (!parsed.is_object() || !parsed.contains("t") || !parsed["t"].is_number_integer())
        {
            ++into.unreadable;
            continue;
        }
        history_entry line;
        line.at_ms = parsed["t"].get<std::int64_t>();
        line.source = text.substr(begin);
        for (const auto& [name, value] : parsed.items())
        {
            if (name == "process")
            {
                line.process = text_of(value);
            }
            else if (name == "event")
            {
                line.event = text_of(value);
            }
            else if (name == "id")
            {
                line.id = text_of(value);
            }
            else if (name != "t")
            {
                line.fields.emplace_back(name, text_of(value));
            }
        }
        const bool names_submission = field(line, "for").starts_with(id);
        if (line.id.starts_with(id) || names_submission)
        {
            into.lines.push_back(std::move(line));
        }
    }
}

void analyze(submission_history& history)
{
    std::stable_sort(history.lines.begin(), history.lines.end(),
                     [](const history_entry& a, const history_entry& b)
                     {
                         return a.at_ms < b.at_ms;
                     });
    const history_entry* taken = first_of(history, "submission_taken");
    const history_entry* planned = first_of(history, "starts_planned");
    if (const history_entry* refused = first_of(history, "request_not_served"))
    {
        history.conclusions.push_back("A caller was told " + field(*refused, "status") + " by " +
                                      refused->process + ": " + field(*refused, "detail"));
    }
    if (const std::size_t lapsed = count_run_ends(history, "lapsed"); lapsed > 0)
    {
        history.conclusions.push_back(
            std::to_string(lapsed) +
            " runs ended because their worker's lease ran out; they were started again.");
    }
    const auto restarted =
        std::count_if(history.lines.begin(), history.lines.end(),
                      [](const history_entry& line)
                      {
                          return line.event == "run_absent" && field(line, "restarted") == "true";
                      });
    if (restarted > 0)
    {
        history.conclusions.push_back(std::to_string(restarted) +
                                      " runs ended as their worker started again under its id.");
    }
    if (const std::size_t lost = count_event(history, "run_lost"); lost > 0)
    {
        history.conclusions.push_back(std::to_string(lost) + " runs were lost with their worker.");
    }
    if (const history_entry* given_up = first_of(history, "task_given_up"))
    {
        history.conclusions.push_back(given_up->id + " was given up: " + field(*given_up, "crashes") +
                                      " workers crashed under it, the last on " +
                                      field(*given_up, "last_host") + '.');
    }
    if (const std::size_t failed = count_run_ends(history, "failed"); failed > 0)
    {
        history.conclusions.push_back(std::to_string(failed) +
                                      " runs failed by themselves or by their worker.");
    }
    if (const std::size_t absent = count_run_ends(history, "never_began"); absent > 0)
    {
        history.conclusions.push_back(std::to_string(absent) +
                                      " starts were not carried out and were made again.");
    }
    const auto preempted =
        std::count_if(history.lines.begin(), history.lines.end(),
                      [](const history_entry& line)
                      {
                          return line.event == "run_preempted" && field(line, "for") != line.id;
                      });
    if (preempted > 0)
    {
        history.conclusions.push_back(std::to_string(preempted) +
                                      " runs were stopped to make room for more urgent work.");
    }
    if (taken != nullptr && planned != nullptr)
    {
        history.conclusions.push_back(
            "The first start was planned " + std::to_string(planned->at_ms - taken->at_ms) +
            " ms after it was taken, with " + field(*planned, "slack_ms") + " ms to spare.");
    }
    else if (taken != nullptr)
    {
        history.conclusions.push_back("No start was planned in these logs.");
    }
}

} // namespace walkthread
