// walkthreadd: the daemon.

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <random>
#include <thread>

#include <tclap/CmdLine.h>

#include <walkthread/node/process.hpp>
#include <walkthread/observe/log.hpp>
#include <walkthread/settings/settings.hpp>
#include <walkthread/storage/data_folder.hpp>

namespace
{

using namespace walkthread;

constexpr int exit_success = 0;
constexpr int exit_failed = 1;
constexpr int exit_settings = 2;
constexpr int exit_disk = 3;
constexpr milliseconds signal_check_interval{50};

volatile std::sig_atomic_t g_stop = 0;

void on_signal(int)
{
    g_stop = 1;
}

struct arguments
{
    std::string settings_path;
    bool check = false;
    bool init_cell = false;
};

arguments read_arguments(int argc, char** argv)
{
    TCLAP::CmdLine line("walkthread daemon: schedules tasks and routes requests", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> path("s", "settings", "TOML file with the settings", true, "", "file", line);
    TCLAP::SwitchArg check("", "check-settings", "Check the settings, print every error, and exit", line);
    TCLAP::SwitchArg init("", "init-cell", "Create a new cell; allowed once, with an empty data folder",
                          line);
    line.parse(argc, argv);
    return {path.getValue(), check.getValue(), init.getValue()};
}

membership founding_membership(const std::vector<node_id>& nodes)
{
    membership members;
    for (const node_id node : nodes)
    {
        members.voters.push_back({node, incarnation_id{1}});
    }
    return members;
}

folder_identity create_identity(const settings& config, bool init_cell)
{
    folder_identity identity;
    identity.node = config.node;
    if (!init_cell)
    {
        std::random_device random;
        identity.incarnation = incarnation_id{(std::uint64_t{random()} << 20U) | (random() & 0xFFFFFU) | 2U};
        return identity;
    }
    identity.incarnation = incarnation_id{1};
    for (const group_id group : config.groups())
    {
        identity.founding[group] = founding_membership(config.replicas_of(group));
    }
    return identity;
}

result<std::unique_ptr<data_folder>, storage_error> open_folder(const settings& config, bool init_cell)
{
    auto folder = data_folder::open(config.data, create_identity(config, init_cell));
    if (ok(folder) && init_cell && value_of(folder)->identity().incarnation != incarnation_id{1})
    {
        return storage_error{storage_code::already_formatted,
                             "The data folder already has an identity; a new cell needs an empty one."};
    }
    return folder;
}

int run(const settings& config, bool init_cell)
{
    std::unique_ptr<data_folder> folder;
    if (config.control)
    {
        auto opened = open_folder(config, init_cell);
        if (!ok(opened))
        {
            std::cerr << "Error " << error_of(opened).number() << ": " << error_of(opened).detail << '\n';
            return exit_disk;
        }
        folder = std::move(value_of(opened));
    }
    process daemon(config, std::move(folder));
    if (!daemon.start())
    {
        return exit_failed;
    }
    while (g_stop == 0 && !daemon.failed())
    {
        std::this_thread::sleep_for(signal_check_interval);
    }
    const bool failed = daemon.failed();
    daemon.stop();
    return failed ? exit_disk : exit_success;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        const arguments given = read_arguments(argc, argv);
        auto config = load_settings(given.settings_path);
        if (!ok(config))
        {
            for (const settings_error& error : error_of(config))
            {
                std::cerr << "Error " << error.number() << ": " << error.detail << '\n';
            }
            return exit_settings;
        }
        if (given.check)
        {
            std::cout << "The settings are valid.\n";
            return exit_success;
        }
        setup_logs(value_of(config).log_level, value_of(config).log_file);
        std::signal(SIGTERM, on_signal);
        std::signal(SIGINT, on_signal);
        std::signal(SIGPIPE, SIG_IGN);
        std::signal(SIGXFSZ, SIG_IGN); // a write above the file size limit fails like one on a full disk
        return run(value_of(config), given.init_cell);
    }
    catch (const std::exception& failure)
    {
        std::cerr << "Error: " << failure.what() << '\n';
        return exit_failed;
    }
}
