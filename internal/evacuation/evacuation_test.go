package evacuation

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// zonesAt returns the state of a deployment with the zones north, south and west, whose process is as old as *age.
func zonesAt(age *time.Duration) *Zones {
	return New(Options{Zones: []string{"north", "south", "west"}, FirstReadLimit: 5 * time.Second, Now: func() time.Duration { return *age }})
}

func present(zones ...string) []Record {
	var all []Record
	for _, zone := range zones {
		all = append(all, Record{Zone: zone, Present: true})
	}
	return all
}

// Guards against an evacuation that does not begin or end with its record, and against one that ends with the record of another zone.
func TestBeginsAndEndsWithItsRecord(t *testing.T) {
	is := is.New(t)
	age := time.Duration(0)
	z := zonesAt(&age)
	is.Equal(z.Apply(Read{Complete: true}), Change{})
	is.Equal(z.Apply(Read{Records: present("south", "north")}).Begun, []string{"north", "south"})
	is.True(z.Evacuated("north"))
	is.True(!z.Evacuated("west"))
	is.Equal(z.Apply(Read{}), Change{}) // no news
	is.Equal(z.Apply(Read{Records: []Record{{Zone: "north"}}}).Ended, []string{"north"})
	is.Equal(z.Of("north"), Open)
	is.Equal(z.Of("south"), Evacuated)
}

// Guards against an evacuation that stays in force after its removal was missed because the store has dropped its history, and against
// one that ends although a reload has its record.
func TestReload(t *testing.T) {
	is := is.New(t)
	age := time.Duration(0)
	z := zonesAt(&age)
	z.Apply(Read{Complete: true, Records: present("north", "south")})
	c := z.Apply(Read{Complete: true, Records: present("south")})
	is.Equal(c.Ended, []string{"north"})
	is.Equal(len(c.Begun), 0)
	is.True(z.Evacuated("south"))
	is.Equal(z.Apply(Read{Complete: true, Records: present("north", "south")}).Begun, []string{"north"}) // the store has it again
}

// Guards against a record that cannot be decoded, or that names no zone of the deployment, changing what is served.
func TestBadRecordsChangeNothing(t *testing.T) {
	is := is.New(t)
	age := time.Duration(0)
	z := zonesAt(&age)
	z.Apply(Read{Complete: true, Records: present("north")})
	bad := []Record{{Zone: "north", Present: true, Unreadable: true}, {Zone: "south", Present: true, Unreadable: true}, {Zone: "moon", Present: true}}
	for _, complete := range []bool{false, true} {
		c := z.Apply(Read{Complete: complete, Records: bad})
		is.Equal(c.Unreadable, []string{"north", "south"})
		is.Equal(len(c.Begun)+len(c.Ended), 0)
		is.True(z.Evacuated("north"))
		is.True(!z.Evacuated("south"))
		is.True(!z.Evacuated("moon"))
		is.Equal(z.Status().Foreign, []string{"moon"})
	}
	is.Equal(len(z.Apply(Read{Records: bad[2:]}).Foreign), 0) // reported once
	z.Apply(Read{Records: []Record{{Zone: "moon"}}})
	is.Equal(len(z.Status().Foreign), 0)
}

// Guards against a restarted instance that starts runs before it knows of an evacuation, and against one that waits for ever when the
// records cannot be read.
func TestBeforeTheFirstRead(t *testing.T) {
	is := is.New(t)
	age := time.Duration(0)
	z := zonesAt(&age)
	is.Equal(z.Of("north"), Unknown)
	is.True(!z.Status().Known)
	age = 5 * time.Second
	is.Equal(z.Of("north"), Open)
	age = time.Second
	z.Apply(Read{Complete: true})
	is.Equal(z.Of("north"), Open)
	is.True(z.Status().Known)
}

// Guards against a delay of starts in deployments without evacuations.
func TestWithoutTheFeature(t *testing.T) {
	is := is.New(t)
	var none *Zones
	is.Equal(none.Of("north"), Open)
	z := New(Options{Zones: []string{"north"}, Now: func() time.Duration { return 0 }})
	is.Equal(z.Of("north"), Open)
}
