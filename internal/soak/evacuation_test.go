package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/savorypass/savorypass/platform/standin"
)

// evacuationBound is the time from the acknowledgement of a zone's evacuation until its endpoints get no new runs.
const evacuationBound = 3 * time.Second

// zoneEvacuation is the evacuation of a zone.
type zoneEvacuation struct {
	Zone    string
	Acked   time.Time
	Removed time.Time // when its removal began; zero while it is in force
}

// addEvacuation records that the evacuation of a zone is acknowledged. The returned function records that its removal begins.
func (r *record) addEvacuation(zone string) (removed func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evacuations = append(r.evacuations, &zoneEvacuation{Zone: zone, Acked: time.Now()})
	e := r.evacuations[len(r.evacuations)-1]
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		e.Removed = time.Now()
	}
}

// evacuateZone asks for the evacuation of a random zone and takes it back after a time. The other zone may be evacuated at the same time.
func (r *run) evacuateZone(rnd *rand.Rand, length time.Duration) {
	zone := zones[rnd.IntN(len(zones))]
	if !r.claimEvacuation(zone) {
		return
	}
	defer r.releaseEvacuation(zone)
	defer r.begin("zone evacuated", zone)()
	topic, key := standin.EvacuationRecord(zone)
	r.keyed.Set(topic, key, []byte("{}"))
	removed := r.record.addEvacuation(zone)
	time.Sleep(length)
	removed()
	r.keyed.Set(topic, key, nil)
}

// claimEvacuation returns false if the zone is evacuated by another fault.
func (r *run) claimEvacuation(zone string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.evacuated[zone] {
		return false
	}
	r.evacuated[zone] = true
	return true
}

func (r *run) releaseEvacuation(zone string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evacuated[zone] = false
}

// startsWhileEvacuated finds starts in an evacuated zone by instances that had the time to learn of it.
func startsWhileEvacuated(v *view) (found []string) {
	for _, o := range firstStarts(v.orders) {
		for _, e := range v.evacuations {
			late := o.At.Sub(e.Acked) - evacuationBound - v.slack(e.Acked, o.At)
			inForce := e.Removed.IsZero() || o.At.Before(e.Removed)
			if e.Zone == v.zones[o.Endpoint] && late > 0 && inForce && !v.disturbed(v.callers[o.Caller], e.Acked, o.At) {
				found = append(found, fmt.Sprintf("%s started %s for %s, %v after zone %s was evacuated", o.Endpoint, o.Task, v.callers[o.Caller], o.At.Sub(e.Acked), e.Zone))
			}
		}
	}
	return found
}
