package pool

import (
	"os"
	"strconv"
	"time"

	"github.com/savorypass/savorypass/internal/work"
)

var xf = map[string]float64{}

func init() {
	for _, k := range []string{"XLATE","XGIVE","XSKIP", "XSTARTED", "XHARM", "XFAIR", "XFRAG", "XSHARE", "XRES"} {
		if v, err := strconv.ParseFloat(os.Getenv(k), 64); err == nil {
			xf[k] = v
		}
	}
}

func (p *Pool) behind(j *job, now time.Duration) bool {
	switch {
	case xf["XLATE"] == 0 || j.stored || j.latestStart >= now:
		return false
	case xf["XLATE"] == 2:
		return !j.started
	}
	return true
}

func (p *Pool) xGiveBack(now time.Duration) []work.JobID {
	if xf["XGIVE"] == 0 {
		return nil
	}
	f := p.forecast("survey", work.Size{MilliCPU: 8000}, now)
	f.reserve("survey", now, now+time.Second)
	var back []work.JobID
	for _, q := range p.queue {
		if !q.hasReady() || p.behind(q, now) {
			continue
		}
		free, each, rel := f.free, append([]int(nil), f.each...), append(releases(nil), f.releases...)
		at := f.at
		if t := f.add(q); t > q.latestStart && q.latestStart > now && !q.started && !q.resumed && !q.stored {
			back = append(back, q.ID)
			f.free, f.each, f.releases, f.at = free, each, rel, at
		}
	}
	return back
}
