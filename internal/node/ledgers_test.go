package node

import (
	"testing"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/standin/keyed"
)

// Guards against a panic of an instance whose dispatcher of one partition asks that of another one, which is being made and has a ledger but
// is not known to it yet.
func TestLedgerIsNotFoundBeforeItsDispatcher(t *testing.T) {
	is := is.New(t)
	n := New(Options{Settings: Settings{Zone: "north", Zones: []string{"north"}, GroupPartitions: keyed.Partitions}, Store: keyed.New(), Records: records{}, Log: silentLog()})
	made := n.own.ledgers.make(1)
	is.Equal(n.own.ledgers.of(1), nil)
	n.own.ledgers.publish(1, made)
	is.Equal(n.own.ledgers.of(1), made)
}
