#include "process/task.hpp"

#include "process/logging.hpp"

#include <csignal>
#include <exception>
#include <memory>
#include <system_error>
#include <utility>

namespace pistachiopost {

namespace {

extern "C" void* run_task(void* argument)
{
    const std::unique_ptr<std::function<void()>> work(
        static_cast<std::function<void()>*>(argument));
    (*work)();
    return nullptr;
}

pthread_t start(std::function<void()> work, std::size_t stack_bytes, int detach_state)
{
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, stack_bytes);
    pthread_attr_setdetachstate(&attributes, detach_state);
    auto argument = std::make_unique<std::function<void()>>(std::move(work));
    pthread_t thread{};
    const int ec = pthread_create(&thread, &attributes, run_task, argument.get());
    pthread_attr_destroy(&attributes);
    if (ec != 0)
    {
        throw std::system_error(ec, std::generic_category(), "cannot start a thread");
    }
    (void)argument.release(); // the thread owns it now
    return thread;
}

sigset_t stop_signals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    return set;
}

} // namespace

task::task(std::function<void()> work)
    : thread_(start(std::move(work), task_stack_bytes, PTHREAD_CREATE_JOINABLE)),
      running_(true)
{
}

task::task(task&& other) noexcept
    : thread_(other.thread_), running_(std::exchange(other.running_, false))
{
}

task& task::operator=(task&& other) noexcept
{
    if (running_)
    {
        std::terminate();
    }
    thread_ = other.thread_;
    running_ = std::exchange(other.running_, false);
    return *this;
}

task::~task()
{
    if (running_)
    {
        std::terminate();
    }
}

void task::join()
{
    if (std::exchange(running_, false))
    {
        pthread_join(thread_, nullptr);
    }
}

void task::start_detached(std::function<void()> work, std::size_t stack_bytes)
{
    start(std::move(work), stack_bytes, PTHREAD_CREATE_DETACHED);
}

void block_stop_signals()
{
    const auto set = stop_signals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

int wait_for_stop_signal()
{
    const auto set = stop_signals();
    int number = SIGHUP;
    while (number == SIGHUP)
    {
        sigwait(&set, &number);
        if (number == SIGHUP)
        {
            log(log_level::warn,
                "SIGHUP ignored: this process reads its settings only at start");
        }
    }
    return number;
}

int wait_for_stop_signal(const std::function<void(bool)>& poll, milliseconds interval)
{
    const auto set = stop_signals();
    const auto whole_seconds = std::chrono::duration_cast<seconds>(interval);
    const auto remainder = std::chrono::nanoseconds(interval - whole_seconds);
    const timespec timeout{whole_seconds.count(), remainder.count()};
    for (;;)
    {
        const int number = sigtimedwait(&set, nullptr, &timeout);
        if (number == SIGTERM || number == SIGINT)
        {
            return number;
        }
        poll(number == SIGHUP);
    }
}

} // namespace pistachiopost
