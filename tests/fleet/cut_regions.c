/* Preloaded into daemons by measure_fleet.py to cut regions apart. Addresses of daemons are
 * 127.<region>.<data centre>.1 with regions 1 to 4. While the file CUT_FLAG exists, datagrams to
 * another region are lost and connections to it fail. */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <dlfcn.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

enum { kFirstRegion = 1, kLastRegion = 4 };

static int IsCutOff(const struct sockaddr* address) {
  if (address == NULL || address->sa_family != AF_INET)
    return 0;
  const unsigned host =
      ntohl(((const struct sockaddr_in*)address)->sin_addr.s_addr);
  const int region = (int)((host >> 16U) & 255U);
  const char* own = getenv("CUT_REGION");
  const char* flag = getenv("CUT_FLAG");
  if (own == NULL || flag == NULL || region < kFirstRegion ||
      region > kLastRegion || region == atoi(own))
    return 0;
  return access(flag, F_OK) == 0;
}

ssize_t sendto(int socket,
               const void* data,
               size_t size,
               int flags,
               const struct sockaddr* to,
               socklen_t to_size) {
  static ssize_t (*next)(int, const void*, size_t, int, const struct sockaddr*,
                         socklen_t);
  if (next == NULL)
    *(void**)&next = dlsym(RTLD_NEXT, "sendto");
  if (IsCutOff(to))
    return (ssize_t)size;
  return next(socket, data, size, flags, to, to_size);
}

int connect(int socket, const struct sockaddr* to, socklen_t to_size) {
  static int (*next)(int, const struct sockaddr*, socklen_t);
  if (next == NULL)
    *(void**)&next = dlsym(RTLD_NEXT, "connect");
  if (IsCutOff(to)) {
    errno = EHOSTUNREACH;
    return -1;
  }
  return next(socket, to, to_size);
}
