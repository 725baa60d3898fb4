package gateway

// reckoned is the number of partitions of a zone with which several dispatchers reckoned. The endpoints that a dispatcher uses follow from it, so
// one that continues a job does not know all runs if an earlier one reckoned with another number.
type reckoned struct {
	number  int  // of the first dispatcher; 0 if it is not known
	any     bool // there is one
	differs bool // another one reckoned with another number
}

// add notes the number of a dispatcher; 0 if it is not known.
func (r *reckoned) add(number int) {
	r.differs = r.differs || r.any && r.number != number
	if !r.any {
		r.number, r.any = number, true
	}
}

// common returns the number with which all reckoned; 0 if they differ or it is not known.
func (r reckoned) common() int {
	if r.differs {
		return 0
	}
	return r.number
}

// notePartitions notes with how many partitions the dispatcher reckons that holds the job, once it has told that. A dispatcher that changes the
// number answers its jobs before it tells the new one.
func (p *pending) notePartitions() {
	if p.partitions > 0 {
		return
	}
	load, _ := p.route.Load(p.target.Partition)
	p.partitions = load.Partitions
}

// earlierPartitions returns relay.Submit.Partitions.
func (p *pending) earlierPartitions() int {
	all := p.reckoned
	if p.shared != nil {
		all.add(p.shared.at.Partitions)
	}
	if !all.any {
		return p.partitions // of the target, which may know of earlier runs
	}
	return all.common()
}
