package fair

// Configure replaces the options of a scheduler in use and recomputes the ranks of its jobs. Zero values select the
// defaults.
func (s *Scheduler) Configure(o Options) {
	o.setDefaults()
	s.opts = o
	s.longThreshold = o.LongThreshold.Seconds()
	s.SetTeams(o.Teams)
	for _, v := range s.serviceList {
		for _, j := range v.jobs {
			s.updateRank(j)
		}
	}
}

func (o *Options) setDefaults() {
	if o.ShortReserve == 0 {
		o.ShortReserve = defaultShortReserve
	}
	if o.LongThreshold <= 0 {
		o.LongThreshold = defaultLongThreshold
	}
	if o.AgeingRate <= 0 {
		o.AgeingRate = defaultAgeing
	}
	if o.Rank == nil {
		o.Rank = ByRemainingWork(o.AgeingRate)
	}
}
