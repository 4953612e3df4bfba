#include "output.hpp"

#include <algorithm>
#include <iostream>
#include <vector>

#include <nlohmann/json.hpp>

namespace walkthread::ctl
{

namespace
{
using json = nlohmann::ordered_json;
using row = std::vector<std::string>;

std::string cell_of(const json& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

void print_rows(const std::vector<row>& rows)
{
    std::vector<std::size_t> widths(rows.front().size());
    for (const row& r : rows)
    {
        for (std::size_t i = 0; i < r.size(); ++i)
        {
            widths[i] = std::max(widths[i], r[i].size());
        }
    }
    for (const row& r : rows)
    {
        std::string line;
        for (std::size_t i = 0; i < r.size(); ++i)
        {
            line += r[i] + std::string(widths[i] - r[i].size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        std::cout << line << '\n';
    }
}

void print_list(const json& list)
{
    if (list.empty())
    {
        std::cout << "None.\n";
        return;
    }
    row names;
    for (const auto& [key, value] : list.front().items())
    {
        names.push_back(key);
    }
    std::vector<row> rows{names};
    for (const json& item : list)
    {
        row cells;
        for (const std::string& name : names)
        {
            cells.push_back(item.contains(name) ? cell_of(item.at(name)) : "");
        }
        rows.push_back(std::move(cells));
    }
    print_rows(rows);
}

void print_object(const json& object)
{
    std::vector<row> rows;
    for (const auto& [key, value] : object.items())
    {
        rows.push_back({key, cell_of(value)});
    }
    if (!rows.empty())
    {
        print_rows(rows);
    }
}
} // namespace

void print_document(const std::string& text, bool as_table)
{
    const json document = json::parse(text, nullptr, false);
    if (!as_table || document.is_discarded())
    {
        std::cout << text << '\n';
        return;
    }
    const bool objects = document.is_array() && std::all_of(document.begin(), document.end(),
                                                            [](const json& j)
                                                            {
                                                                return j.is_object();
                                                            });
    if (objects)
    {
        print_list(document);
    }
    else if (document.is_object())
    {
        print_object(document);
    }
    else
    {
        std::cout << document.dump() << '\n';
    }
}

} // namespace walkthread::ctl
