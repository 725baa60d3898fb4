// Package address chooses free loopback addresses for programs that a test starts.
package address

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
)

// Ports below the range that systems give to outgoing connections, so that a port which is free when it is chosen is
// still free when its program is started or restarted.
const (
	firstPort = 11000
	lastPort  = 32000
)

var taken sync.Map

// Free returns an address that is free for TCP and for UDP and that this process was not given before.
func Free() string {
	for {
		address := "127.0.0.1:" + strconv.Itoa(firstPort+rand.IntN(lastPort-firstPort))
		if _, used := taken.LoadOrStore(address, true); !used && isFree(address) {
			return address
		}
	}
}

func isFree(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	l.Close()
	c, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	c.Close()
	return true
}
