#include <walkthread/storage/files.hpp>

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <unistd.h>

namespace walkthread::detail
{

storage_error last_error(storage_code code, const std::string& what)
{
    return storage_error{code, what + ": " + std::strerror(errno)};
}

file_operations system_file_operations()
{
    return {[](int file, const char* bytes, std::size_t count)
            {
                return ::write(file, bytes, count);
            },
            [](int file)
            {
                return ::fdatasync(file);
            }};
}

// A lack of descriptors, memory or disk space is transient, and files that are already open remain usable.
storage_error open_error(const std::string& what)
{
    const bool transient = errno == EMFILE || errno == ENFILE || errno == ENOSPC || errno == EDQUOT ||
                           errno == ENOMEM || errno == EINTR;
    return last_error(transient ? storage_code::cannot_write : storage_code::cannot_open, what);
}

result<std::string, storage_error> read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary | std::ios::ate);
    if (!file)
    {
        return last_error(storage_code::cannot_open, path);
    }
    std::string bytes(static_cast<std::size_t>(file.tellg()), '\0');
    file.seekg(0);
    file.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    if (!file)
    {
        return last_error(storage_code::cannot_open, path);
    }
    return bytes;
}

result<done, storage_error> write_all(const file_operations& files, int file, std::string_view bytes)
{
    while (!bytes.empty())
    {
        const ssize_t written = files.write(file, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR)
        {
            continue;
        }
        if (written <= 0)
        {
            return last_error(storage_code::cannot_write, "write");
        }
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return done{};
}

result<done, storage_error> sync_folder(const std::string& folder)
{
    const int handle = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (handle < 0)
    {
        return open_error(folder);
    }
    const int failed = ::fsync(handle);
    ::close(handle);
    if (failed != 0)
    {
        return last_error(storage_code::cannot_sync, folder);
    }
    return done{};
}

result<done, storage_error> replace_file(const file_operations& files, const std::string& folder,
                                         const std::string& name, std::string_view bytes)
{
    constexpr int mode = 0600;
    const std::string temporary_path = folder + '/' + name + ".new";
    const int handle = ::open(temporary_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, mode);
    if (handle < 0)
    {
        return open_error(temporary_path);
    }
    result<done, storage_error> outcome = write_all(files, handle, bytes);
    if (ok(outcome) && files.sync(handle) != 0)
    {
        outcome = last_error(storage_code::cannot_sync, temporary_path);
    }
    ::close(handle);
    if (ok(outcome) && ::rename(temporary_path.c_str(), (folder + '/' + name).c_str()) != 0)
    {
        outcome = last_error(storage_code::cannot_write, name);
    }
    if (!ok(outcome))
    {
        ::unlink(temporary_path.c_str()); // on a full disk its space is needed
        return outcome;
    }
    return sync_folder(folder);
}

} // namespace walkthread::detail
