package shard

import (
	"slices"
	"time"

	"github.com/savorypass/savorypass/internal/work"
)

// Which endpoints have reported to the present fence. One that has accepts no requests with an earlier fence, and its report lists all runs of
// earlier dispatchers.

// knownAsOf returns the beginning of a read of the registrations such that all endpoints of the partition that were registered then, or had
// been shortly before, have reported to the present fence. An endpoint that has reported to a fence accepts no requests with an earlier
// one. ok is false if an endpoint has not reported, or if the registrations have not been followed for long enough.
func (s *Shard) knownAsOf(now time.Duration) (asOf time.Duration, ok bool) {
	v := s.opts.Directory.summarize(now)
	if !v.complete || !s.allReported(v.version, now) {
		return 0, false
	}
	return v.asOf, true
}

// reportedState is whether all endpoints of the partition have reported to a fence. It holds as long as the directory's version and the reports
// do not change.
type reportedState struct {
	fence   int64
	version uint64 // of the directory
	reports uint64 // Shard.reportsVersion
	all     bool
}

// allReported reports whether there are endpoints in the partition and all have reported to the present fence. version is that of the
// directory. Many resumed jobs come between two changes of the answer, and the directory holds the endpoints of all zones.
func (s *Shard) allReported(version uint64, now time.Duration) bool {
	state := reportedState{fence: s.term.Fence, version: version, reports: s.reportsVersion}
	state.all = s.reported.all
	if s.reported == state {
		return state.all
	}
	v := s.opts.Directory.view(s.owns, now)
	state.all = len(v.registrations) > 0 && !slices.ContainsFunc(v.registrations, func(r registration) bool { return !s.hasReported(r.endpoint) })
	s.reported = state
	return state.all
}

// newestReport is what the report of an endpoint to its highest fence tells of the process that has sent it.
type newestReport struct {
	fence         int64
	at            time.Duration // when the first report to the fence came
	startedUnixMS int64         // start of the process; 0 if not known
	address       string
}

// covers reports whether the process of a registration has reported to a fence.
func (r newestReport) covers(e work.Endpoint, fence int64) bool {
	if e.StartedUnixMS == 0 || r.startedUnixMS == 0 {
		return r.fence == fence && r.address == e.Address
	}
	return r.fence == fence && r.startedUnixMS == e.StartedUnixMS
}

// noteReport records that the endpoint has reported to a fence. The shard's lock is held.
func (x *session) noteReport(report work.Report, fence int64, now time.Duration) {
	s := x.shard
	r := newestReport{fence, now, report.StartedUnixMS, x.endpoint.Address}
	if old := s.reports[x.endpoint.ID]; old.startedUnixMS == r.startedUnixMS && old.address == r.address && old.fence >= fence {
		return
	}
	s.reports[x.endpoint.ID] = r
	s.reportsVersion++
}

// hasReported reports whether the registered process of an endpoint has reported to the present fence. It remembers a report when the
// session has ended: the process still refuses earlier fences. A new process refuses none until it reports itself.
func (s *Shard) hasReported(e work.Endpoint) bool { return s.reports[e.ID].covers(e, s.term.Fence) }

// forgetReports deletes the reports of endpoints that are neither polled nor registered, nor were registered lately.
func (s *Shard) forgetReports() {
	retained := map[work.EndpointID]bool{}
	for _, e := range s.opts.Directory.matching(s.owns) {
		retained[e.endpoint.ID] = true
	}
	for id := range s.reports {
		if s.sessions[id] == nil && !retained[id] {
			delete(s.reports, id)
			s.reportsVersion++
		}
	}
}
