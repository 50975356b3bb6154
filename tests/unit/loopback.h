// A listening socket on loopback, and a main loop with a time limit, for tests
// whose upstream or store is a socket of the test.
#ifndef CQ_TESTS_LOOPBACK_H
#define CQ_TESTS_LOOPBACK_H

#include <glib.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <functional>
#include <string>

#include "base/limits.h"

namespace loopback {

constexpr gint64 kWaitMaxUs = 5 * CQ_SECOND_US;

// Return: a listening socket that doesn't block, or -1; @address gets its
// ip:port.
inline int
listen_at(std::string *address)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    struct sockaddr_in addr = {};
    addr.sin_family = AF_INET;
    addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t len = sizeof addr;
    auto *any = (struct sockaddr *)&addr;
    if (bind(fd, any, len) != 0 || listen(fd, 16) != 0 ||
        getsockname(fd, any, &len) != 0) {
        return -1;
    }
    *address = "127.0.0.1:" + std::to_string(ntohs(addr.sin_port));
    return fd;
}

// Runs the main loop until @done holds. Return: FALSE if it doesn't in time.
inline bool
run_until(const std::function<bool()> &done)
{
    gint64 end_us = g_get_monotonic_time() + kWaitMaxUs;
    while (!done()) {
        if (g_get_monotonic_time() > end_us) {
            return false;
        }
        g_main_context_iteration(nullptr, FALSE);
    }
    return true;
}

} // namespace loopback

#endif
