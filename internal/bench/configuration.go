package bench

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	versionPollInterval = 10 * time.Millisecond
	versionTimeout      = 30 * time.Second
	publishPause        = 130 * time.Millisecond // not a divisor of the interval at which instances poll the log, so that publications fall on all parts of it

	maxHealthyLagMS = 1000.0   // bound of the p99 with a healthy system
	maxCutLagMS     = 11_000.0 // bound of the longest time while one zone is cut from the log
)

// Configuration measures the time from the start of a publication until the new version of the configuration is in force on
// every entry instance: first with a healthy system, then while the entry instances of one zone cannot reach the log.
func (r *Run) Configuration() error {
	healthy, err := r.publishVersions(r.Extent.Versions)
	if err != nil {
		return err
	}
	zone := r.Fair.Entries[len(r.Fair.Entries)-1].Zone
	if err := r.Fair.cutFromLog(zone); err != nil {
		return err
	}
	cut, err := r.publishVersions(r.Extent.CutVersions)
	if restored := r.Fair.cutFromLog(""); err == nil {
		err = restored
	}
	if err != nil {
		return err
	}
	r.Logf("configuration: healthy %v, with %s cut from the log %v", healthy, zone, cut)
	const measure = "configuration in force"
	n := func(v []time.Duration) string {
		return fmt.Sprintf("%d versions, %d instances", len(v), len(r.Fair.Entries))
	}
	return appendRows(r.Out,
		Row{Measure: measure, Case: "healthy p50", Unit: "ms", Value: finite(quantileMS(healthy, 0.5)), Note: n(healthy)},
		Row{Measure: measure, Case: "healthy p99", Unit: "ms", Value: finite(quantileMS(healthy, 0.99)), Max: finite(maxHealthyLagMS)},
		Row{Measure: measure, Case: "one zone cut from the log, slowest", Unit: "ms", Value: finite(quantileMS(cut, 1)),
			Max: finite(maxCutLagMS), Note: n(cut)},
	)
}

// quantileMS returns a quantile in milliseconds: the smallest value that at least the share q of the values does not exceed.
// It returns NaN without values and sorts v.
func quantileMS(v []time.Duration, q float64) float64 {
	if len(v) == 0 {
		return math.NaN()
	}
	slices.Sort(v)
	i := int(math.Ceil(q*float64(len(v)))) - 1
	return float64(v[max(0, i)].Microseconds()) / 1000
}

func (r *Run) publishVersions(n int) ([]time.Duration, error) {
	var out []time.Duration
	for range n {
		d, err := r.publishVersion()
		if err != nil {
			return out, err
		}
		out = append(out, d)
		time.Sleep(publishPause)
	}
	return out, nil
}

// publishVersion publishes a new version and returns the time until it is in force everywhere. It publishes at the first
// instance, whose zone is never cut from the log.
func (r *Run) publishVersion() (time.Duration, error) {
	c := r.Fair
	current, err := c.version(c.Entries[0])
	if err != nil {
		return 0, err
	}
	begin := time.Now()
	version, err := c.publish(c.Entries[0], configDocument(c, int(current)), current)
	if err != nil {
		return 0, err
	}
	ends := make([]time.Duration, len(c.Entries))
	err = c.eachEntry(func(i int, e Entry) error {
		for {
			v, err := c.version(e)
			ends[i] = time.Since(begin)
			switch {
			case err == nil && v >= version:
				return nil
			case ends[i] > versionTimeout:
				return fmt.Errorf("version %d is not in force on %s after %v: %w", version, e.Name, versionTimeout, err)
			}
			time.Sleep(versionPollInterval)
		}
	})
	return slices.Max(ends), err
}
