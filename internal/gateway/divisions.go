package gateway

// divisions is the number of partitions into which several dispatchers divided a zone. The endpoints that a dispatcher uses follow from the number, so
// one that continues a job does not know all runs if an earlier one used another number.
type divisions struct {
	partitions int  // of the first dispatcher; 0 if it is not known
	any        bool // there is one
	differ     bool // another one used another number
}

// add notes the number of a dispatcher; 0 if it is not known.
func (d *divisions) add(partitions int) {
	d.differ = d.differ || d.any && d.partitions != partitions
	if !d.any {
		d.partitions, d.any = partitions, true
	}
}

// common returns the number that all dispatchers used; 0 if they differ or it is not known.
func (d divisions) common() int {
	if d.differ {
		return 0
	}
	return d.partitions
}

// notePartitions notes the number of partitions that the dispatcher uses which holds the job, once it has told that. A dispatcher that changes the
// number answers its jobs before it tells the new one.
func (p *pending) notePartitions() {
	if p.partitions > 0 {
		return
	}
	p.partitions = p.route.ZonePartitions(p.target.Partition)
}

// earlierPartitions returns relay.Submit.Partitions.
func (p *pending) earlierPartitions() int {
	all := p.earlier
	if p.shared != nil {
		all.add(p.shared.at.Partitions)
	}
	if !all.any {
		return p.partitions // of the target, which may know of earlier runs
	}
	return all.common()
}
