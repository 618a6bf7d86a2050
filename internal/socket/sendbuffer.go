package socket

import (
	"os"
	"strconv"
	"strings"
	"sync"
)

// defaultMaxSendBuffer is Linux's default for the largest send buffer of a connection, in bytes.
const defaultMaxSendBuffer = 4 << 20

// MaxSendBuffer returns how many bytes this system holds at most of what was written to a connection and not yet
// received, unless the program sets a buffer itself. It is no less than Linux's default.
var MaxSendBuffer = sync.OnceValue(func() int64 {
	setting, err := os.ReadFile("/proc/sys/net/ipv4/tcp_wmem")
	if err != nil {
		return defaultMaxSendBuffer
	}
	return maxSendBufferOf(string(setting))
})

// maxSendBufferOf reads the least, initial and largest size of a send buffer from the setting tcp_wmem.
func maxSendBufferOf(setting string) int64 {
	sizes := strings.Fields(setting)
	if len(sizes) != 3 {
		return defaultMaxSendBuffer
	}
	largest, err := strconv.ParseInt(sizes[2], 10, 64)
	if err != nil {
		return defaultMaxSendBuffer
	}
	return max(largest, defaultMaxSendBuffer)
}
