package address

import (
	"net"
	"strconv"
	"testing"

	"github.com/matryer/is"
)

// Guards against two test processes that pick the same port, of which one then cannot listen (seen in TestScenarios beside load): a block
// that another process holds is not used, and consecutive ports stay together.
func TestPortsBelongToOneProcess(t *testing.T) {
	is := is.New(t)
	seen := map[int]bool{}
	for range 3 * blockPorts {
		_, port, err := net.SplitHostPort(FreeRun("127.0.0.1", 2))
		is.NoErr(err)
		first, err := strconv.Atoi(port)
		is.NoErr(err)
		is.True(!seen[first] && !seen[first+1])
		seen[first], seen[first+1] = true, true
		block := (first - firstPort) / blockPorts
		is.Equal((first+1-firstPort)/blockPorts, block)
		_, err = net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(firstLock+block)))
		is.True(err != nil) // the block is locked
	}
}
