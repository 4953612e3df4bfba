#include <walkthread/settings/reader.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <sstream>

namespace walkthread::detail
{

namespace
{
constexpr std::size_t sha256_digits = 64;
constexpr std::int64_t max_port = 65535;
constexpr std::int64_t max_node = 65535;

std::string to_text(const toml::node& node)
{
    std::ostringstream out;
    node.visit(
        [&out](const auto& value)
        {
            out << value;
        });
    return out.str();
}

bool is_hash(const std::string& text)
{
    const auto digit = [](unsigned char c)
    {
        return std::isdigit(c) != 0 || (c >= 'a' && c <= 'f');
    };
    return text.size() == sha256_digits && std::all_of(text.begin(), text.end(), digit);
}

bool parse_address(const std::string& text, socket_address& out)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
    {
        return false;
    }
    out.ip = text.substr(0, colon);
    in_addr binary{};
    const std::string port = text.substr(colon + 1);
    const bool digits = !port.empty() && port.size() <= 5 && std::all_of(port.begin(), port.end(), ::isdigit);
    if (!digits || std::stol(port) > max_port || ::inet_pton(AF_INET, out.ip.c_str(), &binary) != 1)
    {
        return false;
    }
    out.port = static_cast<std::uint16_t>(std::stol(port));
    return true;
}
} // namespace

table_reader::table_reader(const toml::table* table, std::string name, std::vector<settings_error>& errors)
    : m_table(table), m_name(std::move(name)), m_errors(errors)
{
}

void table_reader::fail(const std::string& key, const std::string& value, const std::string& allowed)
{
    const std::string full = m_name.empty() ? key : m_name + '.' + key;
    const std::string shown = value.empty() ? "is missing" : "is " + value;
    m_errors.push_back({settings_code::bad_value, full + ' ' + shown + "; allowed: " + allowed + '.'});
}

const toml::node* table_reader::find(const std::string& key)
{
    m_known_keys.insert(key);
    return m_table == nullptr ? nullptr : m_table->get(key);
}

std::int64_t table_reader::integer(const std::string& key, std::int64_t fallback, std::int64_t min_value,
                                   std::int64_t max_value)
{
    const toml::node* node = find(key);
    if (node == nullptr)
    {
        return fallback;
    }
    const auto value = node->value_exact<std::int64_t>();
    if (!value || *value < min_value || *value > max_value)
    {
        fail(key, to_text(*node),
             "a whole number from " + std::to_string(min_value) + " to " + std::to_string(max_value));
        return fallback;
    }
    return *value;
}

std::int64_t table_reader::required_integer(const std::string& key, std::int64_t min_value,
                                            std::int64_t max_value)
{
    if (find(key) == nullptr)
    {
        fail(key, "",
             "a whole number from " + std::to_string(min_value) + " to " + std::to_string(max_value));
        return min_value;
    }
    return integer(key, min_value, min_value, max_value);
}

double table_reader::number(const std::string& key, double fallback, double min_value, double max_value)
{
    const toml::node* node = find(key);
    if (node == nullptr)
    {
        return fallback;
    }
    const auto value = node->value<double>();
    if (!value || *value < min_value || *value > max_value)
    {
        fail(key, to_text(*node),
             "a number from " + std::to_string(min_value) + " to " + std::to_string(max_value));
        return fallback;
    }
    return *value;
}

std::string table_reader::text(const std::string& key, const std::string& fallback)
{
    const toml::node* node = find(key);
    if (node == nullptr)
    {
        return fallback;
    }
    const auto value = node->value_exact<std::string>();
    if (!value)
    {
        fail(key, to_text(*node), "a string");
        return fallback;
    }
    return *value;
}

std::string table_reader::required_text(const std::string& key)
{
    const std::string value = text(key, "");
    if (value.empty())
    {
        fail(key, "", "a string that is not empty");
    }
    return value;
}

