#include "story_command.hpp"

#include <fstream>
#include <iostream>

#include <nlohmann/json.hpp>

#include <walkthread/observe/submission_history.hpp>
#include <walkthread/workload/names.hpp>

namespace walkthread::ctl
{

namespace
{
constexpr int exit_success = 0;
constexpr int exit_usage = 1;
constexpr int exit_not_found = 2;

void print_table(const submission_history& found)
{
    const std::int64_t first = found.lines.front().at_ms;
    for (const history_entry& line : found.lines)
    {
        std::cout << '+' << line.at_ms - first << " ms  " << line.process << "  " << line.event << "  "
                  << line.id;
        for (const auto& [name, value] : line.fields)
        {
            std::cout << "  " << name << '=' << value;
        }
        std::cout << '\n';
    }
    for (const std::string& sentence : found.conclusions)
    {
        std::cout << "=> " << sentence << '\n';
    }
}

void print_json(const submission_history& found)
{
    nlohmann::ordered_json out{{"lines", nlohmann::ordered_json::array()},
                               {"conclusions", found.conclusions}};
    for (const history_entry& line : found.lines)
    {
        out["lines"].push_back(nlohmann::ordered_json::parse(line.source));
    }
    std::cout << out.dump(2) << '\n';
}
} // namespace

int run_story(const std::vector<std::string>& arguments, bool as_table)
{
    if (arguments.size() < 2 || !parse_submission_id(arguments.front()))
    {
        std::cerr << "story takes a submission id (16 hexadecimal digits) and log files.\n";
        return exit_usage;
    }
    submission_history found;
    for (std::size_t i = 1; i < arguments.size(); ++i)
    {
        std::ifstream file(arguments[i]);
        if (arguments[i] != "-" && !file)
        {
            std::cerr << arguments[i] << " cannot be read.\n";
            return exit_usage;
        }
        read_log(arguments[i] == "-" ? std::cin : file, arguments.front(), found);
    }
    analyze(found);
    if (found.lines.empty())
    {
        std::cerr << "No log lines found for " << arguments.front() << ".\n";
        return exit_not_found;
    }
    as_table ? print_table(found) : print_json(found);
    return exit_success;
}

} // namespace walkthread::ctl
