package division

import (
	"context"
	"time"
)

// storedJobsKey is the key of the record that exists once the deployment has stored jobs. It is in the topic of the divisions because all
// instances read that topic in any case, so that deployments without stored jobs make no call for them.
const storedJobsKey = "stored-jobs"

// StoredJobs reports whether the deployment is known to have stored jobs. If it returns false, StoredJobsUnused tells whether it has none.
func (c *Controller) StoredJobs() bool { return c.storedJobs.Load() }

// StoredJobsUnused reports whether the deployment had no stored jobs at a time. That is not known before a read that began later.
func (c *Controller) StoredJobsUnused(at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known && !c.storedJobs.Load() && !c.readAsOf.Before(at)
}

// AnnounceStoredJobs writes to the store that the deployment has stored jobs, unless that is known.
func (c *Controller) AnnounceStoredJobs(ctx context.Context) error {
	if c.storedJobs.Load() {
		return nil
	}
	if err := c.opts.Store.Put(ctx, c.opts.Topic, storedJobsKey, []byte{1}); err != nil {
		return err
	}
	c.NoteStoredJobs()
	return nil
}

// NoteStoredJobs records that the deployment has stored jobs, as a request of another instance shows.
func (c *Controller) NoteStoredJobs() {
	if !c.storedJobs.Swap(true) {
		c.opts.OnChange()
	}
}
