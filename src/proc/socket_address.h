/* Addresses of addr_parse() as socket addresses. */
#ifndef SAGEHITCH_SOCKET_ADDRESS_H
#define SAGEHITCH_SOCKET_ADDRESS_H
#include <arpa/inet.h>
#include <stdint.h>

static inline struct sockaddr_in socket_address(uint64_t addr)
{
    struct sockaddr_in socket_addr = {.sin_family = AF_INET, .sin_port = htons((uint16_t)(addr & 0xffff))};
    socket_addr.sin_addr.s_addr = htonl((uint32_t)(addr >> 16));
    return socket_addr;
}
#endif
