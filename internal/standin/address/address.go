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

// The ports are divided into blocks, of which each test process takes some for itself: a port that one process has picked and whose program
// has not started yet must not be picked by another one. A process holds a block by listening on the block's port from firstLock on.
const (
	blockPorts = 100
	blocks     = (endPort - firstPort) / blockPorts
	firstLock  = firstPort - blocks
)

// reserved holds the ports that this process may return.
var reserved struct {
	sync.Mutex
	locks []net.Listener // keeps the blocks until the process ends
	next  int            // the next port of the present block
	end   int
}

// Free returns an address of 127.0.0.1 as host:port whose port is free for TCP and UDP. It never returns the same address
// twice in one process, nor one that another process may return.
func Free() string { return FreeAt("127.0.0.1") }

// FreeAt is Free for another loopback IP address.
func FreeAt(ip string) string { return FreeRun(ip, 1) }

// FreeRun returns the first of n addresses with consecutive ports that are free.
func FreeRun(ip string, n int) string {
	reserved.Lock()
	defer reserved.Unlock()
	for {
		if reserved.next+n > reserved.end {
			takeBlock()
			continue
		}
		first := reserved.next
		reserved.next += n
		if allFree(ip, first, n) {
			return net.JoinHostPort(ip, strconv.Itoa(first))
		}
	}
}

// takeBlock takes a random block that no process holds.
func takeBlock() {
	for {
		block := rand.IntN(blocks)
		l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(firstLock+block)))
		if err != nil {
			continue // another process holds it
		}
		reserved.locks = append(reserved.locks, l)
		reserved.next = firstPort + block*blockPorts
		reserved.end = reserved.next + blockPorts
		return
	}
}

func allFree(ip string, first, n int) bool {
	for port := first; port < first+n; port++ {
		if !isFree(net.JoinHostPort(ip, strconv.Itoa(port))) {
			return false
		}
	}
	return true
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
