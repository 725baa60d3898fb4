package node

import (
	"slices"

	"github.com/savorypass/savorypass/internal/ledger"
	"github.com/savorypass/savorypass/internal/spread"
	"github.com/savorypass/savorypass/internal/work"
)

// storedZones are the zones between which stored jobs move. It implements ledger.OtherZones.
type storedZones struct{ *storedJobs }

// otherZones returns the zones between which stored jobs move; nil if there is only one.
func (s *storedJobs) otherZones() ledger.OtherZones {
	if len(s.zones) < 2 {
		return nil
	}
	return storedZones{s}
}

// Topic implements ledger.OtherZones.
func (s storedZones) Topic(zone string) string { return s.node.opts.Records.JobsTopic(zone) }

// Choose implements ledger.OtherZones. The chance of a zone is its share of the processors of the endpoints that fit the job.
func (s storedZones) Choose(job *work.Job, excluded []string) string {
	var targets []spread.Target
	for _, zone := range s.zones {
		if slices.Contains(excluded, zone) || s.node.evacuations.Evacuated(zone) || s.vacancy(zone) > 0 {
			continue
		}
		if milliCPU := fittingMilliCPU(job, s.node.directory.Registered(zone)); milliCPU > 0 {
			targets = append(targets, spread.Target{Name: zone, Weight: float64(milliCPU)})
		}
	}
	if len(targets) == 0 {
		return ""
	}
	return targets[spread.Order(string(job.ID), targets)[0]].Name
}

// fittingMilliCPU returns the least processors, over the steps of a job, of the endpoints that fit the step; 0 if some step fits on none.
func fittingMilliCPU(job *work.Job, endpoints []work.Endpoint) int {
	least := 0
	for i := range job.Steps {
		sum := 0
		for _, e := range endpoints {
			if !e.Draining && e.Fits(job.Service, &job.Steps[i]) {
				sum += e.Size.MilliCPU
			}
		}
		if sum == 0 {
			return 0
		}
		if i == 0 || sum < least {
			least = sum
		}
	}
	return least
}
