// Package address picks free loopback addresses for the programs that a test starts.
package address

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
)

// Free picks ports from firstPort up to, but not including, endPort. They lie below the ephemeral range, from which the
// system takes ports for outgoing connections, so that a port is still free when its program starts or restarts.
const (
	firstPort = 11000
	endPort   = 32000
)

var returned sync.Map // addresses that Free has returned

// Free returns an address of 127.0.0.1 as host:port whose port is free for TCP and UDP. It never returns the same address
// twice in one process.
func Free() string { return FreeAt("127.0.0.1") }

// FreeAt is Free for another loopback IP address.
func FreeAt(ip string) string {
	for {
		address := net.JoinHostPort(ip, strconv.Itoa(firstPort+rand.IntN(endPort-firstPort)))
		if _, used := returned.LoadOrStore(address, true); !used && isFree(address) {
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
