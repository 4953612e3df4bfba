#include "losses_command.hpp"

#include <fstream>
#include <iostream>
#include <map>

#include <nlohmann/json.hpp>

#include <walkthread/observe/losses.hpp>

namespace walkthread::ctl
{

namespace
{
constexpr int exit_success = 0;
constexpr int exit_unreadable = 1;
constexpr int exit_usage = 2;

using counts = std::map<std::string, std::uint64_t>;

void print_counts(const char* title, const std::map<std::string, counts>& rows)
{
    std::cout << title << '\n';
    for (const auto& [row, columns] : rows)
    {
        std::cout << "  " << row << ':';
        for (const auto& [cause, count] : columns)
        {
            std::cout << "  " << cause << ' ' << count;
        }
        std::cout << '\n';
    }
}

void print_table(const loss_report& report)
{
    std::map<std::string, counts> by_queue;
    std::map<std::string, counts> by_second;
    for (const loss& item : report.losses)
    {
        const std::string cause(name_of(item.cause));
        const std::string second = std::to_string(item.second);
        ++by_queue[item.queue.empty() ? "(not accepted)" : item.queue][cause];
        ++by_second[std::string(second.size() < 6 ? 6 - second.size() : 0, ' ') + second][cause];
    }
    std::cout << report.losses.size() << " of " << report.submissions
              << " submissions were late or unserved; " << report.unreadable
              << " unreadable lines were skipped.\n";
    print_counts("By queue:", by_queue);
    print_counts("By second:", by_second);
}

void print_json(const loss_report& report)
{
    nlohmann::ordered_json out{{"submissions", report.submissions},
                               {"unreadable", report.unreadable},
                               {"losses", nlohmann::ordered_json::array()}};
    for (const loss& item : report.losses)
    {
        out["losses"].push_back({{"id", item.id},
                                 {"queue", item.queue},
                                 {"second", item.second},
                                 {"cause", std::string(name_of(item.cause))}});
    }
    std::cout << out.dump(2) << '\n';
}
} // namespace

int run_losses(const std::vector<std::string>& arguments, bool as_table)
{
    if (arguments.empty())
    {
        std::cerr << "losses takes log files: walkthreadctl losses LOG...\n";
        return exit_usage;
    }
    loss_analyzer reader;
    for (const std::string& word : arguments)
    {
        std::ifstream file(word);
        if (word != "-" && !file)
        {
            std::cerr << word << " cannot be read.\n";
            return exit_unreadable;
        }
        reader.read(word == "-" ? std::cin : file);
    }
    const loss_report report = reader.analyze();
    as_table ? print_table(report) : print_json(report);
    return exit_success;
}

} // namespace walkthread::ctl