bool table_reader::flag(const std::string& key, bool fallback)
{
    const toml::node* node = find(key);
    if (node == nullptr)
    {
        return fallback;
    }
    const auto value = node->value_exact<bool>();
    if (!value)
    {
        fail(key, to_text(*node), "true or false");
    }
    return value.value_or(fallback);
}

milliseconds table_reader::duration_in_ms(const std::string& key, milliseconds fallback,
                                          milliseconds min_value, milliseconds max_value)
{
    return milliseconds(integer(key, fallback.count(), min_value.count(), max_value.count()));
}

socket_address table_reader::address(const std::string& key, bool required)
{
    constexpr const char* allowed = "an IP address and a port, such as \"10.1.0.4:9000\"";
    const toml::node* node = find(key);
    if (node == nullptr)
    {
        if (required)
        {
            fail(key, "", allowed);
        }
        return {};
    }
    socket_address out;
    if (!parse_address(text(key, ""), out))
    {
        fail(key, to_text(*node), allowed);
        return {};
    }
    return out;
}

std::string table_reader::hash(const std::string& key)
{
    constexpr const char* allowed = "a SHA-256 in lower-case hexadecimal";
    const std::string value = text(key, "");
    if (!is_hash(value))
    {
        fail(key, value.empty() ? "" : "not a SHA-256", allowed);
    }
    return value;
}

std::vector<node_id> table_reader::nodes(const std::string& key)
{
    std::vector<node_id> out;
    const toml::node* node = find(key);
    if (node == nullptr || node->as_array() == nullptr)
    {
        fail(key, node == nullptr ? "" : to_text(*node), "a list of node numbers");
        return out;
    }
    for (const toml::node& item : *node->as_array())
    {
        const auto value = item.value_exact<std::int64_t>();
        if (!value || *value < 1 || *value > max_node)
        {
            fail(key, to_text(item), "node numbers from 1 to 65535");
            continue;
        }
        out.emplace_back(static_cast<std::uint16_t>(*value));
    }
    return out;
}

std::vector<std::string> table_reader::string_choices(const std::string& key,
                                                      const std::set<std::string>& allowed)
{
    std::string list;
    for (const std::string& word : allowed)
    {
        list += (list.empty() ? "" : ", ") + word;
    }
    std::vector<std::string> out;
    const toml::node* node = find(key);
    if (node == nullptr || node->as_array() == nullptr)
    {
        fail(key, node == nullptr ? "" : to_text(*node), "a list of " + list);
        return out;
    }
    for (const toml::node& item : *node->as_array())
    {
        const auto value = item.value_exact<std::string>();
        if (!value || !allowed.contains(*value))
        {
            fail(key, to_text(item), list);
            continue;
        }
        out.push_back(*value);
    }
    return out;
}

const toml::table* table_reader::child(const std::string& key)
{
    const toml::node* node = find(key);
    if (node != nullptr && node->as_table() == nullptr)
    {
        fail(key, to_text(*node), "a table");
        return nullptr;
    }
    return node == nullptr ? nullptr : node->as_table();
}

std::vector<const toml::table*> table_reader::children(const std::string& key)
{
    std::vector<const toml::table*> out;
    const toml::node* node = find(key);
    const toml::array* list = node == nullptr ? nullptr : node->as_array();
    if (node != nullptr && list == nullptr)
    {
        fail(key, to_text(*node), "a list of tables");
    }
    if (list == nullptr)
    {
        return out;
    }
    for (const toml::node& item : *list)
    {
        if (item.as_table() == nullptr)
        {
            fail(key, to_text(item), "a list of tables");
            continue;
        }
        out.push_back(item.as_table());
    }
    return out;
}

void table_reader::report_unknown_keys()
{
    if (m_table == nullptr)
    {
        return;
    }
    for (const auto& [key, node] : *m_table)
    {
        if (!m_known_keys.contains(std::string(key.str())))
        {
            fail(std::string(key.str()), "unknown", "the keys in docs/OPERATIONS.md");
        }
    }
}

} // namespace walkthread::detail
