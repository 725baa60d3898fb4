package shard

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"
)

// noteSpeedChanges logs and counts the endpoints that have become much slower than before, or have recovered.
func (s *Shard) noteSpeedChanges(now time.Duration) {
	for _, c := range s.pool.SpeedChanges(now) {
		if c.Disturbed {
			s.opts.Counts.Disturbed.Add(1)
		}
		s.opts.Log.WithFields(logrus.Fields{
			"event": "endpoint_speed", "endpoint": c.Endpoint, "disturbed": c.Disturbed, "slowness": round(c.Slowness),
			"lasting": round(c.Lasting), "runs": c.Runs,
		}).Info("endpoint has become much slower, or has recovered")
	}
}

// round rounds a factor to hundredths.
func round(factor float64) float64 { return math.Round(100*factor) / 100 }
